"""Attempts that a worker still lists although its shard leader has no use for them."""


class OrphanedAttempt:
    """An attempt that has ended or is no longer wanted, and that its worker still lists."""

    __slots__ = ("ended", "forgettable", "start_unacknowledged")

    def __init__(self, ended: bool, forgettable: bool, start_unacknowledged: bool = False) -> None:
        self.ended = ended
        # The worker may be told to forget it: it has no result that must be stored first.
        self.forgettable = forgettable
        # A start command may still arrive. The worker must keep the attempt in its list: it rejects
        # a start of a listed attempt, but would execute one of an attempt that it has forgotten.
        self.start_unacknowledged = start_unacknowledged
