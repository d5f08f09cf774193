"""The owner of a block against single messages: order, lateness, doubt. Each is a guard."""

import pytest

from basaltlead.core.model import US, Attempt, Job, Kind, Machine, Shape, Work
from basaltlead.core.planning import plan
from basaltlead.core.shard import Block
from basaltlead.core.shard_state import Limits, Timing
from basaltlead.wire.workers import Listed, Report

KIND = Kind("k", 4.0, 0.0, 16.0, 1.0, 0.5, 5 * US, 50.0, 1.0, ("a", "b"))
TIMING = Timing(10 * US, US)


def a_job(number: int = 1, **fields: object) -> Job:
    values: dict[str, object] = {
        "ref": f"req-{number:06d}", "job_class": "reports", "team": "red", "shape": Shape.ARRAY,
        "rank": 1, "tasks": 1, "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "image": "img",
        "image_gb": 1.0, "types": None, "zone": None, "one_zone": False, "apart": False,
        "spot": True, "guess_us": 10 * US, "mark_every_us": 0, "mark_s": 0.0, "due_us": None,
    }  # fmt: skip
    return Job(**(values | fields))  # type: ignore[arg-type]


class Story:
    """A block with fencing token 7, granted at revision 100, and one synced machine, m-0."""

    def __init__(self, machines: int = 1, limits: dict[str, Limits] | None = None) -> None:
        self.now = 1000 * US
        self.block = Block(7, 100, self.now, TIMING, limits or {"red": Limits()})
        self.ticks: dict[str, int] = {}
        for number in range(machines):
            self.add(f"m-{number}")
            self.beat(f"m-{number}")

    def add(self, name: str, zone: str = "a", loaded: bool = False) -> Machine:
        machine = Machine(name, KIND, zone, False, self.now)
        if loaded:
            self.block.load_machine(machine)
        else:
            machine.recorded = True
            self.block.add_machine(machine)
        return machine

    def report(
        self,
        name: str,
        *tasks: Listed,
        fencing_token: int = 7,
        session: int = 1,
        tick: int | None = None,
    ) -> Report:
        if tick is None:
            tick = self.ticks[name] = self.ticks.get(name, 0) + 1
        return Report(
            name, "10.1.0.1:9", "k", "a", False, session, tick, fencing_token, list(tasks)
        )

    def beat(self, name: str, *tasks: Listed, **fields: int) -> list[tuple[str, str]] | None:
        """The orders, as (verb, task)."""
        commands = self.block.beat(self.report(name, *tasks, **fields), self.now)
        return None if commands is None else [(w.verb, f"{w.ref}/{w.index}") for w in commands]

    def submit(self, number: int = 1, version: int = 200, **fields: object) -> Work:
        work = self.block.add_job(a_job(number, **fields), version, self.now)
        plan(self.block, self.now)
        return work

    def attempt(self, work: Work, index: int = 0) -> Attempt:
        return work.live[index]


def listed(attempt: Attempt, stage: str, why: str | None = None) -> Listed:
    return Listed(f"{attempt.work.job.ref}/{attempt.index}", attempt.token, stage, why)


def test_a_task_goes_from_order_to_result_and_is_forgotten_only_once_stored() -> None:
    story = Story()
    work = story.submit()
    attempt = story.attempt(work)
    assert story.beat("m-0") == [("run", "req-000001/0")]
    assert story.beat("m-0", listed(attempt, "running")) == []
    assert story.beat("m-0", listed(attempt, "ended", "done")) == []  # not stored yet
    assert work.complete
    story.block.stored(work, [0])
    assert story.beat("m-0", listed(attempt, "ended", "done")) == [("forget", "req-000001/0")]


def test_a_lost_answer_is_repeated_under_the_same_attempt() -> None:
    story = Story()
    work = story.submit()
    token = story.attempt(work).token
    assert story.beat("m-0") == [("run", "req-000001/0")]
    assert story.beat("m-0") == [("run", "req-000001/0")]
    assert story.attempt(work).token == token


