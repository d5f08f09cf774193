"""The duty checker finds a violation for each safeguard that is disabled."""

import asyncio
from typing import Any

import pytest

from basaltlead.duties.holder import DutyHolder
from basaltlead.scaling.scale_in import ScaleIn
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.storage.records import StoredScaleOut
from tests.duty_support import call_when_recorded, start_with_duties
from tests.simulation import Loop, simulated


@simulated
async def test_duty_checker_finds_a_stale_holder_without_preconditions(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(DutyHolder, "preconditions", lambda holder: [])
    monkeypatch.setattr(DutyHolder, "holds_valid_lease", True)
    monkeypatch.setattr(DutyHolder, "stop", lambda holder: None)

    deployment = await start_with_duties(loop)
    stale_holder = deployment.store.keys["c/duty/rent"][0]["name"]
    deployment.cloud.error_status = 503

    call_when_recorded(deployment, "hire/", lambda: deployment.freeze(stale_holder))
    await deployment.submit(
        deployment.job(1, Pieces=8, RunS=30.0), deployment.other_node(stale_holder)
    )
    await asyncio.sleep(30)
    deployment.freeze(deployment.store.keys["c/duty/rent"][0]["name"])
    deployment.cloud.error_status = 0
    deployment.thaw(stale_holder)
    await asyncio.sleep(5)

    assert any("rent: rented" in one for one in deployment.duty_checker.violations)


async def _delete_at_once(scale_ins: ScaleIn, names: list[str]) -> None:
    await scale_ins._delete(names)


async def _send_at_once(requests: ScaleOut, name: str, stored: StoredScaleOut) -> None:
    requests.context.intents.scale_outs[name] = stored
    await requests.executor.execute(name, stored)


@pytest.mark.parametrize(
    ("part", "method", "mutant", "found"),
    [
        (ScaleIn, "_record", _delete_at_once, "deleted without a record"),
        (ScaleOut, "_record", _send_at_once, "rented without a record"),
    ],
)
@simulated
async def test_duty_checker_finds_a_cloud_call_without_a_recorded_intent(
    loop: Loop, part: type, method: str, mutant: Any, found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(part, method, mutant)

    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until(
        lambda: any(found in one for one in deployment.duty_checker.violations), seconds=120.0
    )
