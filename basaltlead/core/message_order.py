"""Which of a machine's messages is the newest."""


class MessageOrder:
    """The agent epoch of a machine and the sequence numbers of what was received in it.

    Messages may be copies from long ago, and answers to pushed commands overtake heartbeats. A
    message of an epoch before `min_epoch` proves nothing: that epoch is over, and what ran in it
    was killed.
    """

    def __init__(self) -> None:
        self.epoch = 0  # 0: none was heard so far
        self.epoch_started_at = 0
        self.min_epoch = 0
        self.sequence = 0  # of the newest message whose list of tasks was taken in
        self.heartbeat_sequence = 0  # of the newest heartbeat
        # Since when heartbeats were answered that do not show our fencing token; 0: they show it.
        self.unsynced_since = 0

    def begin_epoch(self, epoch: int, now: int) -> None:
        """A new epoch begins."""
        self.epoch = epoch
        self.epoch_started_at = now
        self.min_epoch = max(self.min_epoch, epoch)
        self.sequence = self.heartbeat_sequence = 0

    def end_epoch(self) -> None:
        """The epoch is over; reports of it that were held up on their way prove nothing any more.
        Before the first one there is none to end."""
        self.min_epoch = self.epoch + 1 if self.epoch else 0
        self.unsynced_since = 0

    def record_list(self, sequence: int) -> None:
        """The list of tasks of this message was taken in."""
        self.sequence = max(self.sequence, sequence)