def test_a_late_copy_of_an_old_report_proves_nothing() -> None:
    story = Story()
    work = story.submit()
    attempt = story.attempt(work)
    old = story.report("m-0")
    story.beat("m-0")
    story.beat("m-0", listed(attempt, "running"))
    story.submit(2)
    assert story.block.beat(old, story.now) == []  # nobody waits for this answer any more
    assert work.live[0] is attempt and attempt.stage == "running"


def test_reports_of_a_session_that_was_given_up_are_not_believed() -> None:
    story = Story(machines=2)
    work = story.submit()
    attempt = story.attempt(work)
    name = attempt.machine.name
    story.beat(name)
    held = story.report(name, listed(attempt, "running"))
    story.now += TIMING.lease_expiry_us + 1
    story.block.tick(story.now)
    assert attempt.machine.lost and not work.live
    assert story.block.beat(held, story.now) is None  # it comes minutes later
    assert attempt.machine.lost and not attempt.machine.usable(story.now)


def test_a_silent_machine_keeps_its_tasks_until_its_lease_is_surely_over() -> None:
    story = Story(machines=2)
    work = story.submit()
    attempt = story.attempt(work)
    story.beat(attempt.machine.name)
    story.now += TIMING.lease_us
    story.block.tick(story.now)
    assert work.live[0] is attempt
    story.now += TIMING.lease_expiry_us - TIMING.lease_us + 1
    story.block.tick(story.now)
    assert not work.live


def test_a_new_session_means_that_everything_there_was_killed() -> None:
    story = Story()
    work = story.submit()
    attempt = story.attempt(work)
    story.beat("m-0")
    story.beat("m-0", listed(attempt, "running"))
    story.beat("m-0", session=2, tick=1)
    assert not work.live and work.waiting == 1


def test_a_report_without_our_fencing_token_is_no_picture_of_the_machine() -> None:
    story = Story(machines=0)
    story.add("m-9", loaded=True)
    work = story.submit(version=50)  # accepted before the block was ours
    assert story.beat("m-9", fencing_token=6) == []  # may still get orders of the old owner
    story.add("m-8")
    story.beat("m-8")
    plan(story.block, story.now)
    assert not work.live  # it might run on m-9
    story.beat("m-9", Listed("req-000001/0", 12345, "running"))
    assert work.live[0].machine.name == "m-9" and work.live[0].token == 12345


def test_jobs_accepted_after_the_grant_do_not_wait_for_silent_machines() -> None:
    story = Story(machines=1)
    story.add("m-9", loaded=True)
    old, new = story.submit(1, version=50), story.submit(2, version=150)
    assert not old.live and new.live
    story.now += TIMING.lease_expiry_us + 1
    story.beat("m-0")
    story.block.tick(story.now)  # m-9 has been silent past its lease
    plan(story.block, story.now)
    assert old.live


def test_an_unanswered_direct_start_binds_its_task_until_it_is_settled() -> None:
    story = Story()
    work = story.submit()
    machine = story.block.machines["m-0"]
    commands, flown = story.block.direct(machine, story.now)
    assert [w.verb for w in commands] == ["run"]
    assert story.beat("m-0") == []  # on its way: not sent twice
    assert work.live, "a report that does not list it proves nothing"
    story.block.landed(flown, None)
    assert story.beat("m-0") == [("run", "req-000001/0")]
    assert story.beat("m-0") == [("run", "req-000001/0")] and work.live
    attempt = story.attempt(work)
    assert story.beat("m-0", listed(attempt, "ended", "full")) == []  # never forgotten: a copy
    assert story.beat("m-0", listed(attempt, "ended", "full")) == []  # may still arrive


