"""Attempts that a worker still lists although its shard leader has no use for them."""


class OrphanedAttempt:
    """An attempt that has ended or is no longer wanted, and that its worker still lists."""

    __slots__ = ("ended", "forgettable")

    def __init__(self, ended: bool, forgettable: bool) -> None:
        self.ended = ended
        # The worker may be told to forget it: it has no result that must be stored first.
        self.forgettable = forgettable
