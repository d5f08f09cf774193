"""Duties: what a replaced holder can still do, and how a duty moves to the next holder."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from basaltlead.core.entities import US
from basaltlead.core.fleet_sizing import Offer
from basaltlead.duties.history import event
from basaltlead.duties.holder import DutyHolder
from basaltlead.duties.model import Duty
from basaltlead.duties.unknown_machines import UnknownMachines
from basaltlead.errors import PreconditionFailed
from basaltlead.scaling.scale_in import ScaleIn
from basaltlead.scaling.scale_out import ScaleOut
from basaltlead.storage.records import StoredScaleOut
from basaltlead.wire.cloud import RentedMachine
from tests.fakes import Deployment
from tests.fakes.cloud import FakeCloud
from tests.fakes.store import FakeKeyValueStore
from tests.fakes.worker import FakeWorker
from tests.simulation import Loop, on_host, simulated

DUTIES_ON = {"duties": True}
FAILOVER_S = 6.0  # s: a session lease of 1.8 s, its end noticed, and the grant


async def _wait_for_all_holders(deployment: Deployment) -> None:
    """Every duty has a holder that acts."""
    await deployment.wait_until(
        lambda: all(deployment.holder(duty) for duty in Duty), seconds=FAILOVER_S
    )


async def start_with_duties(loop: Loop, seed: int = 1, **more: Any) -> Deployment:
    deployment = Deployment(loop, seed, operator=DUTIES_ON, **more)
    await deployment.start()
    await _wait_for_all_holders(deployment)
    await asyncio.sleep(2)  # every controller knows the machine types
    return deployment


def _open_intents(deployment: Deployment, prefix: str) -> list[str]:
    """Intents that are recorded and not carried out."""
    return [
        key
        for key, (value, _, _) in deployment.store.keys.items()
        if key.startswith(prefix) and (prefix == "return/" or value["names"] is None)
    ]


def _recorded_events(deployment: Deployment, action: str) -> list[dict[str, Any]]:
    pages = [v for k, (v, _, _) in deployment.store.keys.items() if k.startswith("history/")]
    return [event for page in pages for event in page["events"] if event["action"] == action]


async def _finish_all_jobs_and_return_machines(deployment: Deployment) -> None:
    """All jobs are done, and no machine is left that anybody has to pay for."""
    deployment.end_all_faults()
    await deployment.wait_until_done(*deployment.jobs, seconds=200.0)
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=250.0)
    await deployment.wait_until(
        lambda: not _open_intents(deployment, "return/") and not _open_intents(deployment, "hire/")
    )
    deployment.assert_no_violation()


# Who holds what


@simulated
async def test_duties_are_spread_over_controllers_and_fencing_tokens_only_increase(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)

    holders = {duty: deployment.holder(duty) for duty in Duty}
    assert len(set(holders.values())) == 3
    tokens = {duty: deployment.store.keys[duty.key][0]["baton"] for duty in Duty}
    lost = holders[Duty.RENT]
    assert lost is not None
    deployment.crash(lost)
    await deployment.wait_until(
        lambda: deployment.holder(Duty.RENT) not in (None, lost), seconds=FAILOVER_S
    )
    await _wait_for_all_holders(deployment)
    moved = {duty: deployment.store.keys[duty.key][0]["baton"] for duty in Duty}
    assert all(moved[duty] > tokens[duty] for duty in Duty if holders[duty] == lost)
    assert all(moved[duty] == tokens[duty] for duty in Duty if holders[duty] != lost)
    # It gets its part again, and nothing is without a holder for long
    deployment.start_controller(lost)
    await deployment.wait_until(
        lambda: any(deployment.holder(duty) == lost for duty in Duty), seconds=20.0
    )
    await _wait_for_all_holders(deployment)


@simulated
async def test_shard_leader_rents_and_returns_itself_unless_all_controllers_support_duties(
    loop: Loop,
) -> None:
    deployment = Deployment(loop, operator=DUTIES_ON)
    deployment.old_version_nodes = {"node-1"}
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=150.0)

    assert not any(key.startswith(("c/duty/", "return/")) for key in deployment.store.keys)
    deployment.assert_no_violation()


# Holders that stand still and wake up


def _when_recorded(deployment: Deployment, prefix: str, action: Callable[[], None]) -> None:
    """Act in the very moment in which an intent is recorded."""
    before = deployment.store.on_accept

    def on_accept(changes: list[dict[str, Any]]) -> None:
        before(changes)
        if any(change.get("Put", "").startswith(prefix) for change in changes):
            deployment.store.on_accept = before
            action()

    deployment.store.on_accept = on_accept


async def _freeze_holder_at(deployment: Deployment, when: str, prefix: str, name: str) -> None:
    """The holder of a duty stands still when its next intent is recorded, or sent."""
    if when == "half sent":
        deployment.net.halving[FakeCloud.HOST] = 90.0
    if when == "before the check":
        _when_recorded(deployment, prefix, lambda: deployment.freeze(name))
        await deployment.wait_until(
            lambda: deployment.host(name) in deployment.loop.frozen, seconds=120.0
        )
        return
    deployment.cloud.answer_delay_s = 5.0
    recorded = asyncio.Event()
    _when_recorded(deployment, prefix, recorded.set)
    await deployment.wait_until(recorded.is_set, seconds=120.0)
    await asyncio.sleep(0.6)
    deployment.freeze(name)


@pytest.mark.parametrize("when", ["before the check", "sent", "half sent"])
@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
@simulated
async def test_holder_frozen_for_a_minute_decides_nothing_after_it_resumes(
    loop: Loop, duty: Duty, when: str
) -> None:
    deployment = await start_with_duties(loop)

    prefix = "hire/" if duty == Duty.RENT else "return/"
    if duty == Duty.RETURN:
        await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
        await deployment.wait_until_done("req-000001")
    holder = deployment.acting_holder(duty)
    if duty == Duty.RENT:
        await deployment.submit(
            deployment.job(1, Pieces=8, RunS=30.0), deployment.other_node(holder)
        )
    await _freeze_holder_at(deployment, when, prefix, holder)
    await deployment.wait_until(
        lambda: deployment.holder(duty) not in (None, holder), seconds=2 * FAILOVER_S
    )
    deployment.cloud.answer_delay_s = 0.02
    deployment.net.halving.clear()
    await asyncio.sleep(60)
    rented = len(deployment.cloud.scale_outs)
    deployment.thaw(holder)
    await asyncio.sleep(10)

    assert len(deployment.cloud.scale_outs) == rented
    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_regrant_to_the_same_controller_has_a_new_version(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    name = deployment.acting_holder(Duty.RETURN)
    member = deployment.controllers[name].membership
    stale = deployment.controllers[name].duties.holders[Duty.RETURN]
    others = deployment.other_nodes(name)

    assert await member.release(Duty.RETURN.key, leader_too=False)
    for other in others:  # so that it can only come back
        deployment.crash(other)
    held = deployment.controllers[name].duties.holders
    await deployment.wait_until(
        lambda: (
            held.get(Duty.RETURN, stale) is not stale and deployment.holder(Duty.RETURN) == name
        ),
        seconds=4 * FAILOVER_S,
    )
    fresh = held[Duty.RETURN]
    stale.stepped_down = False
    precondition = stale.preconditions()[1]
    assert precondition.version < fresh.preconditions()[1].version
    before = deployment.store.revision

    with pytest.raises(PreconditionFailed, match="c/duty/return"):
        await stale.history.commit([], [], event("returned"))
    assert deployment.store.revision == before


@simulated
async def test_regrant_before_the_answer_to_a_release_is_kept(loop: Loop) -> None:
    """Only the holder that was handed back ends: the next one may be there already."""
    deployment = await start_with_duties(loop)
    name = deployment.acting_holder(Duty.RETURN)

    for other in deployment.nodes:  # so that all that it hands back comes back
        if other != name:
            deployment.crash(other)
    await deployment.wait_until(
        lambda: deployment.holder(Duty.RENT) == name == deployment.shard_leader(), seconds=15.0
    )
    node = deployment.controllers[name]
    step_down = node.membership.release

    async def answered_late(key: str, leader_too: bool) -> bool:
        done: bool = await step_down(key, leader_too)
        await asyncio.sleep(5)
        return done

    node.membership.release = answered_late
    node.duties.holders[Duty.RETURN].step_down()
    node.shard_leaders[0].stepped_down = True
    await asyncio.sleep(15)

    assert deployment.holder(Duty.RETURN) == name == deployment.shard_leader()


@pytest.mark.parametrize(
    ("wall", "steady"),
    [(3600, 0), (-3600, 0), (0, 3600)],
    ids=["wall forward", "wall back", "steady forward"],
)
@simulated
async def test_clock_jumps_on_one_host_make_no_stale_holder(
    loop: Loop, wall: float, steady: float
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=20.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 6)

    for duty in (Duty.RENT, Duty.RETURN, Duty.RECLAIM):
        holder = deployment.acting_holder(duty)
        loop.wall_off[deployment.host(holder)] = wall
        loop.steady_off[deployment.host(holder)] = steady
        await asyncio.sleep(4)
        await _wait_for_all_holders(deployment)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_store_refuses_holder_whose_steady_clock_stopped_during_suspend(loop: Loop) -> None:
    """Its clock says that no time has passed, so its own check of the lease lets it act."""
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(Duty.RENT)

    deployment.freeze(holder)
    await deployment.submit(deployment.job(1, Pieces=8, RunS=60.0), deployment.other_node(holder))
    await asyncio.sleep(60)
    loop.steady_off[deployment.host(holder)] = -60.0
    stale = deployment.controllers[holder].duties.holders[Duty.RENT]
    lease_checks: list[bool] = []

    async def check_lease() -> None:
        lease_checks.append(stale.holds_valid_lease)

    on_host(deployment.host(holder), check_lease())
    deployment.thaw(holder)
    await deployment.wait_until(lambda: bool(lease_checks))

    assert lease_checks == [True]
    await _finish_all_jobs_and_return_machines(deployment)


# Controllers that are lost, cut off or replaced


@pytest.mark.parametrize("duty", list(Duty))
@simulated
async def test_duty_moves_on_when_leader_and_holder_are_lost_together(
    loop: Loop, duty: Duty
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=10.0))

    holder, leader = deployment.holder(duty), deployment.store.keys["c/leader"][0]["name"]
    assert holder is not None
    for name in {holder, leader}:
        deployment.crash(name)
    await deployment.wait_until(
        lambda: deployment.holder(duty) not in (None, holder), seconds=2 * FAILOVER_S
    )

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_open_intents_are_carried_out_once_after_all_controllers_restart(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    deployment.cloud.error_status = 503
    # Fits large ones only
    await deployment.submit(deployment.job(2, Pieces=4, RunS=60.0, Cores=8.0))
    await deployment.wait_until(lambda: bool(_open_intents(deployment, "hire/")))
    await deployment.wait_until(lambda: bool(_open_intents(deployment, "return/")), seconds=120.0)
    requested = set(_open_intents(deployment, "hire/"))

    for name in deployment.nodes:
        deployment.crash(name)
    await asyncio.sleep(5)
    deployment.cloud.error_status = 0
    for name in deployment.nodes:
        deployment.start_controller(name)
    await deployment.wait_until(
        lambda: not requested & set(_open_intents(deployment, "hire/")), seconds=30.0
    )

    assert {f"hire/{name}" for name in deployment.cloud.scale_outs} >= requested
    await _finish_all_jobs_and_return_machines(deployment)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
@simulated
async def test_holder_cut_off_from_the_key_value_store_alone_is_replaced(
    loop: Loop, duty: Duty
) -> None:
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(duty)

    deployment.net.cut(deployment.host(holder), FakeKeyValueStore.HOST)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=5.0), deployment.other_node(holder))
    await deployment.wait_until(
        lambda: deployment.holder(duty) not in (None, holder), seconds=2 * FAILOVER_S
    )
    await asyncio.sleep(20)
    deployment.net.heal(deployment.host(holder), FakeKeyValueStore.HOST)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_holder_cut_off_from_the_cloud_alone_releases_its_duty(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(Duty.RENT)

    deployment.net.cut(deployment.host(holder), FakeCloud.HOST)
    await deployment.submit(deployment.job(1, Pieces=6, RunS=5.0))
    await deployment.wait_until(
        lambda: deployment.holder(Duty.RENT) not in (None, holder), seconds=40.0
    )
    await deployment.wait_until_done("req-000001", seconds=30.0)
    moves = len(_recorded_events(deployment, "taken up"))
    await asyncio.sleep(120)
    assert len(_recorded_events(deployment, "taken up")) <= moves + 3  # it does not go to and fro
    deployment.net.heal(deployment.host(holder), FakeCloud.HOST)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_late_transaction_of_a_replaced_holder_is_refused(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(Duty.RENT)

    deployment.store.late_write_share, deployment.store.late_by_s = 1.0, (20.0, 20.0)
    deployment.store.late_key_prefix = "history/rent/"  # what settles a request
    await deployment.submit(deployment.job(1, Pieces=8, RunS=20.0), deployment.other_node(holder))
    await deployment.wait_until(lambda: bool(deployment.cloud.scale_outs))
    await asyncio.sleep(1)
    deployment.crash(holder)
    deployment.store.late_write_share = 0.0
    await deployment.wait_until(
        lambda: not _open_intents(deployment, "hire/"), seconds=2 * FAILOVER_S
    )
    settled = {k: v[1] for k, v in deployment.store.keys.items() if k.startswith("hire/")}
    await asyncio.sleep(20)
    left = {k: v[1] for k, v in deployment.store.keys.items() if k in settled}
    assert left.items() <= settled.items()  # none was written again
    assert len(_recorded_events(deployment, "rented")) == len(settled)
    deployment.start_controller(holder)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_new_shard_leader_starts_nothing_on_a_terminating_machine(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    # What each shard leader knows to be going before it does anything
    at_first: list[set[str]] = []

    start = ScaleIn.start

    def noting_start(scale_ins: ScaleIn) -> None:
        machines = scale_ins.shard_leader.shard.machines.values()
        at_first.append({machine.name for machine in machines if machine.terminating})
        start(scale_ins)

    monkeypatch.setattr(ScaleIn, "start", noting_start)

    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    _when_recorded(deployment, "return/", lambda: setattr(deployment.cloud, "error_status", 503))
    await deployment.wait_until(lambda: bool(_open_intents(deployment, "return/")), seconds=120.0)
    going = {
        name
        for key in _open_intents(deployment, "return/")
        for name in deployment.store.keys[key][0]["names"]
    }
    shard_leader = deployment.acting_shard_leader()
    deployment.crash(shard_leader)
    await deployment.wait_until(
        lambda: deployment.shard_leader() not in (None, shard_leader), seconds=2 * FAILOVER_S
    )
    await deployment.submit(
        deployment.job(2, Pieces=3, RunS=3.0), deployment.other_node(shard_leader)
    )
    for _ in range(100):
        await asyncio.sleep(0.1)
        assert not {worker.name for worker in deployment.rule_checker.running_on.values()} & going
    assert going <= set(deployment.cloud.machines)
    assert at_first[-1] == going
    deployment.start_controller(shard_leader)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_older_version_takes_over_open_intents_and_newer_version_takes_them_back(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=8, RunS=15.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) == 8)
    deployment.cloud.error_status = 503
    await deployment.submit(deployment.job(2, Pieces=16, RunS=15.0))
    await deployment.wait_until(lambda: bool(_open_intents(deployment, "hire/")))
    old = deployment.acting_shard_leader()

    deployment.crash(old)
    deployment.old_version_nodes = {old}
    deployment.start_controller(old)
    # Only the old one is left: it owns, and rental requests for itself
    for name in deployment.nodes:
        if name != old:
            deployment.crash(name)
    deployment.cloud.error_status = 0
    await deployment.wait_until(lambda: deployment.shard_leader() == old, seconds=4 * FAILOVER_S)
    await deployment.wait_until_done("req-000002", seconds=120.0)
    deployment.crash(old)
    deployment.old_version_nodes = set()
    for name in deployment.nodes:
        deployment.start_controller(name)
    await _wait_for_all_holders(deployment)
    await deployment.submit(deployment.job(3, Pieces=8, RunS=5.0))

    await _finish_all_jobs_and_return_machines(deployment)


# The cloud


@pytest.mark.parametrize("error_status", [429, 503])
@simulated
async def test_cloud_errors_in_the_middle_of_a_batch(loop: Loop, error_status: int) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=24, RunS=4.0))
    await deployment.wait_until(lambda: len(deployment.cloud.scale_outs) >= 1)
    deployment.cloud.error_status = error_status

    await asyncio.sleep(8)
    deployment.cloud.error_status = 0
    await deployment.wait_until_done("req-000001")
    _when_recorded(
        deployment, "return/", lambda: setattr(deployment.cloud, "error_status", error_status)
    )
    await deployment.wait_until(
        lambda: deployment.cloud.error_status == error_status, seconds=120.0
    )
    await asyncio.sleep(8)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_duty_lost_during_a_slow_cloud_call_rents_nothing_twice(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    deployment.cloud.answer_delay_s = 3.5
    await deployment.submit(deployment.job(1, Pieces=16, RunS=20.0))
    await deployment.wait_until(lambda: bool(_open_intents(deployment, "hire/")))
    holder = deployment.acting_holder(Duty.RENT)

    deployment.crash(holder)
    await asyncio.sleep(1)
    deployment.start_controller(holder)
    await asyncio.sleep(15)
    deployment.cloud.answer_delay_s = 0.02
    machines = [name for names in deployment.cloud.scale_outs.values() for name in names]

    assert len(machines) == len(set(machines)) == deployment.cloud.rented_count
    await _finish_all_jobs_and_return_machines(deployment)


@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
@simulated
async def test_cloud_calls_minutes_late_rent_and_delete_only_what_was_recorded(
    loop: Loop, duty: Duty
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    holder = deployment.acting_holder(duty)

    deployment.net.cut(deployment.host(holder), FakeCloud.HOST)
    if duty == Duty.RENT:
        await deployment.submit(deployment.job(2, Pieces=16, RunS=10.0))
    await deployment.wait_until(
        lambda: bool(_open_intents(deployment, "return/" if duty == Duty.RETURN else "hire/")),
        seconds=120,
    )
    await asyncio.sleep(10)
    deployment.crash(holder)
    await asyncio.sleep(150)
    deployment.net.heal(deployment.host(holder), FakeCloud.HOST, deliver=True)
    deployment.start_controller(holder)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_requests_that_the_cloud_always_refuses_are_shown_and_delay_no_others(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("basaltlead.duties.rent_duty.MOST_REQUESTS", 1)

    deployment = await start_with_duties(loop)

    deployment.cloud.refused_names.add("large")
    # Fits large ones only
    await deployment.submit(deployment.job(1, Pieces=2, RunS=3.0, Cores=8.0))
    await deployment.submit(deployment.job(2, Pieces=6, RunS=3.0))
    await deployment.wait_until_done("req-000002")
    await asyncio.sleep(150)
    hanging = [v[0] for k, v in deployment.store.keys.items() if k.startswith("hire/")]
    assert hanging
    assert all("400" in one["refused"] for one in hanging)
    offers = [(one["zone"], one["spot"]) for one in hanging]
    assert len(offers) == len(set(offers))  # none is asked for twice: so there are few
    deployment.cloud.refused_names.clear()
    await deployment.wait_until_done("req-000001", seconds=120.0)
    await deployment.submit(deployment.job(3, Pieces=5, RunS=20.0, Cores=4.0, Grades=["small"]))
    await deployment.wait_until_done("req-000003")
    deployment.cloud.error_status = 503  # until they all are to go, in one batch
    await deployment.wait_until(
        lambda: (
            sum(
                len(deployment.store.keys[k][0]["names"])
                for k in _open_intents(deployment, "return/")
            )
            == len(deployment.cloud.machines)
            > 2
        ),
        seconds=200.0,
    )
    victim = next(iter(deployment.cloud.machines))
    deployment.cloud.refused_names.add(victim)
    deployment.cloud.error_status = 0
    await deployment.wait_until(lambda: set(deployment.cloud.machines) == {victim}, seconds=200.0)
    await deployment.wait_until(lambda: bool(_recorded_events(deployment, "refused")))
    deployment.cloud.refused_names.clear()

    await _finish_all_jobs_and_return_machines(deployment)


def _rented_machine(name: str, age_s: float = 5.0) -> RentedMachine:
    return RentedMachine(name, "small", "a", True, "running", "10.1.0.1:9", age_s)


def test_lagging_machine_list_makes_no_machine_abandoned() -> None:
    unknown_machines = UnknownMachines(patience=6 * US)
    offer = Offer("small", "a", True)
    for second in range(0, 21, 4):
        unknown_machines.listed([_rented_machine("m-1")], known=(), asked=second * US)
        abandoned = unknown_machines.abandoned(
            [_rented_machine("m-1")], in_progress=[offer], asked=second * US
        )
        assert abandoned == []  # a request in progress may have brought it
        abandoned = unknown_machines.abandoned(
            [_rented_machine("m-1")], in_progress=[], asked=second * US
        )
        assert bool(abandoned) == (second > 6)  # it may be one that was deleted
    unknown_machines.listed([_rented_machine("m-1")], known=["m-1"], asked=24 * US)
    unknown_machines.listed([_rented_machine("m-1")], known=[], asked=28 * US)

    # Known meanwhile
    assert unknown_machines.abandoned([_rented_machine("m-1")], [], 30 * US) == []


@simulated
async def test_machines_of_a_rental_in_progress_are_not_adopted_and_unknown_ones_are(
    loop: Loop,
) -> None:
    deployment = await start_with_duties(loop)
    deployment.cloud.unanswered_rentals = (
        4  # carried out, and not answered: the list shows them first
    )
    await deployment.submit(deployment.job(1, Pieces=4, RunS=30.0))
    await deployment.wait_until(lambda: bool(deployment.cloud.machines))

    await asyncio.sleep(3)
    deployment.cloud.answer_delay_s = 3.0
    await asyncio.sleep(25)
    assert _recorded_events(deployment, "adopted") == []
    deployment.cloud.answer_delay_s = 0.02
    await deployment.wait_until_done("req-000001")
    machine_type = deployment.cloud.TYPES[0]
    late = deployment.cloud.machines["m-000900"] = FakeWorker(
        deployment, "m-000900", machine_type, "a", True
    )
    late.task.cancel()  # it never comes up, so nobody hears of it but by the list
    await deployment.wait_until(lambda: bool(_recorded_events(deployment, "adopted")), seconds=60.0)

    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_failed_machine_returned_by_two_duties_is_deleted_once(loop: Loop) -> None:
    """Two holders of different duties touch one machine."""
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
    # Its shard leader would wait for it for another 17 s: the list tells sooner.
    await deployment.wait_until(lambda: booting.name not in deployment.cloud.machines, seconds=14.0)
    assert _recorded_events(deployment, "to be returned")
    await deployment.wait_until(lambda: failed.name not in deployment.cloud.machines, seconds=60.0)
    await deployment.wait_until(lambda: not _open_intents(deployment, "return/"))

    assert f"mach/{failed.name}" not in deployment.store.keys
    await _finish_all_jobs_and_return_machines(deployment)


@simulated
async def test_machines_of_a_removed_shard_are_returned(loop: Loop) -> None:
    deployment = Deployment(loop, operator={"duties": True, "blocks": 2})
    await deployment.start()

    await _wait_for_all_holders(deployment)
    await deployment.submit(deployment.job(1, Pieces=40, RunS=300.0))
    held = deployment.store.keys
    await deployment.wait_until(
        lambda: any(k.startswith("mach/") and v[0]["block"] == 1 for k, v in held.items())
    )
    for name in deployment.nodes:
        deployment.crash(name)
    deployment.operator = DUTIES_ON
    for name in deployment.nodes:
        deployment.start_controller(name)
    await deployment.wait_until(
        lambda: not any(k.startswith("mach/") and v[0]["block"] == 1 for k, v in held.items()),
        seconds=120.0,
    )

    assert any(one["count"] for one in _recorded_events(deployment, "to be returned"))
    deployment.assert_no_violation()


# The checker finds what it is for


@simulated
async def test_duty_checker_finds_a_stale_holder_without_preconditions(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(DutyHolder, "preconditions", lambda holder: [])
    monkeypatch.setattr(DutyHolder, "holds_valid_lease", True)
    monkeypatch.setattr(DutyHolder, "stop", lambda holder: None)

    deployment = await start_with_duties(loop)
    stale = deployment.store.keys["c/duty/rent"][0]["name"]
    deployment.cloud.error_status = 503

    _when_recorded(deployment, "hire/", lambda: deployment.freeze(stale))
    await deployment.submit(deployment.job(1, Pieces=8, RunS=30.0), deployment.other_node(stale))
    await asyncio.sleep(30)
    deployment.freeze(deployment.store.keys["c/duty/rent"][0]["name"])
    deployment.cloud.error_status = 0
    deployment.thaw(stale)
    await asyncio.sleep(5)

    assert any("rent: rented" in one for one in deployment.duty_checker.stale)


async def _delete_at_once(scale_ins: ScaleIn, names: list[str]) -> None:
    await scale_ins._delete(names)


async def _send_at_once(requests: ScaleOut, name: str, stored: StoredScaleOut) -> None:
    requests.shard_leader.scale_outs[name] = stored
    await requests._carry_out(name, stored)


@pytest.mark.parametrize(
    ("part", "method", "mutant", "found"),
    [
        (ScaleIn, "_record", _delete_at_once, "deleted without a record"),
        (ScaleOut, "_record", _send_at_once, "rented without a record"),
    ],
    ids=["delete", "rent"],
)
@simulated
async def test_duty_checker_finds_a_cloud_call_without_a_recorded_intent(
    loop: Loop, part: type, method: str, mutant: Any, found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(part, method, mutant)

    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until(
        lambda: any(found in one for one in deployment.duty_checker.stale), seconds=120.0
    )