def test_an_unanswered_direct_start_is_not_given_up_because_a_report_does_not_list_it() -> None:
    story = Story()
    work = story.submit()
    _, flown = story.block.direct(story.block.machines["m-0"], story.now)
    story.block.landed(flown, None)
    story.block.close_job("req-000001", story.now)
    assert story.beat("m-0") == [("run", "req-000001/0"), ("halt", "req-000001/0")]
    assert work.live  # the order may still arrive: first it is made known, then ended
    attempt = story.attempt(work)
    story.beat("m-0", listed(attempt, "ended", "stopped"))
    assert not work.live


def test_a_refused_start_whose_order_may_arrive_again_does_not_keep_the_task_waiting() -> None:
    """With a single machine such a task once waited for ever."""
    story = Story()
    work = story.submit()
    _, flown = story.block.direct(story.block.machines["m-0"], story.now)
    story.block.landed(flown, None)
    first = story.attempt(work)
    story.beat("m-0", listed(first, "ended", "full"))
    story.now += 3 * US
    plan(story.block, story.now)
    assert story.attempt(work).token != first.token
    assert story.beat("m-0", listed(first, "ended", "full")) == [("run", "req-000001/0")]


def test_a_direct_start_that_was_refused_is_free_at_once() -> None:
    story = Story()
    work = story.submit()
    _, flown = story.block.direct(story.block.machines["m-0"], story.now)
    story.block.landed(flown, False)
    assert story.attempt(work).stage == "planned"


def test_a_report_older_than_the_answer_to_a_direct_start_does_not_end_it() -> None:
    story = Story()
    work = story.submit()
    before = story.report("m-0")  # sent before the worker had the order
    _, flown = story.block.direct(story.block.machines["m-0"], story.now)
    attempt = story.attempt(work)
    answer = story.report("m-0", listed(attempt, "fetching"))
    story.block.answer(answer, story.now, flown)
    story.block.landed(flown, True)
    assert attempt.stage == "fetching"
    story.block.beat(before, story.now)
    assert work.live[0] is attempt


def test_a_stopped_task_is_elsewhere_only_after_it_is_gone() -> None:
    story = Story(machines=2)
    work = story.submit()
    attempt = story.attempt(work)
    name = attempt.machine.name
    story.beat(name)
    story.beat(name, listed(attempt, "running"))
    story.block.stop(attempt, 0.0)
    plan(story.block, story.now)
    assert work.live[0] is attempt
    assert story.beat(name, listed(attempt, "running")) == [("halt", "req-000001/0")]
    story.beat(name, listed(attempt, "ended", "stopped"))
    plan(story.block, story.now)
    assert work.live[0] is not attempt


def test_no_task_goes_to_a_machine_that_the_next_owner_would_not_find() -> None:
    story = Story(machines=0)
    machine = story.add("m-0")
    machine.recorded = False
    work = story.submit()
    story.beat("m-0")
    plan(story.block, story.now)
    assert not work.live
    machine.recorded = True
    plan(story.block, story.now)
    assert work.live


def test_a_limited_team_waits_while_tasks_of_unknown_size_may_run() -> None:
    story = Story(limits={"red": Limits(cpus_max=2.0)})
    story.add("m-9", loaded=True)
    work = story.submit(tasks=3)
    assert not work.live
    story.beat("m-9", Listed("req-000777/0", 5, "running"))  # of a job that is over
    plan(story.block, story.now)
    assert not work.live
    assert ("halt", "req-000777/0") in (story.beat("m-9") or [("halt", "req-000777/0")])
    story.beat("m-9")
    plan(story.block, story.now)
    assert len(work.live) == 2  # and never a third


def test_a_cancelled_job_is_halted_and_leaves_nothing_behind() -> None:
    story = Story()
    work = story.submit()
    attempt = story.attempt(work)
    story.beat("m-0")
    story.beat("m-0", listed(attempt, "running"))
    story.block.close_job("req-000001", story.now)
    assert story.beat("m-0", listed(attempt, "running")) == [("halt", "req-000001/0")]
    story.beat("m-0", listed(attempt, "ended", "stopped"))
    assert "req-000001" not in story.block.works


