"""What the tests of duties share: a world with duties granted, its records, and its end."""

import asyncio
from collections.abc import Callable
from typing import Any

from basaltlead.duties.model import Duty
from tests.fakes import World
from tests.simulation import Loop

ON = {"duties": True}
TAKEOVER = 6.0  # s: a session lease of 1.8 s, its end noticed, and the grant


async def all_duties_held(world: World) -> None:
    """Every duty has a holder that acts."""
    await world.until(lambda: all(world.holder(duty) for duty in Duty), seconds=TAKEOVER)


async def started_world(loop: Loop, seed: int = 1, **more: Any) -> World:
    world = World(loop, seed, operator=ON, **more)
    await world.start()
    await all_duties_held(world)
    await asyncio.sleep(2)  # every controller knows the machine types
    return world


def open_intents(world: World, prefix: str) -> list[str]:
    """Intents that are recorded and not carried out."""
    return [
        key
        for key, (value, _, _) in world.store.keys.items()
        if key.startswith(prefix) and (prefix == "return/" or value["names"] is None)
    ]


def recorded_events(world: World, action: str) -> list[dict[str, Any]]:
    pages = [v for k, (v, _, _) in world.store.keys.items() if k.startswith("history/")]
    return [event for page in pages for event in page["events"] if event["action"] == action]


async def finish(world: World) -> None:
    """All jobs are done, and no machine is left that anybody has to pay for."""
    world.heal()
    await world.until_done(*world.jobs, seconds=200.0)
    await world.until(lambda: not world.cloud.machines, seconds=250.0)
    await world.until(
        lambda: not open_intents(world, "return/") and not open_intents(world, "hire/")
    )
    world.verdict()


def when_recorded(world: World, prefix: str, action: Callable[[], None]) -> None:
    """Act in the very moment in which an intent is recorded."""
    before = world.store.accepting

    def accepting(changes: list[dict[str, Any]]) -> None:
        before(changes)
        if any(change.get("Put", "").startswith(prefix) for change in changes):
            world.store.accepting = before
            action()

    world.store.accepting = accepting
