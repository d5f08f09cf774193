"""Renting and returning machines: replaced holders can do no harm, and faults of the cloud."""

import asyncio

import pytest

from basaltlead.duties.model import Duty
from basaltlead.scaling.scale_in import ScaleIn
from tests.duty_support import (
    FAILOVER_S,
    call_when_recorded,
    finish_and_check,
    open_intents,
    recorded_events,
    start_with_duties,
)
from tests.fakes import Deployment
from tests.fakes.cloud import FakeCloud
from tests.simulation import Loop, poll_until, simulated


async def _freeze_at(deployment: Deployment, when: str, prefix: str, name: str) -> None:
    """Freeze the holder `name` of a duty, by `when`:

    - "before the check": as the store accepts the next intent with this key prefix
    - "sent": 0.6 s later, when its call to the cloud has been sent
    - "half sent": 0.6 s later too, but the second half of the call arrives only after 90 s
    """
    if when == "half sent":
        deployment.net.second_half_delay_s[FakeCloud.HOST] = 90.0
    if when == "before the check":
        call_when_recorded(deployment, prefix, lambda: deployment.freeze(name))
        await deployment.wait_until(
            lambda: deployment.host(name) in deployment.loop.frozen, seconds=120.0
        )
        return
    deployment.cloud.answer_delay_s = 5.0
    recorded = asyncio.Event()
    call_when_recorded(deployment, prefix, recorded.set)
    await deployment.wait_until(recorded.is_set, seconds=120.0)
    await asyncio.sleep(0.6)
    deployment.freeze(name)


@pytest.mark.parametrize("when", ["before the check", "sent", "half sent"])
@pytest.mark.parametrize("duty", [Duty.RENT, Duty.RETURN])
@simulated
async def test_holder_frozen_for_a_minute_decides_nothing_after_it_resumes(
    loop: Loop, duty: Duty, when: str
) -> None:
    """Nothing is rented in the 10 s after it resumes. The duty checker reports the records of stale
    decisions, also about returns."""
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
    await _freeze_at(deployment, when, prefix, holder)
    await deployment.wait_until(
        lambda: deployment.holder(duty) not in (None, holder), seconds=2 * FAILOVER_S
    )
    deployment.cloud.answer_delay_s = 0.02
    deployment.net.second_half_delay_s.clear()
    await asyncio.sleep(60)
    rented = len(deployment.cloud.scale_outs)
    deployment.thaw(holder)
    await asyncio.sleep(10)
    assert len(deployment.cloud.scale_outs) == rented
    await finish_and_check(deployment)


