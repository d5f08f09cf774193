"""The order in which waiting jobs are started."""

from basaltlead.core.entities import JobState
from basaltlead.core.shard import Shard
from basaltlead.core.team_limits import fits_guarantee


def start_order(shard: Shard, now: int) -> list[JobState]:
    """Open jobs with waiting tasks, in the order in which they are started.

    Sorted by these criteria, the most important first: within the team's guarantee; higher rank;
    gangs, which need whole machines, before arrays take the capacity; with an objective; team
    furthest below its share; higher bid; older job.
    """
    bids: dict[str, float] = {}  # by team
    for job_state in shard.job_states.values():
        if not job_state.closed:
            bids[job_state.job.team] = bids.get(job_state.job.team, 0.0) + job_state.bid
    total_bids = sum(bids.values()) or 1.0
    total_cpus = sum(used.cpus for used in shard.team_used.values()) or 1.0

    def above_share(team: str) -> float:
        """The team's fraction of the used CPUs, minus its fraction of the bids."""
        return shard.used(team).cpus / total_cpus - bids.get(team, 0.0) / total_bids

    ready = [
        job_state
        for job_state in shard.job_states.values()
        if not shard.is_blocked(job_state, now) and job_state.waiting > 0
    ]
    return sorted(
        ready,
        key=lambda job_state: (
            not fits_guarantee(shard, job_state),
            -job_state.job.rank,
            not job_state.job.gang,
            not job_state.has_objective,
            above_share(job_state.job.team),
            -job_state.bid,
            job_state.submitted_at,
        ),
    )
