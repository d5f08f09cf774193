"""What the time of a machine was used for."""


class MachineUsage:
    """What the time of a machine was used for, in seconds times the part of the machine used."""

    __slots__ = ("fetching_s", "useful_s", "wasted_s")

    def __init__(self) -> None:
        self.useful_s = 0.0  # by tasks that completed, or whose progress is saved
        self.wasted_s = 0.0  # by tasks that must begin anew
        self.fetching_s = 0.0  # by tasks between the decision to start them and their first run
