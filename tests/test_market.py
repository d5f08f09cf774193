"""The market: due times, bids, and the allocation of slots."""

from basaltlead.config.settings import Objective
from basaltlead.core.entities import JobState, Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.jobs import US, Job, MachineType, Shape
from basaltlead.core.market import Market, MarketParameters
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.core.shard import Shard
from basaltlead.core.teams import TeamQuota
from basaltlead.core.timing import Timing
from tests.builders import make_job

PARAMETERS = MarketParameters(10 * US, 300 * US, 1000.0, 0.01, 0.05)


def _objectives(*objectives: Objective) -> ServiceLevelObjectives:
    return ServiceLevelObjectives.of(objectives)


def _job_state(job: Job) -> JobState:
    return JobState(job, 1, 0, 0)


def test_job_is_due_by_the_first_objective_that_it_can_still_meet() -> None:
    objectives = _objectives(
        Objective("deadline", "reports", times=1.5), Objective("deadline", "reports", times=1.0)
    )
    job_state = _job_state(make_job(tasks=4, due_us=100 * US, estimated_run_us=20 * US))

    assert objectives.due(job_state, 0).at == 100 * US
    assert objectives.due(job_state, 90 * US).at == 150 * US  # a run of 20 s misses the first one
    assert objectives.due(job_state, 140 * US).late
    gang = _job_state(make_job(shape=Shape.GANG))

    assert objectives.due(gang, 0).at is None
    assert not objectives.due(gang, 0).late


def test_tasks_that_must_start_are_due_a_run_later() -> None:
    objectives = _objectives(
        Objective("wait", "reports", within_s=60.0),
        Objective("finished", "reports", within_s=300.0),
    )
    job_state = _job_state(make_job(tasks=4, estimated_run_us=20 * US))

    assert objectives.due(job_state, 0).at == 80 * US
    assert objectives.due(job_state, 70 * US).at == 300 * US


def test_late_job_does_not_outbid_jobs_that_can_be_on_time() -> None:
    """Late jobs must not bid their team's whole budget: that would make the other jobs late too."""
    market = Market(PARAMETERS, ["red"], _objectives())
    shard = Shard(FencingTokens(range(1, 2)), 1, 0, Timing(10 * US, US), {"red": TeamQuota()})
    late = shard.add_job(make_job(1, tasks=50, due_us=30 * US), 1, 0)
    urgent = shard.add_job(make_job(2, tasks=50, due_us=200 * US), 1, 0)

    for second in range(10, 160, 10):
        market.run_round(shard, second * US)

    assert urgent.bid > late.bid > 0


def _add_machine(shard: Shard, cpus: float) -> None:
    machine_type = MachineType("k", cpus, 0.0, 1000.0, 1.0, 0.5, 5 * US, 50.0, 1.0, ("a",))
    machine = Machine("m-0", machine_type, "a", False, 0)
    machine.up = True
    shard.add_machine(machine)


def test_slots_for_objectives_are_allocated_before_the_rest_is_shared() -> None:
    """Otherwise a team with a full budget outbids one that has spent its own on deadlines."""
    market = Market(PARAMETERS, ["red", "guests"], ServiceLevelObjectives())
    shard = Shard(
        FencingTokens(range(1, 2)),
        1,
        0,
        Timing(10 * US, US),
        {"red": TeamQuota(), "guests": TeamQuota()},
    )
    _add_machine(shard, 100.0)
    with_deadline = shard.add_job(make_job(1, tasks=90, due_us=200 * US), 1, 0)
    guest = shard.add_job(make_job(2, tasks=400, team="guests"), 1, 0)

    with_deadline.need, guest.need = 60, 400
    with_deadline.bid, guest.bid = 0.01, 500.0
    market.allocate_slots(shard, 0)
    assert (with_deadline.slots, guest.slots) == (60, 40)
    with_deadline.need = 90  # however much it needs, some slots are left to others
    market.allocate_slots(shard, 0)
    assert (with_deadline.slots, guest.slots) == (75, 25)
    with_deadline.need = 0
    market.allocate_slots(shard, 0)

    assert (with_deadline.slots, guest.slots) == (0, 100)


def test_teams_share_the_remaining_slots_by_their_bids() -> None:
    market = Market(PARAMETERS, ["red", "guests"], ServiceLevelObjectives())
    shard = Shard(
        FencingTokens(range(1, 2)),
        1,
        0,
        Timing(10 * US, US),
        {"red": TeamQuota(), "guests": TeamQuota()},
    )
    _add_machine(shard, 100.0)
    red = shard.add_job(make_job(1, tasks=90), 1, 0)
    guest = shard.add_job(make_job(2, tasks=400, team="guests"), 1, 0)

    red.bid, guest.bid = 3.0, 1.0
    market.allocate_slots(shard, 0)

    assert (red.slots, guest.slots) == (75, 25)


def test_late_jobs_share_slots_by_their_bids() -> None:
    market = Market(PARAMETERS, ["red", "guests"], ServiceLevelObjectives())
    shard = Shard(
        FencingTokens(range(1, 2)),
        1,
        0,
        Timing(10 * US, US),
        {"red": TeamQuota(), "guests": TeamQuota()},
    )
    _add_machine(shard, 100.0)
    late = shard.add_job(make_job(1, tasks=90, due_us=200 * US), 1, 0)
    urgent = shard.add_job(make_job(2, tasks=90, due_us=900 * US), 1, 0)
    guest = shard.add_job(make_job(3, tasks=400, team="guests"), 1, 0)

    late.bid, urgent.bid, guest.bid = 1.0, 2.0, 9.0
    market.allocate_slots(shard, 300 * US)

    assert (late.slots, urgent.slots, guest.slots) == (25, 50, 25)


def test_within_a_team_the_job_nearest_to_completion_comes_first_and_all_begin() -> None:
    market = Market(PARAMETERS, ["guests"], ServiceLevelObjectives())
    shard = Shard(FencingTokens(range(1, 2)), 1, 0, Timing(10 * US, US), {"guests": TeamQuota()})
    _add_machine(shard, 100.0)

    job_states = [
        shard.add_job(make_job(number, tasks=tasks, team="guests"), 1, 0)
        for number, tasks in ((1, 80), (2, 60), (3, 90))
    ]
    market.allocate_slots(shard, 0)

    assert [job_state.slots for job_state in job_states] == [39, 60, 1]
