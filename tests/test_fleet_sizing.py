"""Fleet sizing: what is rented for waiting tasks."""

from basaltlead.core import fleet_sizing
from basaltlead.core.fleet_sizing import TaskDemand
from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer, RentableOffers
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
