"""When the lease of a machine's worker has provably expired.

A worker kills its tasks, and begins its next agent epoch, once the last answered heartbeat of its
epoch was *sent* more than a lease ago or, if none was answered, once the epoch *began* more than a
lease ago. Pushed commands and probes renew nothing. A shard leader sees neither moment, only later
ones that bound them:

- A former shard leader may have answered until the grant: its session lease had ended by then, and
  what it started is in an epoch that had begun by then.
- An epoch had begun when the first message of it arrived, be it a heartbeat or the answer to a
  pushed command.
- A heartbeat had been sent when it was answered.

So the epoch that is known is over, and all that was started in it is killed, a lease after the
*latest* of these moments, and `Timing.lease_expiry_us` adds the drift of both clocks and the
resolution of timers. Nothing of ours can be in the epoch that follows: commands name the epoch that
they are for, and one that is not known gets none.

A moment that belongs to an earlier epoch says nothing about the present one. To count from the
grant alone once started tasks a second time while they were running, on machines that had begun
another epoch meanwhile (test_task_started_in_a_new_epoch_is_kept_for_a_whole_lease_of_that_epoch).
"""

from enum import StrEnum

from basaltlead.core.jobs import US
from basaltlead.core.timing import Timing


class LeaseStart(StrEnum):
    """What a span without renewal is counted from; the values appear in the log."""

    REGISTERED = "its registration"
    GRANTED = "the grant"
    EPOCH_BEGAN = "the first message of its epoch"
    ANSWERED = "its last answered heartbeat"


REGISTERED, GRANTED, EPOCH_BEGAN, ANSWERED = LeaseStart  # by name: see task_states on the cost


class WorkerLease:
    """The latest moment from which a worker may count its lease, as its shard leader knows it."""

    __slots__ = ("answered_at", "counted_from", "started_by")

    def __init__(self, now: int) -> None:
        """The machine becomes known to this shard leader."""
        self.counted_from = now
        self.started_by = REGISTERED
        # When a heartbeat was last answered, by us or at best by a former shard leader. An epoch
        # that only a pushed command has shown does not count here: nothing renews its lease.
        self.answered_at = now

    def grant(self, at: int, answered_at: int | None = None) -> None:
        """A former shard leader's machine: the shard was granted to us, and we may have answered
        the machine since."""
        self.counted_from = self.answered_at = at
        self.started_by = GRANTED
        if answered_at is not None:  # we answer nobody before the grant
            self.answer(answered_at)

    def begin_epoch(self, now: int) -> None:
        """The first message of a new epoch has arrived."""
        self.counted_from = now  # the latest: calls come in the order of time
        self.started_by = EPOCH_BEGAN

    def answer(self, now: int) -> None:
        """A heartbeat is answered."""
        self.counted_from = self.answered_at = now
        self.started_by = ANSWERED

    def has_expired(self, now: int, timing: Timing) -> bool:
        """Has the worker provably killed all that was started in the epoch that is known?"""
        return now - self.counted_from > timing.lease_expiry_us

    def describe(self, now: int) -> str:
        """How long ago it was renewed, and by what, for the log."""
        return f"{(now - self.counted_from) / US:.1f} s since {self.started_by}"