@simulated
async def test_late_transaction_of_a_replaced_holder_is_refused(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    holder = deployment.acting_holder(Duty.RENT)

    deployment.store.late_write_share, deployment.store.late_by_s = 1.0, (20.0, 20.0)
    deployment.store.late_key_prefix = "history/rent/"  # of the transaction that settles a request
    await deployment.submit(deployment.job(1, Pieces=8, RunS=20.0), deployment.other_node(holder))
    await deployment.wait_until(lambda: bool(deployment.cloud.scale_outs))
    await asyncio.sleep(1)
    deployment.crash(holder)
    deployment.store.late_write_share = 0.0
    await deployment.wait_until(
        lambda: not open_intents(deployment, "hire/"), seconds=2 * FAILOVER_S
    )
    settled = {k: v[1] for k, v in deployment.store.keys.items() if k.startswith("hire/")}
    await asyncio.sleep(20)
    remaining = {k: v[1] for k, v in deployment.store.keys.items() if k in settled}
    assert remaining.items() <= settled.items()  # none was written again
    assert len(recorded_events(deployment, "rented")) == len(settled)
    deployment.start_controller(holder)
    await finish_and_check(deployment)


@simulated
async def test_new_shard_leader_starts_nothing_on_a_terminating_machine(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The machines that each shard leader knows as terminating before it does anything
    terminating_at_start: list[set[str]] = []

    start = ScaleIn.start

    def recording_start(scale_ins: ScaleIn) -> None:
        machines = scale_ins.context.shard.machines.values()
        terminating_at_start.append({machine.name for machine in machines if machine.terminating})
        start(scale_ins)

    monkeypatch.setattr(ScaleIn, "start", recording_start)

    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=3, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    call_when_recorded(
        deployment, "return/", lambda: setattr(deployment.cloud, "error_status", 503)
    )
    await deployment.wait_until(lambda: bool(open_intents(deployment, "return/")), seconds=120.0)
    terminating = {
        name
        for key in open_intents(deployment, "return/")
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
        assert (
            not {worker.name for worker in deployment.rule_checker.running_on.values()}
            & terminating
        )
    assert terminating <= set(deployment.cloud.machines)
    assert terminating_at_start[-1] == terminating
    deployment.start_controller(shard_leader)
    await finish_and_check(deployment)


@pytest.mark.parametrize("error_status", [429, 503])
@simulated
async def test_rentals_and_returns_are_completed_after_cloud_errors_in_a_batch(
    loop: Loop, error_status: int
) -> None:
    deployment = await start_with_duties(loop)
    await deployment.submit(deployment.job(1, Pieces=24, RunS=4.0))
    await deployment.wait_until(lambda: len(deployment.cloud.scale_outs) >= 1)
    deployment.cloud.error_status = error_status

    await asyncio.sleep(8)
    deployment.cloud.error_status = 0
    await deployment.wait_until_done("req-000001")
    call_when_recorded(
        deployment, "return/", lambda: setattr(deployment.cloud, "error_status", error_status)
    )
    await deployment.wait_until(
        lambda: deployment.cloud.error_status == error_status, seconds=120.0
    )
    await asyncio.sleep(8)
    await finish_and_check(deployment)


@simulated
async def test_duty_lost_during_a_slow_cloud_call_rents_nothing_twice(loop: Loop) -> None:
    deployment = await start_with_duties(loop)
    deployment.cloud.answer_delay_s = 3.5
    await deployment.submit(deployment.job(1, Pieces=16, RunS=20.0))
    await deployment.wait_until(lambda: bool(open_intents(deployment, "hire/")))
    holder = deployment.acting_holder(Duty.RENT)

    await deployment.restart(holder, 1)
    await asyncio.sleep(15)
    deployment.cloud.answer_delay_s = 0.02
    machines = [name for names in deployment.cloud.scale_outs.values() for name in names]
    assert len(machines) == len(set(machines)) == deployment.cloud.rented_count
    await finish_and_check(deployment)


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
        lambda: bool(open_intents(deployment, "return/" if duty == Duty.RETURN else "hire/")),
        seconds=120,
    )
    await asyncio.sleep(10)
    deployment.crash(holder)
    await asyncio.sleep(150)
    deployment.net.heal(deployment.host(holder), FakeCloud.HOST, deliver=True)
    deployment.start_controller(holder)
    await finish_and_check(deployment)


@simulated
async def test_requests_that_the_cloud_always_refuses_are_shown_and_delay_no_others(
    loop: Loop, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("basaltlead.duties.rent_duty.MAX_CONCURRENT_REQUESTS", 1)

    deployment = await start_with_duties(loop)

    deployment.cloud.refused_names.add("large")
    # Its tasks fit only large machines
    await deployment.submit(deployment.job(1, Pieces=2, RunS=3.0, Cores=8.0))
    await deployment.submit(deployment.job(2, Pieces=6, RunS=3.0))
    await deployment.wait_until_done("req-000002")
    await asyncio.sleep(150)
    refused_requests = [v[0] for k, v in deployment.store.keys.items() if k.startswith("hire/")]
    assert refused_requests
    assert all("400" in one["refused"] for one in refused_requests)
    offers = [(one["zone"], one["spot"]) for one in refused_requests]
    assert len(offers) == len(set(offers))  # no offer is requested twice, which bounds their number
    deployment.cloud.refused_names.clear()
    await deployment.wait_until_done("req-000001", seconds=120.0)
    await deployment.submit(deployment.job(3, Pieces=5, RunS=20.0, Cores=4.0, Grades=["small"]))
    await deployment.wait_until_done("req-000003")
    deployment.cloud.error_status = 503  # until all machines are recorded for return, in one batch
    await deployment.wait_until(
        lambda: (
            sum(
                len(deployment.store.keys[k][0]["names"])
                for k in open_intents(deployment, "return/")
            )
            == len(deployment.cloud.machines)
            > 2
        ),
        seconds=200.0,
    )
    refused_machine = next(iter(deployment.cloud.machines))
    deployment.cloud.refused_names.add(refused_machine)
    deployment.cloud.error_status = 0
    await deployment.wait_until(
        lambda: set(deployment.cloud.machines) == {refused_machine}, seconds=200.0
    )
    await deployment.wait_until(lambda: bool(recorded_events(deployment, "refused")))
    deployment.cloud.refused_names.clear()
    await finish_and_check(deployment)


async def _start_with_shard_leader_that_lists_nothing(loop: Loop, prefix: str) -> Deployment:
    """Return a deployment with duties whose shard leader has just loaded its shard; its lists of
    the intents under `prefix` fail, so that it does not watch them yet."""
    deployment = await start_with_duties(loop)
    former = deployment.acting_shard_leader()
    deployment.controllers[former].shard_leaders[0].lease.step_down()
    await poll_until(lambda: deployment.shard_leader() not in (None, former), 0.001)
    leader = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0]
    await poll_until(lambda: leader.loaded, 0.001)
    deployment.store.unreadable_prefixes.add(prefix)
    return deployment


@simulated
async def test_request_without_capacity_is_not_awaited_if_it_ends_before_the_first_listing(
    loop: Loop,
) -> None:
    # Guards against jobs that wait for good for machines of a request that nobody executes.
    deployment = await _start_with_shard_leader_that_lists_nothing(loop, "hire/")
    deployment.cloud.capacity = 0
    await deployment.submit(deployment.job(1, Pieces=8, RunS=3.0))
    await deployment.wait_until(lambda: bool(recorded_events(deployment, "no capacity")))
    await deployment.wait_until(lambda: not open_intents(deployment, "hire/"))

    deployment.cloud.capacity = 12
    deployment.store.unreadable_prefixes.clear()

    await deployment.wait_until_done("req-000001")
    await finish_and_check(deployment)


@simulated
async def test_machine_is_forgotten_if_its_return_ends_before_the_first_listing(
    loop: Loop,
) -> None:
    # Guards against deleted machines that a shard leader counts as its own for good.
    deployment = await _start_with_shard_leader_that_lists_nothing(loop, "return/")
    shard = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0].shard
    await deployment.submit(deployment.job(1, Pieces=8, RunS=3.0))
    await deployment.wait_until_done("req-000001")
    await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=250.0)
    await deployment.wait_until(lambda: not open_intents(deployment, "return/"))
    assert shard.machines

    deployment.store.unreadable_prefixes.clear()

    await deployment.wait_until(lambda: not shard.machines, seconds=10.0)
    await finish_and_check(deployment)


@simulated
async def test_request_that_ends_before_the_answer_to_its_recording_is_not_kept(loop: Loop) -> None:
    # Guards against an older answer that undoes what the watch has said since.
    deployment = await start_with_duties(loop)
    shard_leader = deployment.controllers[deployment.acting_shard_leader()].shard_leaders[0]
    deployment.cloud.capacity = 0
    deployment.store.transaction_delay_s["hire/"] = 1.0
    await deployment.submit(deployment.job(1, Pieces=8, RunS=3.0))
    await deployment.wait_until(lambda: bool(recorded_events(deployment, "no capacity")))

    deployment.cloud.capacity = 12
    deployment.store.transaction_delay_s.clear()
    await finish_and_check(deployment)

    stored = {key for key in deployment.store.keys if key.startswith("hire/")}
    assert {f"hire/{name}" for name in shard_leader.context.intents.scale_outs} <= stored
