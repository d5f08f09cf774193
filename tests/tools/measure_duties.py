"""Measures duties in simulated time: python3 -m tests.tools.measure_duties

It prints how long a duty has no acting holder, by cause, how many changes in the key-value store
each machine that is rented and returned needs, and the load on the store while there is no job.
"""

import asyncio
import statistics
from collections import Counter
from collections.abc import Callable
from typing import Any

from basaltlead.duties.model import Duty
from tests.fakes import Deployment
from tests.fakes.store import FakeKeyValueStore
from tests.simulation import Loop, poll_until, run_scenario

SEEDS = range(1, 11)
RESOLUTION_S = 0.01  # of the measured durations
CAUSES: dict[str, Callable[[Deployment, str], Any]] = {
    "crash": lambda deployment, name: deployment.crash(name),
    "stands still": lambda deployment, name: deployment.freeze(name),
    "loses the state service": lambda deployment, name: deployment.net.cut(
        deployment.host(name), FakeKeyValueStore.HOST
    ),
}


async def _until_held_by_another(deployment: Deployment, duty: Duty, name: str) -> None:
    """Wait until another controller than this one acts for the duty."""
    while True:
        if deployment.holder(duty) not in (None, name):
            return
        await asyncio.sleep(RESOLUTION_S)


def failover(cause: str, duty: Duty, seed: int) -> float:
    """Return the seconds until another controller acts for the duty."""
    durations_s: list[float] = []

    async def scenario(loop: Loop) -> None:
        deployment = Deployment(loop, seed, operator={"duties": True}, lease=20.0, cancel=60.0)
        await deployment.start()
        await deployment.wait_until(lambda: all(deployment.holder(held) for held in Duty))
        await asyncio.sleep(5 + seed / 10)
        name = deployment.holder(duty)
        assert name is not None
        CAUSES[cause](deployment, name)
        lost_at = loop.time()
        await poll_until(lambda: deployment.holder(duty) not in (None, name), 0.01)
        durations_s.append(loop.time() - lost_at)

    run_scenario(scenario, seed)
    return durations_s[0]


def changes_per_machine(duties: bool) -> dict[str, float]:
    """Return the changes per machine that is rented and returned, by key prefix."""
    counts: Counter[str] = Counter()
    machines: list[int] = []

    async def scenario(loop: Loop) -> None:
        deployment = Deployment(loop, operator={"duties": duties})
        deployment.cloud.capacity = 60
        await deployment.start()
        before = deployment.store.on_accept

        def on_accept(changes: list[dict[str, Any]]) -> None:
            before(changes)
            counts.update(c.get("Put", c.get("Drop")).split("/")[0] for c in changes)

        deployment.store.on_accept = on_accept
        await deployment.submit(deployment.job(1, Pieces=400, RunS=20.0))
        await deployment.wait_until_done("req-000001", seconds=300.0)
        await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=300.0)
        await asyncio.sleep(60)
        machines.append(deployment.cloud.rented_count)

    run_scenario(scenario)
    prefixes = ("hire", "mach", "return", "history")
    per_machine = {prefix: round(counts[prefix] / machines[0], 2) for prefix in prefixes}
    return per_machine | {"machines": machines[0], "all": round(sum(per_machine.values()), 2)}


def idle_cost(duties: bool) -> dict[str, float]:
    """Return the requests and changes per second of all controllers while there is no job."""
    rates: dict[str, float] = {}

    async def scenario(loop: Loop) -> None:
        deployment = Deployment(loop, operator={"duties": duties})
        await deployment.start()
        await asyncio.sleep(30)
        requests, writes = deployment.store.requests, deployment.store.writes
        await asyncio.sleep(300)
        rates["requests"] = round((deployment.store.requests - requests) / 300, 2)
        rates["changes"] = round((deployment.store.writes - writes) / 300, 2)

    run_scenario(scenario)
    return rates


def main() -> None:
    """Print all figures."""
    for cause in CAUSES:
        for duty in Duty:
            durations_s = sorted(failover(cause, duty, seed) for seed in SEEDS)
            median, worst = statistics.median(durations_s), durations_s[-1]
            print(f"failover, {cause}, {duty}: median {median:.2f} s, worst {worst:.2f} s")
    for duties in (False, True):
        print(f"duties {duties}: changes for each machine {changes_per_machine(duties)}")
        print(f"duties {duties}: idle {idle_cost(duties)} a second")


if __name__ == "__main__":
    main()
