"""Placement of replicas, tested on one shard by single messages and plans."""

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


def _service(story: ShardHarness, number: int = 1, **fields: object) -> JobState:
    values: dict[str, object] = {
        "shape": Shape.SERVICE,
        "rank": PRODUCTION,
        "estimated_run_us": 0,
        "spot": False,
    }
    return story.submit(number, **(values | fields))


def _run(story: ShardHarness, job_state: JobState) -> None:
    """All its replicas are started and reported as running."""
    for machine in {attempt.machine.name: None for attempt in job_state.live.values()}:
        attempts = story.shard.machines[machine].attempts
        story.heartbeat(
            machine, *(task_status(a, "running") for a in attempts.values() if a.may_be_on_machine)
        )
        story.heartbeat(machine, *(task_status(a, "running") for a in attempts.values()))


def test_stored_results_of_a_service_are_ignored() -> None:
    """The version before took services for arrays: a replica that had ended was a result."""
    job_state = JobState(make_job(shape=Shape.SERVICE, tasks=3), 5, 0, 0)
    row = msgspec.Raw(b'{"done":"Bw==","count":3,"running":0}')
    load_results(job_state, 0, 0, 0, row, ResultLayout(8192))

    assert job_state.done_count == 0
    assert job_state.remaining == 3
    assert not job_state.complete


def test_service_that_always_fails_preempts_nothing() -> None:
    story = ShardHarness(machines=3)
    others = story.submit(1, tasks=12)

    _run(story, others)
    service = _service(story, 2)
    for _ in range(2):  # two tries, on two machines, for each of which somebody gives way
        (attempt,) = service.live.values()
        (victim,) = (a for a in others.live.values() if a.stop_grace_s is not None)
        name = attempt.machine.name
        staying = [
            task_status(a, "running")
            for a in others.live.values()
            if a.machine.name == name and a.stop_grace_s is None
        ]
        story.heartbeat(name, *staying, task_status(victim, "ended", "stopped"))
        story.heartbeat(name, *staying, task_status(attempt, "running"))
        story.heartbeat(name, *staying, task_status(attempt, "ended", "error"))
        plan(story.shard, story.now)
    for _ in range(40):
        story.now += US
        _run(story, others)
        plan(story.shard, story.now)
        assert not service.live
        assert all(attempt.stop_grace_s is None for attempt in others.live.values())


def test_replica_has_no_expected_end() -> None:
    """With a guess of 0 the machine under it seemed to be the first to fall empty."""
    story = ShardHarness(machines=1)
    service = _service(story)

    assert story.shard.estimated_run_us(service) == SERVICE_RUN_TIME_US
    _run(story, service)
    story.now += 2 * SERVICE_RUN_TIME_US

    assert story.shard.estimated_run_us(service) == SERVICE_RUN_TIME_US
    assert service.ran_count == 0


def test_replica_without_another_place_is_stopped_at_the_last_moment() -> None:
    story = ShardHarness(machines=1)
    service = _service(story)

    _run(story, service)
    (attempt,) = service.live.values()
    attempt.machine.preemption_at = story.now + 20 * US
    plan(story.shard, story.now)
    story.shard.advance(story.now)
    assert attempt.stop_grace_s is None  # it runs for as long as it can
    for _ in range(16):
        story.now += US
        attempt.machine.lease.answer(story.now)
        story.shard.advance(story.now)
        assert attempt.stop_grace_s is None
    story.now += 20 * US - 16 * US - 2 * TIMING.heartbeat_interval_us - US
    story.shard.advance(story.now)

    assert attempt.stop_grace_s == 0.0


def test_replica_moves_at_once_if_there_is_room_and_restarts_after_it_stopped() -> None:
    story = ShardHarness(machines=1)
    service = _service(story)

    _run(story, service)
    (attempt,) = service.live.values()
    story.add("m-1")
    story.heartbeat("m-1")
    attempt.machine.preemption_at = story.now + 20 * US
    plan(story.shard, story.now)
    assert attempt.stop_grace_s == 0.0
    plan(story.shard, story.now)
    assert list(service.live.values()) == [attempt]
    assert story.heartbeat("m-1") == []
    story.heartbeat("m-0", task_status(attempt, "ended", "stopped"))
    attempt.machine.preemption_at = story.now + 19 * US
    plan(story.shard, story.now)

    assert story.heartbeat("m-1") == [("run", "req-000001/0")]


def test_slots_of_replicas_are_not_auctioned_and_their_bids_follow_running_replicas() -> None:
    story = ShardHarness(machines=2)
    service = _service(story, tasks=4)
    array = story.submit(2, tasks=20)
    market = Market(PARAMETERS, ["red"], ServiceLevelObjectives())

    market.allocate_slots(story.shard, story.now)
    assert service.slots is None
    assert array.slots == 4  # of 8 CPUs
    for _ in range(4):  # nothing runs yet: the bid rises round by round
        story.now += 10 * US
        market.run_round(story.shard, story.now)
    risen = service.bid
    assert risen > PARAMETERS.reserve_price
    _run(story, service)
    for _ in range(8):
        story.now += 10 * US
        market.run_round(story.shard, story.now)
    settled = service.bid
    for _ in range(8):
        story.now += 10 * US
        market.run_round(story.shard, story.now)

    assert service.bid == settled  # all that should run runs


def test_services_demand_all_replicas_and_count_in_no_backlog() -> None:
    """Whatever the objective of their class: their due time would always lie in the past."""
    story = ShardHarness(machines=0)
    service = _service(story, tasks=5)

    objectives = ServiceLevelObjectives(start_limits_us={"reports": [4 * US]})
    job_states = list(story.shard.job_states.values())
    story.now += 500 * US
    loads = demand.remaining_cpu_us(job_states, story.now, story.shard.estimated_run_us)
    assert loads == {}
    wanted = demand.wanted_tasks(
        job_states, story.now, objectives.due, story.shard.estimated_run_us, 5 * US, loads
    )

    assert wanted == {service.job.ref: 5}
    assert objectives.due(service, story.now) == demand.NO_DUE
    assert objectives.has_objective(service, story.now)


def test_only_a_replica_that_failed_early_counts_against_its_machine() -> None:
    story = ShardHarness(machines=2)
    proven = _service(story)

    _run(story, proven)
    (attempt,) = proven.live.values()
    story.now += 40 * US
    story.heartbeat(attempt.machine.name, task_status(attempt, "ended", "error"))
    assert proven.proven
    assert not attempt.machine.failed_jobs
    plan(story.shard, story.now)
    assert proven.live  # at once
    (again,) = proven.live.values()
    story.now += US
    story.heartbeat(again.machine.name)
    story.heartbeat(again.machine.name, task_status(again, "running"))
    story.heartbeat(again.machine.name, task_status(again, "ended", "error"))

    assert again.machine.failed_jobs == {"req-000001"}
