"""Determines when the lease of a machine's worker has provably expired.

A worker kills its tasks and begins its next agent epoch when one lease duration has passed since it
*sent* the last answered heartbeat of its epoch or, if none was answered, since the epoch *began*.
Pushed commands and probes do not renew the lease. A shard leader observes neither of these times,
only later ones that bound them:

- A former shard leader may have answered until the shard was granted to us: its session lease had
  ended by then, and whatever it started is in an epoch that had begun by then.
- An epoch has begun when its first message arrives, either a heartbeat or the answer to a pushed
  command.
- A heartbeat has been sent when it is answered.

One lease duration after the *latest* of these times the known epoch is therefore over, and
everything started in it is killed; `Timing.lease_expiry_us` adds the drift of both clocks and the
resolution of timers. The following epoch cannot contain tasks of ours: commands name the epoch that
they are for, and no command is sent for an epoch that is not known.

A time from an earlier epoch says nothing about the current one. If the lease were counted only from
the grant, tasks that run in an epoch begun after the grant would be started a second time while
they still run (test_task_started_in_a_new_epoch_is_kept_for_a_whole_lease_of_that_epoch).
"""

from enum import StrEnum

from basaltlead.core.jobs import US
from basaltlead.core.timing import Timing


class LeaseStart(StrEnum):
    """The event from which the lease is counted; the values appear in the log."""

    REGISTERED = "its registration"
    GRANTED = "the grant"
    EPOCH_BEGAN = "the first message of its epoch"
    ANSWERED = "its last answered heartbeat"


# Module constants, since looking up a member on its class is slow: see task_states.
REGISTERED, GRANTED, EPOCH_BEGAN, ANSWERED = LeaseStart


class WorkerLease:
    """The latest time from which a worker may count its lease, as known to its shard leader.

    All times are microseconds.
    """

    __slots__ = ("answered_at", "counted_from", "started_by")

    def __init__(self, now: int) -> None:
        """Start counting when the machine becomes known to this shard leader."""
        self.counted_from = now
        self.started_by = REGISTERED
        # The latest time at which we, or a former shard leader, may have answered a heartbeat.
        # `begin_epoch` does not change it: the first message of an epoch may be the answer to a
        # pushed command, which does not renew the lease.
        self.answered_at = now

    def count_from_grant(self, at: int, answered_at: int | None = None) -> None:
        """Start counting for a machine of a former shard leader: from `at`, when the shard was
        granted to us, or from `answered_at`, when we last answered one of its heartbeats, if we
        have."""
        self.counted_from = self.answered_at = at
        self.started_by = GRANTED
        if answered_at is not None:  # never before the grant
            self.answer(answered_at)

    def begin_epoch(self, now: int) -> None:
        """Record that the first message of a new epoch has arrived."""
        self.counted_from = now  # calls come in order of time, so this is the latest
        self.started_by = EPOCH_BEGAN

    def answer(self, now: int) -> None:
        """Record that a heartbeat is answered."""
        self.counted_from = self.answered_at = now
        self.started_by = ANSWERED

    def has_expired(self, now: int, timing: Timing) -> bool:
        """Whether the worker has provably killed everything started in the known epoch."""
        return now - self.counted_from > timing.lease_expiry_us

    def describe(self, now: int) -> str:
        """How long ago the lease was renewed, and by what event, for the log."""
        return f"{(now - self.counted_from) / US:.1f} s since {self.started_by}"
