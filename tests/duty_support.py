"""Shared by the tests of duties: start a deployment with duties, read its records, finish it."""

import asyncio
from collections.abc import Callable
from typing import Any

from basaltlead.duties.model import Duty
from tests.fakes import Deployment
from tests.simulation import Loop

DUTIES_ON = {"duties": True}
FAILOVER_S = 6.0  # allows for a session lease of 1.8 s, the detection of its end and the grant


async def wait_for_all_holders(deployment: Deployment) -> None:
    """Wait until every duty has an acting holder."""
    await deployment.wait_until(
        lambda: all(deployment.holder(duty) for duty in Duty), seconds=FAILOVER_S
    )


async def start_with_duties(loop: Loop, seed: int = 1, **more: Any) -> Deployment:
    """Start a deployment with duties enabled, and wait until each has an acting holder."""
    deployment = Deployment(loop, seed, operator=DUTIES_ON, **more)
    await deployment.start()
    await wait_for_all_holders(deployment)
    await asyncio.sleep(2)  # until every controller knows the machine types
    return deployment


def open_intents(deployment: Deployment, prefix: str) -> list[str]:
    """Return the keys of intents that are recorded and not yet carried out."""
    return [
        key
        for key, (value, _, _) in deployment.store.keys.items()
        if key.startswith(prefix) and (prefix == "return/" or value["names"] is None)
    ]


def recorded_events(deployment: Deployment, action: str) -> list[dict[str, Any]]:
    """Return the events with this action from the recorded history of all duties."""
    pages = [v for k, (v, _, _) in deployment.store.keys.items() if k.startswith("history/")]
    return [event for page in pages for event in page["events"] if event["action"] == action]


async def finish_and_check(deployment: Deployment) -> None:
    """End all faults, wait until all jobs are done and all machines returned, and check that no
    rule was violated."""
    deployment.end_all_faults()
    await deployment.wait_until_done(*deployment.jobs, seconds=200.0)
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=250.0)
    await deployment.wait_until(
        lambda: not open_intents(deployment, "return/") and not open_intents(deployment, "hire/")
    )
    deployment.assert_no_violation()


def call_when_recorded(deployment: Deployment, prefix: str, action: Callable[[], None]) -> None:
    """Call `action` once, at the moment the store accepts a record with this key prefix."""
    before = deployment.store.on_accept

    def on_accept(changes: list[dict[str, Any]]) -> None:
        before(changes)
        if any(change.get("Put", "").startswith(prefix) for change in changes):
            deployment.store.on_accept = before
            action()

    deployment.store.on_accept = on_accept
