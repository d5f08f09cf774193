"""Checks whether jobs fit into the guarantees and the limits of their teams."""

from functools import cached_property

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import EPS, Job
from basaltlead.core.shard import Shard
from basaltlead.core.teams import TeamQuota, TeamUsage

NO_QUOTA = TeamQuota()


def fits_guarantee(shard: Shard, job_state: JobState) -> bool:
    """Whether the job fits into its team's guarantee on top of what the team uses. Of an array one
    more task must fit, a gang or a service as a whole."""
    job = job_state.job
    team = shard.teams.get(job.team, NO_QUOTA)
    if not team.cpus and not team.gpus:
        return False
    used = shard.used(job.team)
    count = job.min_concurrent_tasks
    return (
        used.cpus + job.cpus * count <= team.cpus + EPS
        and used.gpus + job.gpus * count <= team.gpus + EPS
    )


def exceeds_guarantee(shard: Shard, team_name: str) -> bool:
    """Whether a team uses more than it is guaranteed."""
    team = shard.teams.get(team_name, NO_QUOTA)
    used = shard.used(team_name)
    return used.cpus > team.cpus + EPS or used.gpus > team.gpus + EPS


def tasks_to_start(job: Job) -> int:
    """How many tasks of a job must fit below its team's limit for the job to get on."""
    return job.tasks if job.gang else 1


class TeamLimits:
    """The teams' limits, as checked in one plan."""

    def __init__(self, shard: Shard) -> None:
        self._shard = shard

    @cached_property
    def _unaccounted_tasks(self) -> bool:
        """Whether tasks may run that are not counted. Computed only for teams with a limit and once
        per plan, since it takes a pass over the machines."""
        return self._shard.has_unaccounted_tasks

    def allow(self, job: Job, count: int = 1) -> bool:
        """Whether the team may have this many more tasks of the job, on top of all that may run.

        Always False for a team with a limit while tasks may run that are not counted, because one
        of them could exceed the limit.
        """
        team = self._shard.teams.get(job.team, NO_QUOTA)
        if not _has_limit(team):
            return True
        if self._unaccounted_tasks:
            return False
        used = self._shard.used(job.team)
        return _tasks_within(team, used.cpus, used.gpus, job, count) == count


class TeamAllowances:
    """What the teams' limits leave to waiting tasks, taken job by job in one pass of fleet sizing.

    Machines rented for tasks beyond that would stand idle until others of the team have ended.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._used: dict[str, TeamUsage] = {}  # by team, with what was taken

    def take(self, job_state: JobState, wanted: int) -> int:
        """Take room for the job below its team's limit, so that `wanted` of its tasks are on
        machines. Returns how many of these may be, with those that are; of a gang all or none."""
        allowed = self.allowed(job_state, wanted)
        more = max(0, allowed - len(job_state.live))
        used = self._usage(job_state.job.team)
        used.cpus += job_state.job.cpus * more
        used.gpus += job_state.job.gpus * more
        return allowed

    def allowed(self, job_state: JobState, wanted: int) -> int:
        """The same without taking it."""
        job = job_state.job
        team = self._shard.teams.get(job.team, NO_QUOTA)
        waiting = wanted - len(job_state.live)
        if waiting <= 0 or not _has_limit(team):
            return wanted
        used = self._usage(job.team)
        more = _tasks_within(team, used.cpus, used.gpus, job, waiting)
        if job.gang and more < waiting:
            more = 0
        return len(job_state.live) + more

    def _usage(self, team_name: str) -> TeamUsage:
        """What a team uses and what was taken for it; to be changed in place."""
        if team_name not in self._used:
            present = self._shard.used(team_name)
            self._used[team_name] = TeamUsage(present.cpus, present.gpus)
        return self._used[team_name]


def _has_limit(team: TeamQuota) -> bool:
    return bool(team.cpus_max or team.gpus_max)


def _tasks_within(team: TeamQuota, used_cpus: float, used_gpus: float, job: Job, most: int) -> int:
    """How many more tasks of a job, up to `most`, the team's limit allows on top of what is
    used."""
    tasks = most
    if team.cpus_max:
        tasks = min(tasks, _fitting(team.cpus_max - used_cpus, job.cpus, most))
    if team.gpus_max:
        tasks = min(tasks, _fitting(team.gpus_max - used_gpus, job.gpus, most))
    return tasks


def _fitting(left: float, size: float, most: int) -> int:
    """How many tasks of this size, up to `most`, fit into what is left of a limit."""
    if left + EPS < 0:
        return 0
    return int(min(most, (left + EPS) / size)) if size > 0 else most
