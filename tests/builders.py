"""Builders that several test files share: jobs, machines, task statuses, and a shard to drive."""

from basaltlead.core.entities import Attempt, JobState, Machine
from basaltlead.core.fencing_tokens import FencingTokens
from basaltlead.core.jobs import US, Job, MachineType, Shape
from basaltlead.core.planning import plan
from basaltlead.core.shard import Shard, ShardOutput
from basaltlead.core.teams import TeamQuota
from basaltlead.core.timing import Timing
from basaltlead.shard.worker_commands import MESSAGE_LIMIT
from basaltlead.wire.workers import Heartbeat, TaskStatus

MACHINE_TYPE = MachineType("k", 4.0, 0.0, 16.0, 1.0, 0.5, 5 * US, 50.0, 1.0, ("a", "b"))
TIMING = Timing(10 * US, US)
TOKENS = range(7, 1000)  # the fencing tokens of a `ShardHarness`


def job_refs(first: int, last: int) -> list[str]:
    """Return the references of the jobs from number `first` to number `last`, inclusive."""
    return [f"req-{number:06d}" for number in range(first, last + 1)]


def make_job(number: int = 1, **fields: object) -> Job:
    """Return a job of team red with one small task; `fields` override its values."""
    values: dict[str, object] = {
        "ref": f"req-{number:06d}",
        "job_class": "reports",
        "team": "red",
        "shape": Shape.ARRAY,
        "rank": 1,
        "tasks": 1,
        "cpus": 1.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "image": "img",
        "image_gb": 1.0,
        "types": None,
        "zone": None,
        "one_zone": False,
        "spread_zones": False,
        "spot": True,
        "estimated_run_us": 10 * US,
        "checkpoint_interval_us": 0,
        "checkpoint_duration_s": 0.0,
        "due_us": None,
    }
    return Job(**(values | fields))  # type: ignore[arg-type]


class ShardHarness:
    """A shard that a test drives by heartbeats and jobs, without a shard leader.

    Its fencing tokens begin at 7, granted at revision 100. It starts with synced machines m-0, m-1
    and so on.
    """

    def __init__(self, machines: int = 1, quotas: dict[str, TeamQuota] | None = None) -> None:
        self.now = 1000 * US
        self.logged: list[str] = []
        self.shard = Shard(
            FencingTokens(TOKENS),
            100,
            self.now,
            TIMING,
            quotas or {"red": TeamQuota()},
            ShardOutput(self.logged.append, MESSAGE_LIMIT),
        )
        self.sequences: dict[str, int] = {}
        for number in range(machines):
            self.add(f"m-{number}")
            self.heartbeat(f"m-{number}")

    def add(self, name: str, zone: str = "a", loaded: bool = False) -> Machine:
        """Add a new, recorded machine, or one `loaded` from the records of an earlier leader."""
        machine = Machine(name, MACHINE_TYPE, zone, False, self.now)
        if loaded:
            self.shard.load_machine(machine)
        else:
            machine.recorded = True
            self.shard.add_machine(machine)
        return machine

    def make_heartbeat(
        self,
        name: str,
        *tasks: TaskStatus,
        fencing_token: int = 7,
        epoch: int = 1,
        sequence: int | None = None,
    ) -> Heartbeat:
        """Return a heartbeat of a machine, by default the next one in sequence."""
        if sequence is None:
            sequence = self.sequences[name] = self.sequences.get(name, 0) + 1
        return Heartbeat(
            name, "10.1.0.1:9", "k", "a", False, epoch, sequence, fencing_token, list(tasks)
        )

    def heartbeat(
        self, name: str, *tasks: TaskStatus, **fields: int
    ) -> list[tuple[str, str]] | None:
        """Send a heartbeat; return the commands in the response as (verb, task) pairs, or None if
        it is ignored."""
        commands = self.shard.heartbeat(self.make_heartbeat(name, *tasks, **fields), self.now)
        return None if commands is None else [(w.verb, f"{w.ref}/{w.index}") for w in commands]

    def submit(self, number: int = 1, version: int = 200, **fields: object) -> JobState:
        """Accept a job that was stored at this version, and plan."""
        job_state = self.shard.add_job(make_job(number, **fields), version, self.now)
        plan(self.shard, self.now)
        return job_state

    def attempt(self, job_state: JobState, index: int = 0) -> Attempt:
        """Return the live attempt of one task of a job."""
        return job_state.live[index]


def task_status(attempt: Attempt, stage: str, why: str | None = None) -> TaskStatus:
    """Return a worker's report about an attempt: its stage and, if it has ended, the reason."""
    return TaskStatus(
        f"{attempt.job_state.job.ref}/{attempt.index}", attempt.attempt_number, stage, why
    )
