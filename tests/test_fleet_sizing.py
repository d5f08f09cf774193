"""Fleet sizing: what is rented for waiting tasks."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.core import fleet_sizing
from basaltlead.core.demand import MAX_INITIAL_WAIT_US, RentedCapacity
from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import SERVICE_RUN_TIME_US, US, Shape
from basaltlead.core.offers import Offer, RentableOffers
from basaltlead.core.planning import plan
from basaltlead.core.task_demand import TaskDemand
from basaltlead.core.teams import TeamQuota
from basaltlead.core.unusable_room import UnusableRoom
from tests.builders import MACHINE_TYPE, ShardHarness, make_job
from tests.fakes import Deployment
from tests.simulation import Loop, simulated

UNLIMITED_OFFERS: dict[Offer, int | None] = {
    Offer("k", "a", True): None,
    Offer("k", "a", False): None,
}


def _rented(backlog_us: float, offers: dict[Offer, int | None]) -> list[bool]:
    """Whether each machine rented for a job of 40 tasks is a spot machine. `backlog_us` is how long
    the machines that are already rented need for the backlog."""
    harness = ShardHarness(machines=0)
    job_state = harness.shard.add_job(make_job(tasks=40), 200, harness.now)
    needs = [TaskDemand(job_state, 40, backlog_us)]
    return [
        offer.spot
        for offer in fleet_sizing.plan_fleet(
            needs, [], [], {"k": MACHINE_TYPE}, RentableOffers(offers), 12
        ).rentals
    ]


def test_spot_machines_are_rented_early_and_on_demand_ones_for_lasting_backlogs() -> None:
    assert MACHINE_TYPE.boot_us == 5 * US
    assert _rented(2 * US, UNLIMITED_OFFERS) == []  # done before a machine has booted
    assert _rented(5 * US, UNLIMITED_OFFERS) == [True] * 10
    two_spots = UNLIMITED_OFFERS | {Offer("k", "a", True): 2}

    assert _rented(5 * US, two_spots) == [True] * 2
    assert _rented(60 * US, two_spots) == [True] * 2 + [False] * 8


# What the rented machines are worth to an array that waits

BACKLOG_US = 120.0 * US  # in CPU time
INFINITE = float("inf")


def _backlog_s(harness: ShardHarness, job_state: JobState, own_cpu_us: float = 0.0) -> float:
    """How long the machines of a harness need for the backlog, in seconds."""
    capacity = RentedCapacity(harness.shard.machines.values())
    return capacity.backlog_us(job_state, own_cpu_us, BACKLOG_US) / US


def _harness_with_service(**fields: object) -> ShardHarness:
    """Three machines of 4 CPUs and 16 GB, with one replica of a service on each."""
    harness = ShardHarness(machines=3)
    service = harness.submit(
        1, shape=Shape.SERVICE, rank=3, tasks=3, estimated_run_us=SERVICE_RUN_TIME_US, **fields
    )
    assert len({attempt.machine.name for attempt in service.live.values()}) == 3
    return harness


@pytest.mark.parametrize(
    ("fields", "backlog_s"),
    [
        ({"cpus": 1.0}, 120 / 3),  # one CPU is left on each machine
        ({"cpus": 2.0}, INFINITE),
        ({"cpus": 0.0, "memory_gb": 4.0}, 120 / 3),
        ({"cpus": 0.0, "memory_gb": 5.0}, INFINITE),
        ({"cpus": 0.0, "gpus": 1.0}, INFINITE),  # the type has none
        ({"cpus": 5.0}, INFINITE),  # too large for the type
        ({"zone": "a"}, 120 / 3),
        ({"zone": "b"}, INFINITE),
        ({"types": frozenset({"other"})}, INFINITE),
    ],
)
def test_machines_count_for_an_array_if_a_task_of_it_fits_beside_services(
    fields: dict[str, Any], backlog_s: float
) -> None:
    # Guards against jobs that wait for ever beside free CPUs that their tasks can't use.
    harness = _harness_with_service(cpus=3.0, memory_gb=12.0)

    assert _backlog_s(harness, harness.submit(2, **fields)) == backlog_s


def test_machines_count_as_a_whole_for_an_array_beside_other_arrays() -> None:
    harness = ShardHarness(machines=3)
    harness.submit(1, cpus=3.0, tasks=3)

    assert _backlog_s(harness, harness.submit(2, cpus=4.0)) == 120 / 12


def test_backlog_of_an_array_is_at_least_that_of_its_own_tasks() -> None:
    # Guards against renting too late for tasks of which few fit on a machine.
    harness = ShardHarness(machines=3)
    tasks = harness.submit(1, cpus=1.0, memory_gb=10.0, tasks=30, estimated_run_us=60 * US)

    assert _backlog_s(harness, tasks, own_cpu_us=30 * 60 * US) == 10 * 60  # one on each machine


@pytest.mark.parametrize(
    "leave",
    [
        lambda machine: setattr(machine, "faulty", True),
        lambda machine: setattr(machine, "terminating", True),
        lambda machine: setattr(machine, "lost", True),
        lambda machine: setattr(machine, "preemption_at", 0),
    ],
)
def test_machine_that_takes_no_task_any_more_is_no_capacity(
    leave: Callable[[Machine], None],
) -> None:
    harness = ShardHarness(machines=2)
    leave(harness.shard.machines["m-0"])

    assert _backlog_s(harness, harness.submit(1)) == 120 / 4
    leave(harness.shard.machines["m-1"])

    assert _backlog_s(harness, harness.submit(2)) == INFINITE


def test_zones_that_an_array_may_not_use_now_are_no_capacity() -> None:
    # Guards against tasks that must be elsewhere and wait for machines in the wrong zone.
    harness = ShardHarness(machines=0)
    for name, zone in (("m-0", "a"), ("m-1", "b"), ("m-2", "b")):
        harness.add(name, zone)
    harness.heartbeat("m-0")
    spread = harness.submit(1, cpus=4.0, tasks=2, spread_zones=True)
    one_zone = harness.submit(2, cpus=1.0, tasks=2, one_zone=True)

    assert [attempt.machine.zone for attempt in spread.live.values()] == ["a"]
    assert _backlog_s(harness, spread) == 120 / 8
    assert _backlog_s(harness, one_zone) == 120 / 12


@pytest.mark.parametrize(
    "fields",
    [
        {"Cores": 12.0},
        {"Cores": 1.0, "MemoryGb": 4.0},
        {"Cores": 1.0, "Gpus": 1.0},
        {"Cores": 0.0, "Gpus": 1.0},
        {"Cores": 12.0, "Loaners": False, "Rank": "best_effort"},
        {"Cores": 12.0, "Yard": "b", "Pieces": 3},
        {"Cores": 3.0, "MemoryGb": 2.0, "OneZone": True, "Pieces": 2},
    ],
)
@pytest.mark.parametrize("shape", ["service", "group"])
@simulated
async def test_job_runs_beside_machines_that_are_too_small_for_it(
    loop: Loop, shape: str, fields: dict[str, Any]
) -> None:
    # Guards against an accepted job that never runs while machines have room it can't use.
    deployment = Deployment(loop)
    deployment.cloud.capacity = 20
    await deployment.start()
    small = {"Pieces": 6, "Cores": 1.0, "MemoryGb": 15.0, "Grades": ["small"]}
    for_long = {"RunS": 900.0, "GuessS": 900.0, "Loaners": False}
    await deployment.submit(deployment.job(1, **(small | for_long | {"Shape": shape})))
    await deployment.wait_until_served("req-000001")

    await deployment.submit(deployment.job(2, **({"Crew": "blue"} | fields)))
    await deployment.wait_until_done("req-000002")

    assert len(deployment.running_tasks("req-000001")) == 6  # nothing was stopped for it
    deployment.assert_no_violation()


# Jobs that find no machine, although sizing counts room for them

STARVED_S = MAX_INITIAL_WAIT_US / US
BOOT_AND_START_S = 15.0


async def _submit_small_tasks(deployment: Deployment) -> None:
    """Keep about half of a large machine busy with tasks that come and go."""
    for number in itertools.count(100):
        fields = {"Cores": 2.0, "RunS": 4.0, "GuessS": 4.0, "Grades": ["large"], "Loaners": False}
        await deployment.submit(deployment.job(number, **fields))
        await asyncio.sleep(deployment.rng.uniform(0.5, 1.0))


@pytest.mark.parametrize("rank", ["standard", "best_effort"])
@simulated
async def test_large_task_runs_beside_a_stream_of_small_ones(loop: Loop, rank: str) -> None:
    # Guards against a job that waits while small tasks take each piece of room that becomes free.
    deployment = Deployment(loop)
    await deployment.start()
    small_tasks = loop.create_task(_submit_small_tasks(deployment))
    await asyncio.sleep(30)
    rented = deployment.cloud.rented_count

    large = deployment.job(2, Crew="blue", Cores=15.0, Loaners=False, Rank=rank)
    await deployment.submit(large)
    await deployment.wait_until_done(large["Ref"], seconds=STARVED_S + BOOT_AND_START_S)

    assert deployment.cloud.rented_count == rented + 1
    small_tasks.cancel()
    deployment.assert_no_violation()


@pytest.mark.parametrize("waiting", ["batch", "service"])
@pytest.mark.parametrize("running", ["batch", "service"])
@simulated
async def test_job_runs_beside_lower_ranks_that_it_may_not_stop(
    loop: Loop, running: str, waiting: str
) -> None:
    # Guards against a job that waits for room of lower ranks that sizing counts as its own.
    deployment = Deployment(loop)
    await deployment.start()
    filler = deployment.job(9, Cores=14.0, RunS=20.0, GuessS=20.0, Loaners=False)
    await deployment.submit(filler)
    await deployment.wait_until_served(filler["Ref"])
    for_long = {"Shape": running, "RunS": 900.0, "GuessS": 900.0, "Loaners": False}
    await deployment.submit(deployment.job(1, Cores=2.0, Rank="best_effort", **for_long))
    await deployment.wait_until_served("req-000001")
    await deployment.wait_until_done(filler["Ref"])
    rented = deployment.cloud.rented_count
    assert rented == 1

    fields = {"Shape": waiting, "Crew": "blue", "Cores": 15.0, "RunS": 30.0, "Loaners": False}
    await deployment.submit(deployment.job(2, **fields))
    await deployment.wait_until_served("req-000002", seconds=STARVED_S + BOOT_AND_START_S)

    assert len(deployment.running_tasks("req-000001")) == 1
    assert sum(m.machine_type["Label"] == "large" for m in deployment.cloud.machines.values()) == 2
    deployment.assert_no_violation()


def test_job_that_no_plan_places_gets_one_machine_that_its_tasks_can_follow_to() -> None:
    harness = ShardHarness(machines=2)
    job_state = harness.shard.add_job(make_job(tasks=3, cpus=2.0), 200, harness.now)

    def rented() -> int:
        machines = list(harness.shard.machines.values())
        no_room_on = UnusableRoom(machines, harness.now).by(job_state)
        needs = [TaskDemand(job_state, 3, 0.0, no_room_on=no_room_on)]
        offers = RentableOffers(UNLIMITED_OFFERS)
        types = {"k": MACHINE_TYPE}
        return len(fleet_sizing.plan_fleet(needs, [], machines, types, offers, 12).rentals)

    assert rented() == 0
    job_state.unplaced_since = harness.now - 2 * MAX_INITIAL_WAIT_US
    assert rented() == 0  # the machines have come up since
    harness.now += MAX_INITIAL_WAIT_US
    assert rented() == 1
    harness.add("m-2")
    assert rented() == 0  # it boots
    harness.now += MAX_INITIAL_WAIT_US
    harness.heartbeat("m-2")
    assert rented() == 0  # it has just come up
    harness.now += MAX_INITIAL_WAIT_US

    assert rented() == 1


def test_time_without_a_machine_counts_only_while_one_may_be_used() -> None:
    harness = ShardHarness(quotas={"red": TeamQuota(cpus_max=4.0)})
    running = harness.submit(1, cpus=4.0)
    at_limit = harness.submit(2, cpus=1.0)
    other_team = harness.submit(3, cpus=1.0, team="blue")
    array = harness.submit(4, cpus=1.0, tasks=2, team="blue")
    assert not array.live
    assert running.live

    assert not running.unplaced_since
    assert not at_limit.unplaced_since
    assert other_team.unplaced_since == harness.now
    other_team.retry_at = harness.now + US
    plan(harness.shard, harness.now)
    assert not other_team.unplaced_since
    harness.add("m-1")
    harness.heartbeat("m-1")
    plan(harness.shard, harness.now)

    assert array.live
    assert not array.unplaced_since


@simulated
async def test_nothing_is_rented_for_a_short_backlog_that_fits_beside_a_service(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.service(1, Pieces=3, Cores=1.0, MemoryGb=12.0))
    await deployment.wait_until_served("req-000001")
    rented = deployment.cloud.rented_count

    # Nine of them fit at a time; all are done before another machine would be up.
    await deployment.submit(deployment.job(2, Pieces=12, RunS=2.0, GuessS=2.0))
    await deployment.wait_until_done("req-000002")

    assert deployment.cloud.rented_count == rented
    deployment.assert_no_violation()


@simulated
async def test_machines_are_returned_although_pushed_starts_were_never_acknowledged(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=3, RunS=12.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 3)

    for machine in deployment.cloud.machines.values():
        machine.answers_lost = True
    await deployment.submit(deployment.job(2, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001", "req-000002")
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=150.0)

    deployment.assert_no_violation()
