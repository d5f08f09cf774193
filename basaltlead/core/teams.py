"""What teams are guaranteed, what they may use at most, and what they use."""

from msgspec import Struct


class TeamQuota(Struct, frozen=True):
    """A team's guarantee and limit; 0: none."""

    cpus: float = 0.0
    gpus: float = 0.0
    cpus_max: float = 0.0
    gpus_max: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Must the tasks of the team be counted together at every instant?"""
        return bool(self.cpus or self.gpus or self.cpus_max or self.gpus_max)


class TeamUsage(Struct):
    """What a team's attempts take, those counted that only may be on their machines."""

    cpus: float = 0.0
    gpus: float = 0.0
