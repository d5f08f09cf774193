"""What is rented in zones from which no heartbeats arrive."""

import asyncio
from typing import Any

import pytest

from basaltlead.core import fleet_sizing
from basaltlead.core.jobs import US, Job, MachineType, Shape
from basaltlead.core.offers import Offer, RentableOffers
from basaltlead.core.silent_zones import RENTAL_PAUSE_US, SilentZones
from basaltlead.core.task_demand import TaskDemand
from tests.builders import ShardHarness, make_job
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, simulated

MACHINE_TYPES = {
    "dear": MachineType("dear", 4.0, 0.0, 16.0, 2.0, 1.0, 5 * US, 50.0, 1.0, ("a", "b")),
    "cheap": MachineType("cheap", 4.0, 0.0, 16.0, 1.0, 0.5, 5 * US, 50.0, 1.0, ("a", "b")),
}
OFFERS: dict[Offer, int | None] = {
    Offer(machine_type, zone, spot): None
    for machine_type in MACHINE_TYPES
    for zone in "ab"
    for spot in (True, False)
}
OFFERS_IN_A = {offer: count for offer, count in OFFERS.items() if offer.zone == "a"}
REPORTING_BY_ZONE = {"a": [True, False], "b": [False, False, False]}


def test_silent_zone_is_a_trial_zone_after_a_pause_until_a_machine_reports() -> None:
    zones = SilentZones()
    anywhere, only_in_a = RentableOffers(OFFERS), RentableOffers(OFFERS_IN_A)

    assert zones.rentable_offers(OFFERS, [], 0) == anywhere
    assert zones.update(REPORTING_BY_ZONE, 0) == ["b"]
    assert zones.update(REPORTING_BY_ZONE, US) == []  # not newly silent
    assert zones.rentable_offers(OFFERS, [], RENTAL_PAUSE_US) == only_in_a
    after = US + RENTAL_PAUSE_US
    with_trial = RentableOffers(OFFERS, frozenset("b"))
    assert zones.rentable_offers(OFFERS, ["a"], after) == with_trial
    # The trial machine has not reported yet
    assert zones.rentable_offers(OFFERS, ["b"], after) == only_in_a
    assert zones.update({"a": [True]}, after) == []  # all machines in b were returned
    assert zones.rentable_offers(OFFERS, ["b"], after + RENTAL_PAUSE_US) == only_in_a
    zones.update({"a": [True], "b": [True]}, after + RENTAL_PAUSE_US)

    assert zones.rentable_offers(OFFERS, [], after + RENTAL_PAUSE_US) == anywhere


ANY_TRIAL = Offer("cheap", "b", True)


@pytest.mark.parametrize(
    ("fields", "trial"),
    [
        ({"zone": "b"}, ANY_TRIAL),
        ({"zone": "b", "spot": False}, Offer("cheap", "b", False)),
        ({"zone": "b", "types": frozenset({"dear"})}, Offer("dear", "b", True)),
        ({"zone": "b", "spot": False, "types": frozenset({"dear"})}, Offer("dear", "b", False)),
        ({}, ANY_TRIAL),
    ],
)
@pytest.mark.parametrize("shape", Shape)
def test_trial_machine_of_a_zone_is_the_cheapest_that_waiting_work_can_use(
    shape: Shape, fields: dict[str, Any], trial: Offer
) -> None:
    # Guards against zones that stay silent because nothing that waits can use their trial machine.
    in_b: dict[Offer, int | None] = {offer: None for offer in OFFERS if offer.zone == "b"}
    job = make_job(shape=shape, tasks=3, cpus=4.0, **fields)

    assert _rentals(job, RentableOffers(in_b)) == [trial] * 3
    assert _rentals(job, RentableOffers(in_b, frozenset("b"))) == [trial]
    assert _rentals(job, RentableOffers(in_b, frozenset("a"))) == [trial] * 3


def test_work_that_other_zones_can_serve_causes_no_costly_trial() -> None:
    large = make_job(tasks=3, cpus=4.0, types=frozenset({"dear"}))
    on_trial = frozenset("b")

    assert _rentals(large, RentableOffers(OFFERS, on_trial)) == [Offer("dear", "a", True)] * 3
    without_spot = {offer: count for offer, count in OFFERS_IN_A.items() if not offer.spot}
    in_b = {offer: count for offer, count in OFFERS.items() if offer.zone == "b"}
    assert (
        _rentals(large, RentableOffers(in_b | without_spot, on_trial))
        == [Offer("dear", "a", False)] * 3
    )
    assert _rentals(large, RentableOffers(in_b | dict.fromkeys(without_spot, 2), on_trial)) == [
        Offer("dear", "a", False),
        Offer("dear", "a", False),
        Offer("dear", "b", True),
    ]


