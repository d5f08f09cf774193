"""Checks whether a job fits into the guarantee and the limit of its team."""

from functools import cached_property

from basaltlead.core.entities import JobState
from basaltlead.core.jobs import EPS, Job
from basaltlead.core.shard import Shard
from basaltlead.core.teams import TeamQuota

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
        if not team.cpus_max and not team.gpus_max:
            return True
        if self._unaccounted_tasks:
            return False
        used = self._shard.used(job.team)
        return not (
            (team.cpus_max and used.cpus + job.cpus * count > team.cpus_max + EPS)
            or (team.gpus_max and used.gpus + job.gpus * count > team.gpus_max + EPS)
        )
