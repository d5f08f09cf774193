"""The states of a machine and the transitions between them."""

from itertools import product

import pytest

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.machine_state import MachineState
from tests.builders import MACHINE_TYPE, TIMING, ShardHarness, task_status

FLAGS = ("up", "synced", "recorded", "lost", "faulty", "terminating")


def _state(harness: ShardHarness, name: str = "m-0") -> MachineState:
    return harness.shard.machines[name].state(harness.now)


def test_machine_is_usable_exactly_if_it_is_ready() -> None:
    now = 100 * US
    for facts in product((False, True), repeat=len(FLAGS)):
        for preempted, cordoned, unreachable in product((False, True), repeat=3):
            machine = Machine("m-0", MACHINE_TYPE, "a", False, 0)
            for name, value in zip(FLAGS, facts, strict=True):
                setattr(machine, name, value)
            machine.preemption_at = now + US if preempted else None
            machine.cordoned_until = now + US if cordoned else 0
            machine.unreachable_since = now - US if unreachable else 0
            assert machine.usable(now) == (machine.state(now) is MachineState.READY)


def test_rented_machine_is_provisioned_then_synced_and_recorded_then_ready() -> None:
    harness = ShardHarness(machines=0)
    machine = harness.add("m-0")

    machine.recorded = False
    assert _state(harness) is MachineState.PROVISIONING
    harness.heartbeat("m-0", fencing_token=6)
    assert _state(harness) is MachineState.SYNCING
    harness.heartbeat("m-0")
    assert _state(harness) is MachineState.SYNCING  # the next shard leader would not find its tasks
    machine.recorded = True

    assert _state(harness) is MachineState.READY


def test_machine_from_the_records_is_syncing_until_it_shows_the_fencing_token() -> None:
    harness = ShardHarness(machines=0)
    harness.add("m-9", loaded=True)

    assert _state(harness, "m-9") is MachineState.SYNCING
    harness.heartbeat("m-9")

    assert _state(harness, "m-9") is MachineState.READY


@pytest.mark.parametrize(("reason", "seconds"), [("error", 4), ("full", 2), ("in_use", 1)])
def test_machine_is_cordoned_for_a_while_after_a_task_failed_there(
    reason: str, seconds: int
) -> None:
    harness = ShardHarness()
    attempt = harness.attempt(harness.submit())

    harness.heartbeat("m-0")
    harness.heartbeat("m-0", task_status(attempt, "ended", reason))
    assert _state(harness) is MachineState.CORDONED
    harness.now += seconds * US - 1
    assert _state(harness) is MachineState.CORDONED
    harness.now += 1

    assert _state(harness) is MachineState.READY


def test_unknown_exit_reason_or_stage_counts_against_neither_job_nor_machine() -> None:
    harness = ShardHarness()
    job_state = harness.submit()
    attempt = harness.attempt(job_state)

    harness.heartbeat("m-0")
    harness.heartbeat("m-0", task_status(attempt, "thawing"))
    assert attempt.stage == "thawing"
    assert attempt.may_be_on_machine
    harness.heartbeat("m-0", task_status(attempt, "ended", "evicted"))

    assert not job_state.live
    assert job_state.waiting == 1
    assert not job_state.failure_history.failures
    assert not job_state.retry_at
    assert _state(harness) is MachineState.READY


def test_possibly_unreachable_machine_is_cordoned() -> None:
    harness = ShardHarness()

    harness.shard.mark_unreachable(harness.shard.machines["m-0"], harness.now)
    assert _state(harness) is MachineState.CORDONED
    harness.shard.receive_push_response(harness.make_heartbeat("m-0"), harness.now)

    assert _state(harness) is MachineState.READY


def test_machine_drains_while_its_heartbeats_carry_a_preemption_notice() -> None:
    harness = ShardHarness()
    notice = harness.make_heartbeat("m-0")

    notice.preemption_notice_s = 20.0
    harness.shard.heartbeat(notice, harness.now)
    assert _state(harness) is MachineState.DRAINING
    harness.heartbeat("m-0")

    assert _state(harness) is MachineState.READY


def test_lost_machine_syncs_in_a_new_epoch_and_is_cordoned_until_it_is_reachable() -> None:
    harness = ShardHarness()

    harness.now += TIMING.lease_expiry_us + 1
    harness.shard.advance(harness.now)
    assert _state(harness) is MachineState.LOST
    harness.heartbeat("m-0", epoch=2, sequence=1, fencing_token=7)
    assert not harness.shard.machines["m-0"].lost
    assert _state(harness) is MachineState.CORDONED
    harness.shard.receive_push_response(
        harness.make_heartbeat("m-0", epoch=2, sequence=2), harness.now
    )

    assert _state(harness) is MachineState.READY


def test_no_state_follows_terminating() -> None:
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]

    machine.terminating = True
    machine.faulty = True
    assert _state(harness) is MachineState.TERMINATING
    harness.now += TIMING.lease_expiry_us + 1
    harness.shard.advance(harness.now)

    assert machine.lost
    assert _state(harness) is MachineState.TERMINATING