def _rentals(job: Job, offers: RentableOffers) -> list[Offer]:
    """Return what is rented for a job that waits as a whole."""
    job_state = ShardHarness(machines=0).shard.add_job(job, 200, 0)
    needs = [TaskDemand(job_state, job.tasks)]
    return fleet_sizing.plan_fleet(needs, [], [], MACHINE_TYPES, offers, 12).rentals


def test_no_zone_is_silent_when_all_machines_are() -> None:
    zones = SilentZones()

    assert zones.update({"a": [False] * 5, "b": [False] * 5}, 0) == []
    assert zones.update({"a": [False] * 2, "b": [True]}, 0) == []  # two may fail by chance
    assert zones.rentable_offers(OFFERS, [], 0) == RentableOffers(OFFERS)


@simulated
async def test_long_partition_of_a_zone_costs_few_machines_and_the_zone_is_used_again(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 12
    await deployment.start()
    await deployment.submit(
        deployment.job(2, Pieces=2, Cores=4.0, RunS=900.0, GuessS=900.0, Yard="a")
    )
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000002")) == 2)
    await deployment.submit(deployment.job(1, Pieces=400, Cores=4.0, RunS=6.0, Yard="b"))
    await deployment.wait_until(lambda: len(deployment.rule_checker.running_on) >= 6)

    worker_hosts = [f"10.1.{i // 250}.{i % 250}" for i in range(1000)]
    for machine in list(deployment.cloud.machines.values()):
        if machine.zone == "b":
            _cut_from_controllers(deployment, machine)
    end = loop.time() + 120
    rented: set[str] = set()
    known_machines = set(deployment.cloud.machines)
    while loop.time() < end:
        for name, machine in list(deployment.cloud.machines.items()):
            if name not in known_machines and machine.zone == "b":
                _cut_from_controllers(deployment, machine)
                rented.add(name)
        await asyncio.sleep(0.1)
    assert 1 <= len(rented) <= 4
    for host in worker_hosts:
        for name in deployment.nodes:
            deployment.net.heal(host, deployment.host(name), True)
    await deployment.wait_until(
        lambda: any(m.zone == "b" and m.tasks for m in deployment.cloud.machines.values()),
        seconds=60 + FakeWorker.LEASE_S,
    )

    deployment.assert_no_violation()


@pytest.mark.parametrize(
    "fields",
    [
        {"Yard": "b"},  # on-demand machines only, and the cheapest offer is a spot machine
        {"Yard": "b", "Loaners": True, "Cores": 12.0},  # too large for the cheapest machine
        {"Yard": "b", "Loaners": True, "Cores": 16.0, "Grades": ["large"]},
        {"Apart": True, "Pieces": 6},  # at most half of the replicas may be in the other zone
    ],
)
@simulated
async def test_work_of_a_silent_zone_runs_again(loop: Loop, fields: dict[str, Any]) -> None:
    # Guards against replicas that never come back because no trial machine suits them.
    deployment = Deployment(loop)
    deployment.cloud.capacity = 20
    await deployment.start()
    elsewhere = deployment.service(1, Pieces=1, Cores=4.0, Yard="a")
    service = deployment.service(2, **({"Pieces": 3, "Cores": 4.0} | fields))
    await deployment.submit(elsewhere)
    await deployment.submit(service)
    await deployment.wait_until_served(elsewhere["Ref"], service["Ref"])
    in_b = [machine for machine in deployment.cloud.machines.values() if machine.zone == "b"]
    assert len(in_b) >= 3

    for machine in in_b:
        _cut_from_controllers(deployment, machine)
    await asyncio.sleep(2 * FakeWorker.LEASE_S)
    for machine in in_b:
        for name in deployment.nodes:
            deployment.net.heal(machine.host, deployment.host(name))

    pause_s = RENTAL_PAUSE_US / US
    await deployment.wait_until_served(service["Ref"], seconds=pause_s + 30.0)
    deployment.assert_no_violation()


def _cut_from_controllers(deployment: Deployment, machine: FakeWorker) -> None:
    for name in deployment.nodes:
        deployment.net.cut(machine.host, deployment.host(name))
