"""Placement of replicas: tests of one shard with single messages and plans."""

import msgspec

from basaltlead.core import demand
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import RANKS, SERVICE_RUN_TIME_US, US, Shape
from basaltlead.core.market import Market, MarketParameters
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.core.planning import plan
from basaltlead.storage.result_rows import ResultLayout, load_results
from tests.builders import TIMING, ShardHarness, make_job, task_status

PRODUCTION = RANKS["production"]
PARAMETERS = MarketParameters(10 * US, 300 * US, 1000.0, 0.01, 0.05)


def _service(harness: ShardHarness, number: int = 1, **fields: object) -> JobState:
    values: dict[str, object] = {
        "shape": Shape.SERVICE,
        "rank": PRODUCTION,
        "estimated_run_us": 0,
        "spot": False,
    }
    return harness.submit(number, **(values | fields))


def _report_running(harness: ShardHarness, job_state: JobState) -> None:
    """Have heartbeats start all bound tasks of a job and report them as running."""
    for machine in {attempt.machine.name: None for attempt in job_state.live.values()}:
        attempts = harness.shard.machines[machine].attempts
        harness.heartbeat(
            machine, *(task_status(a, "running") for a in attempts.values() if a.may_be_on_machine)
        )
        harness.heartbeat(machine, *(task_status(a, "running") for a in attempts.values()))


def test_stored_results_of_a_service_are_ignored() -> None:
    """The version before services ran them as arrays, with a result for each ended replica."""
    job_state = JobState(make_job(shape=Shape.SERVICE, tasks=3), 5, 0, 0)
    row = msgspec.Raw(b'{"done":"Bw==","count":3,"running":0}')
    load_results(job_state, 0, 0, 0, row, ResultLayout(8192))

    assert job_state.done_count == 0
    assert job_state.remaining == 3
    assert not job_state.complete


def test_service_that_always_fails_preempts_nothing() -> None:
    harness = ShardHarness(machines=3)
    others = harness.submit(1, tasks=12)

    _report_running(harness, others)
    service = _service(harness, 2)
    for _ in range(2):  # two trials on two machines, each preempting a task
        (attempt,) = service.live.values()
        (preempted,) = (a for a in others.live.values() if a.stop_grace_s is not None)
        machine = attempt.machine.name
        still_running = [
            task_status(a, "running")
            for a in others.live.values()
            if a.machine.name == machine and a.stop_grace_s is None
        ]
        harness.heartbeat(machine, *still_running, task_status(preempted, "ended", "stopped"))
        harness.heartbeat(machine, *still_running, task_status(attempt, "running"))
        harness.heartbeat(machine, *still_running, task_status(attempt, "ended", "error"))
        plan(harness.shard, harness.now)
    for _ in range(40):
        harness.now += US
        _report_running(harness, others)
        plan(harness.shard, harness.now)
        assert not service.live
        assert all(attempt.stop_grace_s is None for attempt in others.live.values())


def test_replica_has_no_expected_end() -> None:
    """With its estimate of 0, its machine would seem to be the first to become idle."""
    harness = ShardHarness(machines=1)
    service = _service(harness)

    assert harness.shard.estimated_run_us(service) == SERVICE_RUN_TIME_US
    _report_running(harness, service)
    harness.now += 2 * SERVICE_RUN_TIME_US

    assert harness.shard.estimated_run_us(service) == SERVICE_RUN_TIME_US
    assert service.ran_count == 0


def test_replica_without_another_place_is_stopped_at_the_last_moment() -> None:
    harness = ShardHarness(machines=1)
    service = _service(harness)

    _report_running(harness, service)
    (attempt,) = service.live.values()
    attempt.machine.preemption_at = harness.now + 20 * US
    plan(harness.shard, harness.now)
    harness.shard.advance(harness.now)
    assert attempt.stop_grace_s is None  # it runs for as long as it can
    for _ in range(16):
        harness.now += US
        attempt.machine.lease.answer(harness.now)
        harness.shard.advance(harness.now)
        assert attempt.stop_grace_s is None
    harness.now += 20 * US - 16 * US - 2 * TIMING.heartbeat_interval_us - US
    harness.shard.advance(harness.now)

    assert attempt.stop_grace_s == 0.0


