"""Both versions side by side, each on the other's data, and what happens if an old one comes back.

`data/production_records.json` was written by the version before services itself: in a checkout of
the commit that deploy/service.toml names, a script submitted jobs of every shape to a `World` of
`tests/fakes`, cancelled one, took the key-value store away for 5 s, and kept the first record of
each kind as the key-value store got it, and the first message of each kind that a controller got
from another. Records of members, shards, jobs, results (one of 24,576 tasks), rental requests,
machines and teams are among them.
"""

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from basaltlead.cluster import versions
from basaltlead.cluster.peer_link import decoder
from basaltlead.core.cluster_view import Claim, ClusterView, Counter, Grant, Versioned
from basaltlead.core.jobs import Shape
from basaltlead.core.market import TeamRecord
from basaltlead.storage.records import Final, StoredJob, StoredMachine, StoredScaleOut, job_of
from basaltlead.storage.result_rows import Progress
from tests.fakes import FakeWorker, World, old_schemas
from tests.simulation import Loop, play

DATA = json.loads((Path(__file__).parent / "data" / "production_records.json").read_text())
TYPES: dict[str, Any] = {
    "c/baton": Counter,
    "c/block": Grant,
    "c/leader": Claim,
    "c/member": Claim,
    "hire": StoredScaleOut,
    "mach": StoredMachine,
    "open": StoredJob,
    "over": Final,
    "result": Progress,
    "team": TeamRecord,
}


def _kind(key: str) -> str:
    parts = key.split("/")
    if parts[0] == "open" and len(parts) == 3:
        return "result"
    return "/".join(parts[:2]) if parts[0] == "c" else parts[0]


# Records and messages


def test_every_record_of_the_old_version_is_read_as_it_was_meant() -> None:
    machine_types = set()
    for key, value in DATA["records"]:
        machine_type = _kind(key)
        read = msgspec.json.decode(msgspec.json.encode(value), type=TYPES[machine_type])
        machine_types.add(machine_type)
        if isinstance(read, Claim):
            assert read.version == 0
        if isinstance(read, StoredJob):
            assert read.sent.ref == key.removeprefix("open/")
            shapes = {"batch": Shape.ARRAY, "group": Shape.GANG, "service": Shape.SERVICE}
            assert job_of(read.sent).shape is shapes[value["job"]["Shape"]]
        elif not isinstance(read, Claim):
            assert msgspec.to_builtins(read) == value
    assert machine_types == set(TYPES)


def test_messages_of_the_old_version_are_read_and_ours_are_spelled_as_its_own() -> None:
    for message in DATA["messages"]:
        raw = msgspec.json.encode(message)
        assert msgspec.to_builtins(decoder.decode(raw)) == message
        assert msgspec.json.encode(decoder.decode(raw)) == raw


async def _seeded(loop: Loop) -> World:
    """A world whose key-value store holds what the old version left behind; all processes ended."""
    world = World(loop)
    for number, (key, value) in enumerate(DATA["records"], 1):
        if not key.startswith(("c/member", "c/leader")):  # those ended with their session leases
            world.store.keys[key] = (value, number, None)
            world.store.revision = number
        if key.startswith("open/") and key.count("/") == 1:
            world.jobs[value["job"]["Ref"]] = value["job"] | {"RunS": 1.0}
    await world.start()
    return world


def test_what_the_old_version_stored_goes_on() -> None:
    async def story(loop: Loop) -> None:
        world = await _seeded(loop)
        await world.until(lambda: world.shard_leader() is not None)
        assert await world.poll("req-000005") == "done"
        assert await world.poll("req-000006") == "withdrawn"
        await world.until_served("req-000004")  # a service that was taken for an array
        await world.until_done("req-000002", seconds=60)
        assert await world.cancel("req-000004") == "withdrawn"
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        large = world.parts[shard_leader].shard_leaders[0].shard.job_states["req-000001"]
        done = sum(v["count"] for k, v in DATA["records"] if k == "open/req-000001/0.0")
        assert large.done_count >= done > 0
        assert not world.store.oversized

    play(story)


def test_what_we_write_beside_an_old_member_can_be_read_by_it() -> None:
    """Jobs, results of a large array, rental requests, machines, budgets: and no service."""

    async def story(loop: Loop) -> None:
        world = World(loop, later={"value_kb": 2.0, "txn_ops": 4})
        world.old = {"node-1"}
        await world.start()
        tiny: dict[str, Any] = {"Cores": 0.01, "MemoryGb": 0.01, "RunS": 0.2}
        await world.submit(world.job(1, Pieces=13_000, **tiny))
        await world.submit(world.job(2, Shape="group", Pieces=3, RunS=300.0))
        await world.submit(world.job(3, Pieces=6, RunS=300.0, GuessS=300.0))
        status, body = await world.ask("node-0", "POST", "/api/jobs", world.service(4))
        assert status == 503, body
        for _ in range(60):
            await asyncio.sleep(0.25)
            for key, (value, _, _) in world.store.keys.items():
                old_schemas.read(key, value)
        assert any("/1000." in key for key in world.store.keys)  # results of the large array
        assert not world.store.oversized

    play(story)