def test_a_machine_that_does_not_know_the_new_owner_yet_is_told_at_once_what_is_over() -> None:
    """Its answer renews the lease, and may be the last that arrives."""
    story = Story()
    story.add("m-9", loaded=True)
    story.submit(number=2, version=50)
    tasks = [
        Listed("req-000001/0", 5, "running"), Listed("req-000001/1", 6, "ended", "done"),
        Listed("req-000002/0", 7, "running"),
    ]  # fmt: skip
    assert story.beat("m-9", *tasks, fencing_token=6) == [("halt", "req-000001/0")]
    story.block.close_job("req-000002", story.now)
    assert ("halt", "req-000002/0") in (story.beat("m-9", *tasks, fencing_token=6) or [])


def test_a_machine_that_was_silent_for_half_a_lease_gets_nothing_new() -> None:
    """A mute one takes direct orders, which don't renew its lease."""
    story = Story(machines=2)
    story.now += TIMING.lease_us // 2 + 1
    story.beat("m-1")
    work = story.submit(tasks=2)
    assert {attempt.machine.name for attempt in work.live.values()} == {"m-1"}
    story.beat("m-0")
    other = story.submit(number=2, cpus=3.0)
    assert other.live[0].machine.name == "m-0"


def test_a_broken_gang_is_started_anew_only_when_all_of_it_is_gone() -> None:
    story = Story(machines=2)
    work = story.submit(shape=Shape.GANG, tasks=2, cpus=3.0)
    first, second = story.attempt(work, 0), story.attempt(work, 1)
    assert first.token == second.token and first.machine is not second.machine
    for one in (first, second):
        story.beat(one.machine.name)
        story.beat(one.machine.name, listed(one, "running"))
    story.beat(first.machine.name, listed(first, "ended", "error"))
    plan(story.block, story.now)
    assert work.live == {1: second}
    story.beat(second.machine.name, listed(second, "ended", "peers"))
    story.now += 31 * US  # it is kept off the machine it failed on for a while
    for one in (first, second):
        story.beat(one.machine.name)
    plan(story.block, story.now)
    assert len(work.live) == 2 and work.live[0].token != first.token


def test_one_zone_and_half_of_it_hold_together() -> None:
    story = Story(machines=3)
    story.block.machines["m-2"].zone = "b"
    work = story.submit(tasks=4, one_zone=True, apart=True)
    assert len(work.live) == 2
    assert len({a.machine.zone for a in work.live.values()}) == 1


def test_higher_rank_takes_room_from_lower_and_ordinary_work_does_not() -> None:
    story = Story()
    low = story.submit(1, tasks=4, rank=0)
    for attempt in list(low.live.values()):
        attempt.stage = "running"
    assert not story.submit(2, rank=1).live
    high = story.submit(3, shape=Shape.GANG, rank=2, cpus=3.0)
    assert len(high.live) == 1
    assert sum(1 for a in low.live.values() if a.grace is not None) == 3
    there = [listed(attempt, "running") for attempt in low.live.values()]
    orders = story.beat("m-0", *there)
    assert orders is not None and ("run", "req-000003/0") not in orders  # there is no room yet
    gone = [listed(a, "ended", "stopped") for a in low.live.values() if a.grace is not None]
    kept = [listed(a, "running") for a in low.live.values() if a.grace is None]
    assert ("run", "req-000003/0") in (story.beat("m-0", *gone, *kept) or [])


def test_a_recalled_machine_is_saved_in_time() -> None:
    story = Story()
    work = story.submit(mark_every_us=20 * US, mark_s=5.0)
    attempt = story.attempt(work)
    story.beat("m-0")
    report = story.report("m-0", listed(attempt, "running"))
    report.recall_s = 30.0
    assert story.block.beat(report, story.now) == []  # there is time: it goes on
    report = story.report("m-0", listed(attempt, "running"))
    report.recall_s = 7.0
    commands = story.block.beat(report, story.now)
    assert commands and commands[0].verb == "halt" and commands[0].grace_s == 5.0


