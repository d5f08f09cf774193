"""Quotas of teams, and what teams use."""

from msgspec import Struct


class TeamQuota(Struct, frozen=True):
    """What a team is guaranteed, and the most it may use; 0: no guarantee or no limit."""

    cpus: float = 0.0
    gpus: float = 0.0
    cpus_max: float = 0.0
    gpus_max: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether all tasks of the team must be counted together at all times."""
        return bool(self.cpus or self.gpus or self.cpus_max or self.gpus_max)


class TeamUsage(Struct):
    """What a team's attempts take, including those that are not certain to be on their machines."""

    cpus: float = 0.0
    gpus: float = 0.0
