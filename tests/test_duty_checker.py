"""The duty checker finds what it is for, once a safeguard is taken out."""

import asyncio
from typing import Any

import pytest

from basaltlead.duties.holder import DutyHolder
from basaltlead.scaling.scale_in import ScaleIn
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.storage.records import StoredScaleOut
from tests.duty_support import started_world, when_recorded
from tests.simulation import Loop, play


def test_a_stale_holder_is_found_once_its_guard_is_taken_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(DutyHolder, "preconditions", lambda holder: [])
    monkeypatch.setattr(DutyHolder, "holds_valid_lease", True)
    monkeypatch.setattr(DutyHolder, "stop", lambda holder: None)

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        stale = world.store.keys["c/duty/rent"][0]["name"]
        world.cloud.trouble = 503
        when_recorded(world, "hire/", lambda: world.freeze(stale))
        await world.submit(world.job(1, Pieces=8, RunS=30.0), world.other_node(stale))
        await asyncio.sleep(30)
        world.freeze(world.store.keys["c/duty/rent"][0]["name"])
        world.cloud.trouble = 0
        world.thaw(stale)
        await asyncio.sleep(5)
        assert any("rent: rented" in one for one in world.duty_checker.stale)

    play(story)


async def _delete_at_once(scale_ins: ScaleIn, names: list[str]) -> None:
    await scale_ins._delete(names)


async def _send_at_once(requests: ScaleOut, name: str, stored: StoredScaleOut) -> None:
    requests.context.intents.scale_outs[name] = stored
    await requests.executor.carry_out(name, stored)


@pytest.mark.parametrize(
    ("part", "method", "mutant", "found"),
    [
        (ScaleIn, "_record", _delete_at_once, "deleted without a record"),
        (ScaleOut, "_record", _send_at_once, "rented without a record"),
    ],
)
def test_a_call_without_a_recorded_intent_is_found(
    part: type, method: str, mutant: Any, found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(part, method, mutant)

    async def story(loop: Loop) -> None:
        world = await started_world(loop)
        await world.submit(world.job(1, Pieces=3, RunS=3.0))
        await world.until(
            lambda: any(found in one for one in world.duty_checker.stale), seconds=120.0
        )

    play(story)
