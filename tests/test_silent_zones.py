"""What is hired in zones of which nothing is heard."""

import asyncio

from basaltlead.core.jobs import US, MachineType
from basaltlead.core.offers import Offer
from basaltlead.core.silent_zones import PAUSE_US, SilentZones
from tests.fakes import FakeWorker, World
from tests.simulation import Loop, play

KINDS = {
    "dear": MachineType("dear", 4.0, 0.0, 16.0, 2.0, 1.0, 5 * US, 50.0, 1.0, ("a", "b")),
    "cheap": MachineType("cheap", 4.0, 0.0, 16.0, 1.0, 0.5, 5 * US, 50.0, 1.0, ("a", "b")),
}
OFFERS: dict[Offer, int | None] = {
    Offer(machine_type, zone, spot): None
    for machine_type in KINDS
    for zone in "ab"
    for spot in (True, False)
}
IN_A = {offer: most for offer, most in OFFERS.items() if offer.zone == "a"}
SILENT = {"a": [True, False], "b": [False, False, False]}


def test_a_zone_in_doubt_gets_one_trial_after_a_pause_until_it_is_heard() -> None:
    zones = SilentZones()
    assert zones.admitted(OFFERS, KINDS, [], 0) == OFFERS
    assert zones.update(SILENT, 0) == ["b"]
    assert zones.update(SILENT, US) == []  # it is known by now
    assert zones.admitted(OFFERS, KINDS, [], PAUSE_US) == IN_A
    after = US + PAUSE_US
    trial = Offer("cheap", "b", True)
    assert zones.admitted(OFFERS, KINDS, ["a"], after) == IN_A | {trial: 1}
    assert zones.admitted(OFFERS, KINDS, ["b"], after) == IN_A  # it has not been heard yet
    assert zones.update({"a": [True]}, after) == []  # all machines there were returned
    assert zones.admitted(OFFERS, KINDS, ["b"], after + PAUSE_US) == IN_A
    zones.update({"a": [True], "b": [True]}, after + PAUSE_US)
    assert zones.admitted(OFFERS, KINDS, [], after + PAUSE_US) == OFFERS


def test_the_silence_of_everybody_puts_no_zone_in_doubt() -> None:
    zones = SilentZones()
    assert zones.update({"a": [False] * 5, "b": [False] * 5}, 0) == []
    assert zones.update({"a": [False] * 2, "b": [True]}, 0) == []  # two may fail by chance
    assert zones.admitted(OFFERS, KINDS, [], 0) == OFFERS


def test_a_long_cut_of_a_zone_costs_few_machines_and_the_zone_is_used_again_after_it() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 12
        await world.start()
        await world.submit(world.job(2, Pieces=2, Cores=4.0, RunS=900.0, GuessS=900.0, Yard="a"))
        await world.until(lambda: len(world.on("req-000002")) == 2)
        await world.submit(world.job(1, Pieces=400, Cores=4.0, RunS=6.0, Yard="b"))
        await world.until(lambda: len(world.rule_checker.on) >= 6)
        cut = [f"10.1.{i // 250}.{i % 250}" for i in range(1000)]
        for machine in list(world.cloud.machines.values()):
            if machine.zone == "b":
                _cut(world, machine)
        end = loop.time() + 120
        hired: set[str] = set()
        before = set(world.cloud.machines)
        while loop.time() < end:
            for name, machine in list(world.cloud.machines.items()):
                if name not in before and machine.zone == "b":
                    _cut(world, machine)
                    hired.add(name)
            await asyncio.sleep(0.1)
        assert 1 <= len(hired) <= 4
        for host in cut:
            for name in world.nodes:
                world.net.heal(host, world.host(name), True)
        await world.until(
            lambda: any(m.zone == "b" and m.tasks for m in world.cloud.machines.values()),
            seconds=60 + FakeWorker.LEASE,
        )
        world.verdict()

    play(story)


def _cut(world: World, machine: FakeWorker) -> None:
    for name in world.nodes:
        world.net.cut(machine.host, world.host(name))
