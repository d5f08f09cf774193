"""Usage accounting of a machine."""


class MachineUsage:
    """Totals since the machine was rented, in seconds times the fraction of the machine used."""

    __slots__ = ("starting_s", "up_at", "useful_s", "wasted_s")

    def __init__(self) -> None:
        self.up_at = 0  # when it was first synced, in microseconds; 0: not yet
        self.useful_s = 0.0  # by tasks that completed, or whose progress is saved
        self.wasted_s = 0.0  # by tasks that must start again from the beginning
        self.starting_s = 0.0  # by tasks from the decision to start them until they run

    def mark_up(self, now: int) -> None:
        """Record that the machine is synced, so that it can take tasks."""
        self.up_at = self.up_at or now

    def add_run(self, seconds: float, is_useful: bool) -> None:
        """Add the run time of a task that has left the machine."""
        if is_useful:
            self.useful_s += seconds
        else:
            self.wasted_s += seconds

    def add_start(self, seconds: float) -> None:
        """Add the time from the decision to start a task until it ran."""
        self.starting_s += seconds
