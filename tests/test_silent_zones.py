"""What is rented in zones from which no heartbeats arrive."""

import asyncio

from basaltlead.core.jobs import US, MachineType
from basaltlead.core.offers import Offer
from basaltlead.core.silent_zones import RENTAL_PAUSE_US, SilentZones
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


def test_silent_zone_gets_one_trial_machine_after_a_pause_until_a_machine_reports() -> None:
    zones = SilentZones()

    assert zones.rentable_offers(OFFERS, MACHINE_TYPES, [], 0) == OFFERS
    assert zones.update(REPORTING_BY_ZONE, 0) == ["b"]
    assert zones.update(REPORTING_BY_ZONE, US) == []  # not newly silent
    assert zones.rentable_offers(OFFERS, MACHINE_TYPES, [], RENTAL_PAUSE_US) == OFFERS_IN_A
    after = US + RENTAL_PAUSE_US
    trial = Offer("cheap", "b", True)
    assert zones.rentable_offers(OFFERS, MACHINE_TYPES, ["a"], after) == OFFERS_IN_A | {trial: 1}
    # The trial machine has not reported yet
    assert zones.rentable_offers(OFFERS, MACHINE_TYPES, ["b"], after) == OFFERS_IN_A
    assert zones.update({"a": [True]}, after) == []  # all machines in b were returned
    assert (
        zones.rentable_offers(OFFERS, MACHINE_TYPES, ["b"], after + RENTAL_PAUSE_US) == OFFERS_IN_A
    )
    zones.update({"a": [True], "b": [True]}, after + RENTAL_PAUSE_US)

    assert zones.rentable_offers(OFFERS, MACHINE_TYPES, [], after + RENTAL_PAUSE_US) == OFFERS


def test_no_zone_is_silent_when_all_machines_are() -> None:
    zones = SilentZones()

    assert zones.update({"a": [False] * 5, "b": [False] * 5}, 0) == []
    assert zones.update({"a": [False] * 2, "b": [True]}, 0) == []  # two may fail by chance
    assert zones.rentable_offers(OFFERS, MACHINE_TYPES, [], 0) == OFFERS


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


def _cut_from_controllers(deployment: Deployment, machine: FakeWorker) -> None:
    for name in deployment.nodes:
        deployment.net.cut(machine.host, deployment.host(name))
