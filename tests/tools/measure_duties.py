"""Measures duties in simulated time: python3 -m tests.tools.measure_duties

How long a duty is without an acting holder, by cause; changes of the key-value store for each
machine that is rented and returned; and what duties cost while there is no job.
"""

import asyncio
import statistics
from collections import Counter
from collections.abc import Callable
from typing import Any

from basaltlead.duties.model import Duty
from tests.fakes import World
from tests.fakes.store import FakeState
from tests.simulation import Loop, play

SEEDS = range(1, 11)
RESOLUTION_S = 0.01  # of the measured times
CAUSES: dict[str, Callable[[World, str], Any]] = {
    "crash": lambda world, name: world.crash(name),
    "stands still": lambda world, name: world.freeze(name),
    "loses the state service": lambda world, name: world.net.cut(world.host(name), FakeState.HOST),
}


async def _until_held_by_another(world: World, duty: Duty, name: str) -> None:
    """Return once a controller other than this one acts for the duty."""
    while True:
        if world.holder(duty) not in (None, name):
            return
        await asyncio.sleep(RESOLUTION_S)


def failover(cause: str, duty: Duty, seed: int) -> float:
    """Seconds until another controller acts for the duty."""
    took: list[float] = []

    async def story(loop: Loop) -> None:
        world = World(loop, seed, operator={"duties": True}, lease=20.0, cancel=60.0)
        await world.start()
        await world.until(lambda: all(world.holder(held) for held in Duty))
        await asyncio.sleep(5 + seed / 10)
        name = world.holder(duty)
        assert name is not None
        CAUSES[cause](world, name)
        at = loop.time()
        await _until_held_by_another(world, duty, name)
        took.append(loop.time() - at)

    play(story, seed)
    return took[0]


def changes_for_each_machine(duties: bool) -> dict[str, float]:
    """Changes by prefix of row, for each machine of a fleet that comes and goes."""
    counts: Counter[str] = Counter()
    machines: list[int] = []

    async def story(loop: Loop) -> None:
        world = World(loop, operator={"duties": duties})
        world.cloud.capacity = 60
        await world.start()
        before = world.store.accepting

        def accepting(changes: list[dict[str, Any]]) -> None:
            before(changes)
            counts.update(c.get("Put", c.get("Drop")).split("/")[0] for c in changes)

        world.store.accepting = accepting
        await world.submit(world.job(1, Pieces=400, RunS=20.0))
        await world.until_done("req-000001", seconds=300.0)
        await world.until(lambda: not world.cloud.machines, seconds=300.0)
        await asyncio.sleep(60)
        machines.append(world.cloud.count)

    play(story)
    prefixes = ("hire", "mach", "return", "history")
    each = {prefix: round(counts[prefix] / machines[0], 2) for prefix in prefixes}
    return each | {"machines": machines[0], "all": round(sum(each.values()), 2)}


def idle_cost(duties: bool) -> dict[str, float]:
    """Requests and changes a second of all controllers while there is no job."""
    rates: dict[str, float] = {}

    async def story(loop: Loop) -> None:
        world = World(loop, operator={"duties": duties})
        await world.start()
        await asyncio.sleep(30)
        requests, writes = world.store.requests, world.store.writes
        await asyncio.sleep(300)
        rates["requests"] = round((world.store.requests - requests) / 300, 2)
        rates["changes"] = round((world.store.writes - writes) / 300, 2)

    play(story)
    return rates


def main() -> None:
    """Print all figures."""
    for cause in CAUSES:
        for duty in Duty:
            took = sorted(failover(cause, duty, seed) for seed in SEEDS)
            median, worst = statistics.median(took), took[-1]
            print(f"failover, {cause}, {duty}: median {median:.2f} s, worst {worst:.2f} s")
    for duties in (False, True):
        print(f"duties {duties}: changes for each machine {changes_for_each_machine(duties)}")
        print(f"duties {duties}: idle {idle_cost(duties)} a second")


if __name__ == "__main__":
    main()
