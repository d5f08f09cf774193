"""Ordering of the messages of a machine."""


class MessageOrder:
    """The agent epoch of a machine and the highest sequence numbers received in it.

    Messages may be delayed copies, and answers to pushed commands may overtake heartbeats. A
    message of an epoch before `min_epoch` is obsolete: that epoch is over, and everything that ran
    in it was killed. Times are microseconds.
    """

    def __init__(self) -> None:
        self.epoch = 0  # 0: no message so far
        self.epoch_started_at = 0
        self.min_epoch = 0
        self.sequence = 0  # of the newest message whose list of tasks was applied
        self.heartbeat_sequence = 0  # of the newest heartbeat
        # Since when we have answered heartbeats without our fencing token; 0: the last one had it.
        self.token_missing_since = 0

    def begin_epoch(self, epoch: int, now: int) -> None:
        """Begin a new epoch, with no message received in it yet."""
        self.epoch = epoch
        self.epoch_started_at = now
        self.min_epoch = max(self.min_epoch, epoch)
        self.sequence = self.heartbeat_sequence = 0

    def end_epoch(self) -> None:
        """End the epoch: delayed reports of it are obsolete. Has no effect before the first
        epoch."""
        self.min_epoch = self.epoch + 1 if self.epoch else 0
        self.token_missing_since = 0

    def record_list(self, sequence: int) -> None:
        """Record that the list of tasks of the message with this sequence number was applied."""
        self.sequence = max(self.sequence, sequence)