def test_a_service_is_stored_so_that_an_old_owner_can_not_take_it_for_an_array() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        assert await world.submit(world.service(1)) == 201
        with pytest.raises(msgspec.ValidationError):
            old_schemas.read("open/req-000001", world.store.keys["open/req-000001"][0])
        stored = world.store.keys["open/req-000001"][0]
        assert msgspec.convert(stored, StoredJob).sent.shape == "service"
        await world.until_served("req-000001")
        world.verdict()

    play(story)


# Which version the cluster has


def _cluster(**versions: int) -> ClusterView:
    cluster = ClusterView()
    for name, version in versions.items():
        cluster.members[name] = Versioned(Claim(name, "ab", version), 5)
    return cluster


def test_services_are_allowed_while_no_member_is_of_an_older_version() -> None:
    assert not versions.services_allowed(ClusterView())  # nothing is known yet
    assert not versions.services_allowed(_cluster(a=1, b=0))
    one_away = _cluster(a=1, b=1)
    assert versions.services_allowed(one_away)  # without its key the third does nothing
    preconditions = versions.member_preconditions(one_away, ["b", "c"])
    assert [(precondition.key, precondition.version) for precondition in preconditions] == [
        ("c/member/b", 5),
        ("c/member/c", 0),
    ]


def test_an_old_member_that_joins_in_the_very_moment_makes_the_acceptance_fail() -> None:
    """The node that is asked has not heard of it yet."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        world.crash("node-2")
        gone = world.parts["node-0"].membership.cluster.members
        await world.until(lambda: "node-2" not in gone, seconds=20)
        await asyncio.sleep(2)
        world.store.keys["c/member/node-2"] = (  # no watch tells of it
            {"name": "node-2", "life": "ab"},
            world.store.revision,
            None,
        )
        status, _ = await world.ask("node-0", "POST", "/api/jobs", world.service(1))
        assert status == 503
        assert "open/req-000001" not in world.store.keys
        del world.store.keys["c/member/node-2"]
        assert await world.submit(world.service(1), "node-0") == 201

    play(story)


def test_services_are_refused_until_the_last_controller_is_new_and_taken_from_then_on() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.old = set(world.nodes)
        await world.start()
        await world.submit(world.job(2, Pieces=3, RunS=200.0, GuessS=200.0))
        await world.until(lambda: len(world.on("req-000002")) == 3)
        for name in world.nodes:
            status, _ = await world.ask(name, "POST", "/api/jobs", world.service(1))
            assert status == 503
            await _upgrade(world, name)
        assert await world.submit(world.service(1)) == 201
        world.crash("node-0")  # one that is away changes nothing any more
        assert await world.submit(world.service(3), "node-1") == 201
        world.boot("node-0")
        await world.until_served("req-000001", "req-000003")
        assert world.rule_checker.starts_of("req-000002") == 3
        world.verdict()

    play(story)


async def _upgrade(world: World, name: str, away: float = 2.0) -> None:
    """Kill a controller, and start it in the new version."""
    if name in world.running:
        world.crash(name)
    await asyncio.sleep(away)
    world.old.discard(name)
    world.boot(name)
    await asyncio.sleep(4.0)


async def _roll(world: World, away: float = 2.0) -> None:
    for name in world.nodes:
        await _upgrade(world, name, away)


# Takeovers from one version by the other


@pytest.mark.parametrize("old", [True, False], ids=["old-to-new", "new-to-old"])
def test_a_takeover_across_versions_keeps_tasks_results_hires_and_cancellations(old: bool) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.old = set(world.nodes) if old else set()
        await world.start()
        await world.submit(world.job(1, Pieces=4, RunS=40.0, GuessS=40.0))
        await world.submit(world.job(2, Pieces=40, RunS=4.0))
        await world.submit(world.job(3, Pieces=2, RunS=400.0, GuessS=400.0))
        await world.until(lambda: len(world.rule_checker.results) > 10)
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        world.cloud.mute = 1  # a rental request under way, whose answer nobody hears
        await world.submit(world.job(4, Pieces=30, RunS=10.0))
        await asyncio.sleep(0.8)
        others = [name for name in world.nodes if name != shard_leader]
        for name in others:  # the next shard leader is of the other version
            world.crash(name)
            if old:
                world.old.discard(name)
            else:
                world.old.add(name)
            world.boot(name)
        await world.until(
            lambda: all(
                n in world.parts and world.parts[n].membership.holds_valid_lease for n in others
            )
        )
        assert await world.cancel("req-000003", shard_leader) == "withdrawn"
        world.crash(shard_leader)
        await world.until(lambda: world.shard_leader() in others)
        await world.until_done("req-000001", "req-000002", "req-000004")
        assert world.rule_checker.starts_of("req-000001") == 4  # its tasks lived on
        assert world.on("req-000003") == []
        world.verdict()

    play(story)


def test_results_that_the_new_version_stored_in_chunks_outlive_an_old_owner_between() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, later={"value_kb": 0.5, "txn_ops": 4})
        world.old = {"node-1"}
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        if world.shard_leader() == "node-1":
            world.crash("node-1")
            await world.until(lambda: world.shard_leader() not in (None, "node-1"))
            world.boot("node-1")
        tiny: dict[str, Any] = {"Cores": 0.05, "MemoryGb": 0.01, "RunS": 1.0}
        await world.submit(world.job(1, Pieces=3000, **tiny))
        await world.until(lambda: any("/1000." in key for key in world.store.keys))
        await asyncio.sleep(4)
        for name in ("node-0", "node-2"):
            world.crash(name)
        await world.until(lambda: world.shard_leader() == "node-1")
        await asyncio.sleep(5)
        world.boot("node-0")
        world.boot("node-2")
        world.crash("node-1")
        await world.until(lambda: world.shard_leader() in ("node-0", "node-2"))
        world.lower_limits()
        await world.until_done("req-000001", seconds=200)
        world.boot("node-1")
        await asyncio.sleep(5)
        assert not [key for key in world.store.keys if key.startswith("open/req-000001")]
        world.verdict()

    play(story)


# An old controller that comes back after all


def test_an_old_controller_that_is_back_can_not_keep_the_block_once_there_are_services() -> None:
    """It can't read them, hands the shard back, and a new one takes it."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        assert await world.submit(world.service(1)) == 201
        await world.until_served("req-000001")
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        back, other = (name for name in world.nodes if name != shard_leader)
        world.crash(back)
        world.old.add(back)
        world.boot(back)
        world.crash(other)
        await asyncio.sleep(3)
        world.crash(shard_leader)  # only the old one is left: it takes the shard, and can't load it
        await asyncio.sleep(2)
        world.boot(other)
        await world.until(lambda: world.shard_leader() == other, seconds=20)
        world.boot(shard_leader)
        await world.until_served("req-000001", seconds=FakeWorker.LEASE + 20)
        for name in world.nodes:
            assert await world.poll("req-000001", name) == "running"
        assert await world.cancel("req-000001", back) == "withdrawn"
        await asyncio.sleep(World.CANCEL)
        assert world.on("req-000001") == []
        world.verdict()

    play(story)


