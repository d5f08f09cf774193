"""The reclaim duty: machines that are in no record, have failed, or belong to no shard any more."""

import asyncio

from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer
from basaltlead.duties.unknown_machines import UnknownMachines
from basaltlead.wire.cloud import RentedMachine
from tests.duty_support import (
    DUTIES_ON,
    finish_and_check,
    open_intents,
    recorded_events,
    start_with_duties,
    wait_for_all_holders,
)
from tests.fakes import Deployment
from tests.fakes.worker import FakeWorker
from tests.simulation import Loop, simulated


def _listed(name: str, age_s: float = 5.0) -> RentedMachine:
    return RentedMachine(name, "small", "a", True, "running", "10.1.0.1:9", age_s)


def test_unknown_machine_is_abandoned_only_after_the_grace_period() -> None:
    unknown_machines = UnknownMachines(grace_period_us=6 * US)
    offer = Offer("small", "a", True)
    for second in range(0, 21, 4):
        unknown_machines.update([_listed("m-1")], known=(), listed_at=second * US)
        abandoned = unknown_machines.abandoned(
            [_listed("m-1")], pending_offers=[offer], listed_at=second * US
        )
        assert abandoned == []  # a request in progress may have rented it
        abandoned = unknown_machines.abandoned(
            [_listed("m-1")], pending_offers=[], listed_at=second * US
        )
        # In the grace period, m-1 may be a deleted machine that the list still shows
        assert bool(abandoned) == (second > 6)
    unknown_machines.update([_listed("m-1")], known=["m-1"], listed_at=24 * US)
    unknown_machines.update([_listed("m-1")], known=[], listed_at=28 * US)

    assert unknown_machines.abandoned([_listed("m-1")], [], 30 * US) == []  # was known in between


@simulated
async def test_machines_of_a_rental_in_progress_are_not_adopted_and_unknown_ones_are(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)
    # The list shows these machines before their names are recorded
    deployment.cloud.unanswered_rentals = 4
    await deployment.submit(deployment.job(1, Pieces=4, RunS=30.0))
    await deployment.wait_until(lambda: bool(deployment.cloud.machines))

    await asyncio.sleep(3)
    deployment.cloud.answer_delay_s = 3.0
    await asyncio.sleep(25)
    assert recorded_events(deployment, "adopted") == []
    deployment.cloud.answer_delay_s = 0.02
    await deployment.wait_until_done("req-000001")
    machine_type = deployment.cloud.TYPES[0]
    unknown_machine = deployment.cloud.machines["m-000900"] = FakeWorker(
        deployment, "m-000900", machine_type, "a", True
    )
    unknown_machine.task.cancel()  # it never comes up, so only the list shows it
    await deployment.wait_until(lambda: bool(recorded_events(deployment, "adopted")), seconds=60.0)
    await finish_and_check(deployment)


@simulated
async def test_failed_machine_returned_by_two_duties_is_deleted_once(loop: Loop) -> None:
    """The holders of two duties act on the same machine."""
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    failed = next(iter(deployment.cloud.machines.values()))

    failed.failed = True
    failed.hung = True
    await deployment.submit(deployment.job(2, Pieces=1, RunS=3.0, Cores=8.0))
    await deployment.wait_until(lambda: any(not m.up for m in deployment.cloud.machines.values()))
    booting = next(m for m in deployment.cloud.machines.values() if not m.up)
    booting.failed = True
    booting.task.cancel()
    # Its shard leader would wait for another 17 s; the list shows the failure earlier.
    await deployment.wait_until(lambda: booting.name not in deployment.cloud.machines, seconds=14.0)
    assert recorded_events(deployment, "to be returned")
    await deployment.wait_until(lambda: failed.name not in deployment.cloud.machines, seconds=60.0)
    await deployment.wait_until(lambda: not open_intents(deployment, "return/"))
    assert f"mach/{failed.name}" not in deployment.store.keys
    await finish_and_check(deployment)


@simulated
async def test_machines_of_a_removed_shard_are_returned(loop: Loop) -> None:
    deployment = Deployment(loop, operator={"duties": True, "blocks": 2})
    await deployment.start()

    await wait_for_all_holders(deployment)
    await deployment.submit(deployment.job(1, Pieces=40, RunS=300.0))
    keys = deployment.store.keys
    await deployment.wait_until(
        lambda: any(k.startswith("mach/") and v[0]["block"] == 1 for k, v in keys.items())
    )
    for name in deployment.nodes:
        deployment.crash(name)
    deployment.operator = DUTIES_ON
    for name in deployment.nodes:
        deployment.start_controller(name)
    await deployment.wait_until(
        lambda: not any(k.startswith("mach/") and v[0]["block"] == 1 for k, v in keys.items()),
        seconds=120.0,
    )

    assert any(one["count"] for one in recorded_events(deployment, "to be returned"))
    deployment.assert_no_violation()