def test_replica_moves_at_once_if_there_is_room_and_restarts_after_it_stopped() -> None:
    harness = ShardHarness(machines=1)
    service = _service(harness)

    _report_running(harness, service)
    (attempt,) = service.live.values()
    harness.add("m-1")
    harness.heartbeat("m-1")
    attempt.machine.preemption_at = harness.now + 20 * US
    plan(harness.shard, harness.now)
    assert attempt.stop_grace_s == 0.0
    plan(harness.shard, harness.now)
    assert list(service.live.values()) == [attempt]
    assert harness.heartbeat("m-1") == []
    harness.heartbeat("m-0", task_status(attempt, "ended", "stopped"))
    attempt.machine.preemption_at = harness.now + 19 * US
    plan(harness.shard, harness.now)

    assert harness.heartbeat("m-1") == [("run", "req-000001/0")]


def test_slots_of_replicas_are_not_auctioned_and_their_bids_follow_running_replicas() -> None:
    harness = ShardHarness(machines=2)
    service = _service(harness, tasks=4)
    array = harness.submit(2, tasks=20)
    market = Market(PARAMETERS, ["red"], ServiceLevelObjectives())

    market.allocate_slots(harness.shard, harness.now)
    assert service.slots is None
    assert array.slots == 4  # of 8 CPUs
    for _ in range(4):  # nothing runs yet: the bid rises in each round
        harness.now += 10 * US
        market.run_round(harness.shard, harness.now)
    raised_bid = service.bid
    assert raised_bid > PARAMETERS.reserve_price
    _report_running(harness, service)
    for _ in range(8):
        harness.now += 10 * US
        market.run_round(harness.shard, harness.now)
    stable_bid = service.bid
    for _ in range(8):
        harness.now += 10 * US
        market.run_round(harness.shard, harness.now)

    assert service.bid == stable_bid  # all replicas run


def test_services_demand_all_replicas_and_count_in_no_backlog() -> None:
    """This holds for any objective of their class: their due time would always be in the past."""
    harness = ShardHarness(machines=0)
    service = _service(harness, tasks=5)

    objectives = ServiceLevelObjectives(start_limits_us={"reports": [4 * US]})
    job_states = list(harness.shard.job_states.values())
    harness.now += 500 * US
    loads = demand.remaining_cpu_us(job_states, harness.now, harness.shard.estimated_run_us)
    assert loads == {}
    wanted = demand.wanted_tasks(
        job_states, harness.now, objectives.due, harness.shard.estimated_run_us, 5 * US, loads
    )

    assert wanted == {service.job.ref: 5}
    assert objectives.due(service, harness.now) == demand.NO_DUE
    assert objectives.has_objective(service, harness.now)


def test_only_a_replica_that_failed_early_counts_against_its_machine() -> None:
    harness = ShardHarness(machines=2)
    service = _service(harness)

    _report_running(harness, service)
    (attempt,) = service.live.values()
    harness.now += 40 * US
    harness.heartbeat(attempt.machine.name, task_status(attempt, "ended", "error"))
    assert service.proven
    assert not attempt.machine.failed_jobs
    plan(harness.shard, harness.now)
    assert service.live  # restarted at once
    (restarted,) = service.live.values()
    harness.now += US
    harness.heartbeat(restarted.machine.name)
    harness.heartbeat(restarted.machine.name, task_status(restarted, "running"))
    harness.heartbeat(restarted.machine.name, task_status(restarted, "ended", "error"))

    assert restarted.machine.failed_jobs == {"req-000001"}