# Rolls in the middle of troubles


async def _outage(world: World) -> None:
    world.store.down = True
    await asyncio.sleep(6.0)
    world.store.outage_over()


async def _refused_alone(world: World) -> None:
    shard_leader = world.shard_leader()
    if shard_leader is not None:
        world.store.refused.add(world.host(shard_leader))
        await asyncio.sleep(8.0)
        world.store.refused.discard(world.host(shard_leader))


async def _late_writes(world: World) -> None:
    world.store.late_writes = 0.3
    await asyncio.sleep(15.0)
    world.store.late_writes = 0.0


async def _crashes(world: World) -> None:
    """One that dies before its turn comes back in the version that it had."""
    for _ in range(3):
        name = world.chance.choice(world.nodes)
        if name in world.running:
            world.crash(name)
            await asyncio.sleep(0.3)
            if name not in world.running:
                world.boot(name)
        await asyncio.sleep(3.0)


@pytest.mark.parametrize("trouble", [_outage, _refused_alone, _late_writes, _crashes])
@pytest.mark.parametrize("seed", range(3))
def test_a_roll_in_the_middle_of_a_trouble_breaks_no_rule(trouble: Any, seed: int) -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, seed, later={"value_kb": 2.0, "txn_ops": 4})
        chance = random.Random(seed)
        world.old = set(world.nodes)
        await world.start()
        for number in range(1, 7):
            shape = "group" if number % 3 == 0 else "batch"
            await world.submit(
                world.job(number, Shape=shape, Pieces=3, RunS=chance.choice([2.0, 15.0]))
            )
        await asyncio.sleep(chance.uniform(4, 8))
        rolling = loop.create_task(_roll(world, chance.choice([0.3, 2.0])))
        await asyncio.sleep(chance.uniform(0, 6))
        troubling = loop.create_task(trouble(world))
        await world.cancel("req-000002")
        while not (rolling.done() and troubling.done()):
            world.rule_checker.check()
            await asyncio.sleep(0.2)
        await rolling
        await troubling
        world.heal()
        world.lower_limits()
        await world.submit(world.service(9, Apart=True, Pieces=4))
        await world.until_served("req-000009")
        await world.until_done(*[f"req-{n:06d}" for n in (1, 3, 4, 5, 6)])
        await world.cancel("req-000009")
        await asyncio.sleep(5)
        assert world.on("req-000009") == []
        world.verdict()

    play(story, seed)
