"""What the time of a machine was used for."""


class MachineUsage:
    """Sums over a machine's life, in seconds times the part of the machine used."""

    __slots__ = ("fetching_s", "up_at", "useful_s", "wasted_s")

    def __init__(self) -> None:
        self.up_at = 0  # when it first showed all that is on it; 0: never so far
        self.useful_s = 0.0  # by tasks that completed, or whose progress is saved
        self.wasted_s = 0.0  # by tasks that must begin anew
        self.fetching_s = 0.0  # by tasks between the decision to start them and their first run

    def mark_up(self, now: int) -> None:
        """It has shown all that is on it, so that it can take tasks."""
        self.up_at = self.up_at or now

    def add_run(self, seconds: float, is_useful: bool) -> None:
        """A task that ran for so long is gone."""
        if is_useful:
            self.useful_s += seconds
        else:
            self.wasted_s += seconds

    def add_fetch(self, seconds: float) -> None:
        """A task began to run after so long."""
        self.fetching_s += seconds