def test_a_guarantee_is_honoured_against_work_beyond_another_teams_own() -> None:
    story = Story(limits={"red": Limits(cpus=3.0), "blue": Limits(cpus=1.0)})
    blue = story.submit(1, team="blue", tasks=4)
    for attempt in blue.live.values():
        attempt.stage = "running"
    red = story.submit(2, tasks=1, cpus=2.0)
    assert len(red.live) == 1
    assert sum(1 for a in blue.live.values() if a.grace is not None) == 2
    late = story.submit(3, team="blue", tasks=1, cpus=1.0)
    assert not late.live  # beyond its guarantee, blue takes nothing from red


def test_waiting_gangs_are_placed_before_arrays_of_their_rank() -> None:
    story = Story()
    filler = story.submit(1, tasks=4)
    array, gang = story.submit(2, tasks=4), story.submit(3, shape=Shape.GANG, tasks=2, cpus=2.0)
    story.block.close_job("req-000001", story.now)
    assert not filler.live
    plan(story.block, story.now)
    assert len(gang.live) == 2 and not array.live


def test_a_machine_whose_lease_ran_out_although_it_was_answered_must_prove_that_it_hears() -> None:
    """Its reports arrive, answers and commands don't: its tasks go elsewhere, none come."""
    story = Story(machines=2)
    work = story.submit()
    deaf = story.attempt(work).machine
    story.beat(deaf.name)
    story.now += TIMING.lease_us
    story.beat(deaf.name, session=2, tick=1)
    for name in story.block.machines:
        if name != deaf.name:
            story.beat(name)
    plan(story.block, story.now)
    assert work.live[0].machine is not deaf and not deaf.usable(story.now)
    story.block.answer(story.report(deaf.name, session=2, tick=2), story.now)
    assert deaf.usable(story.now)


def test_a_session_that_outlives_its_lease_proves_that_the_machine_hears() -> None:
    story = Story()
    machine = story.block.machines["m-0"]
    story.beat("m-0", session=2, tick=1)
    assert not machine.usable(story.now)
    for tick in range(2, 13):
        story.now += US
        story.beat("m-0", session=2, tick=tick)
    assert machine.usable(story.now)


def test_an_unanswered_order_keeps_new_tasks_off_until_the_machine_is_heard_to_obey() -> None:
    story = Story()
    work = story.submit()
    machine = story.block.machines["m-0"]
    _, flown = story.block.direct(machine, story.now)
    story.block.landed(flown, None)
    story.block.suspect(machine, story.now)
    assert not machine.usable(story.now)
    story.beat("m-0")
    assert not machine.usable(story.now)  # that a report arrives shows nothing of the way back
    story.beat("m-0", listed(story.attempt(work), "fetching"))
    assert machine.usable(story.now)


def test_a_machine_that_never_shows_the_fencing_token_does_not_hold_up_older_jobs_for_ever() -> (
    None
):
    """After a takeover a deaf machine, or copies of a dead one's reports, keep arriving."""
    story = Story()
    story.add("m-9", loaded=True)
    work = story.submit(version=50)
    assert not work.live
    for tick in range(1, 40):
        story.now += US
        story.beat("m-9", Listed("req-000001/0", 5, "running"), fencing_token=6, tick=tick)
        story.beat("m-0")
        story.block.tick(story.now)
        plan(story.block, story.now)
        if work.live:
            break
    waited = story.now - story.block.took_at
    assert TIMING.lease_expiry_us < waited <= TIMING.lease_us + TIMING.lease_expiry_us + 2 * US
    assert work.live[0].machine.name == "m-0"


def test_copies_of_its_reports_do_not_bring_back_a_machine_that_was_lost() -> None:
    story = Story()
    lost = story.add("m-9", loaded=True)
    story.now += TIMING.lease_expiry_us + 1
    story.beat("m-0")
    story.block.tick(story.now)
    assert lost.lost
    story.submit()
    assert story.beat("m-9", Listed("req-000001/0", 5, "running"), fencing_token=6, session=3) == []
    # One of a job that is over must go, whoever listens; that proves no more than the other.
    over = Listed("req-000009/0", 5, "running")
    assert story.beat("m-9", over, fencing_token=6, session=3) == [("halt", "req-000009/0")]
    assert lost.lost and not lost.up and not lost.attempts and not lost.heard_at
    story.beat("m-9", session=4, tick=1)  # it shows our fencing token: it lives
    assert not lost.lost and lost.synced


def test_a_much_slower_machine_loses_its_tasks_but_a_job_slow_everywhere_is_left_alone() -> None:
    story = Story(machines=3)
    work = story.submit(tasks=9)
    slow = work.live[0].machine
    for attempt in list(work.live.values()):
        story.beat(attempt.machine.name)
    for name in ("m-0", "m-1", "m-2"):
        there = [listed(a, "running") for a in story.block.machines[name].attempts.values()]
        story.beat(name, *there)
    story.now += 5 * US
    for name in ("m-0", "m-1", "m-2"):
        if name != slow.name:
            ended = [
                listed(a, "ended", "done") for a in story.block.machines[name].attempts.values()
            ]
            story.beat(name, *ended)
    assert work.ran_count >= 3
    for _ in range(80):
        story.now += US
        for name in ("m-0", "m-1", "m-2"):
            story.beat(name, *(listed(a, "running") for a in _there(story, name)))
        story.block.tick(story.now)
    assert all(a.grace is not None for a in slow.attempts.values())
    gone = [listed(a, "ended", "stopped") for a in slow.attempts.values()]
    story.beat(slow.name, *gone)
    for name in ("m-0", "m-1", "m-2"):
        story.beat(name)
    plan(story.block, story.now)
    assert work.live and all(a.machine is not slow for a in work.live.values())
    everywhere = story.submit(2, tasks=1)
    for _ in range(10):
        attempt = everywhere.live[0]
        attempt.stage, attempt.ran_at = "running", story.now
        story.now += 400 * US
        story.block._give_up_slow(everywhere, story.now)
        if attempt.grace is None:
            break
        story.block._remove(attempt, story.now)
        for machine in story.block.machines.values():
            machine.draining = False
        story.now += 301 * US
        for name in story.block.machines:
            story.beat(name)
        plan(story.block, story.now)
    assert everywhere.given_up == 4 and attempt.grace is None


def test_a_job_does_not_wait_for_long_beside_the_only_machine_that_was_slow_for_it() -> None:
    story = Story()
    work = story.submit()
    attempt = story.attempt(work)
    attempt.stage, attempt.ran_at = "running", story.now
    story.now += 400 * US
    story.block._give_up_slow(work, story.now)
    assert attempt.grace is not None
    story.beat("m-0", listed(attempt, "ended", "stopped"))
    plan(story.block, story.now)
    assert not work.live  # anywhere else would be better
    for _ in range(75):
        story.now += US
        story.beat("m-0")
        plan(story.block, story.now)
    assert work.live


def test_room_is_gathered_for_a_large_gang_that_waits() -> None:
    """Single tasks of its own rank would else take each place as it falls free."""
    story = Story(machines=2)
    running = [story.submit(number, cpus=2.0, shape=Shape.GANG) for number in range(1, 5)]
    large = story.submit(9, tasks=2, cpus=4.0, shape=Shape.GANG, one_zone=True)
    for number in range(10, 40):  # always one goes and another comes
        story.now += 10 * US
        for name in ("m-0", "m-1"):
            story.beat(name, *(listed(a, "running") for a in _there(story, name)))
        first = running.pop(0).live[0]
        story.beat(first.machine.name, listed(first, "ended", "done"))
        story.block.close_job(first.work.job.ref, story.now)
        running.append(story.submit(number, cpus=2.0, shape=Shape.GANG))
        running = [work for work in running if work.live]
        if large.live:
            break
    assert len(large.live) == 2


def _there(story: Story, name: str) -> list[Attempt]:
    return list(story.block.machines[name].attempts.values())


def test_a_machine_is_settled_although_an_attempt_must_stay_listed() -> None:
    """A direct start that was never answered may arrive again, so its number is not forgotten.
    That is no reason to keep the machine once the result is stored."""
    story = Story()
    machine = story.block.machines["m-0"]
    work = story.submit()
    attempt = story.attempt(work)
    _, flown = story.block.direct(machine, story.now)
    assert not story.block.settled(machine)
    story.block.landed(flown, None)
    assert story.beat("m-0", listed(attempt, "ended", "done")) == []
    assert not story.block.settled(machine)  # its list is the only record of the result
    story.block.stored(work, [0])
    assert story.beat("m-0", listed(attempt, "ended", "done")) == []  # not forgotten
    assert story.block.settled(machine)


def test_a_machine_with_a_running_task_of_a_closed_job_is_not_settled() -> None:
    story = Story()
    machine = story.block.machines["m-0"]
    foreign = Listed("req-000009/0", 3, "running")
    assert story.beat("m-0", foreign) == [("halt", "req-000009/0")]
    assert not story.block.settled(machine)


def test_promised_work_takes_its_share_back_from_saved_work_that_nobody_was_promised() -> None:
    story = Story()
    story.block.machines["m-0"].images["img"] = 1.0
    low = story.submit(1, tasks=4, rank=0, mark_every_us=5 * US, mark_s=2.0)
    low.promised = False
    attempts = list(low.live.values())
    story.beat("m-0")
    story.beat("m-0", *(listed(a, "running") for a in attempts))
    work = story.block.add_job(a_job(2, tasks=3, rank=1, due_us=100 * US), 200, story.now)
    work.slots, low.slots = 2, 2
    plan(story.block, story.now)
    assert len(work.live) == 2  # its share, and no more
    assert sorted(a.grace for a in attempts if a.grace is not None) == [2.0, 2.0]


@pytest.mark.parametrize("what", ["unsaved", "promised", "same rank", "no promise", "no share"])
def test_ordinary_work_displaces_nothing_else(what: str) -> None:
    story = Story()
    saves = {} if what == "unsaved" else {"mark_every_us": 5 * US, "mark_s": 2.0}
    low = story.submit(1, tasks=4, rank=1 if what == "same rank" else 0, **saves)
    low.promised = what == "promised"
    attempts = list(low.live.values())
    story.beat("m-0")
    story.beat("m-0", *(listed(a, "running") for a in attempts))
    work = story.block.add_job(a_job(2, tasks=3, rank=1, due_us=100 * US), 200, story.now)
    work.promised = what != "no promise"
    work.slots, low.slots = 0 if what == "no share" else 2, 2
    plan(story.block, story.now)
    assert not work.live
    assert all(a.grace is None for a in attempts)


def test_jobs_that_fail_everywhere_clear_the_machine_on_which_they_failed_first() -> None:
    """Four of them, still open, would else have a healthy machine taken for faulty."""
    story = Story(machines=2)
    for number in range(1, 5):
        work = story.submit(number)
        for _ in range(2):
            attempt = story.attempt(work)
            assert ("run", f"{work.job.ref}/0") in (story.beat(attempt.machine.name) or [])
            story.beat(attempt.machine.name, listed(attempt, "ended", "error"))
            story.now += 5 * US
            for name in ("m-0", "m-1"):
                story.beat(name)
            plan(story.block, story.now)
        assert not work.live  # both are avoided for a while
    machines = story.block.machines.values()
    assert not any(machine.draining for machine in machines)
    assert all(not machine.faults for machine in machines)
