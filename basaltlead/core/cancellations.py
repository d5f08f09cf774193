"""The confirmed cancellations that a controller knows of.

Once any controller has confirmed a cancellation to its user, a shard leader must not start tasks of
that job. Controllers therefore tell each other what they have confirmed since a given time.
"""

MAX_KNOWN = 4000


class Cancellations:
    """The most recent `max_known` jobs known to be cancelled. Times are microseconds.

    Dropping the oldest shortens the period for which the list is complete.
    """

    def __init__(self, now: int, max_known: int = MAX_KNOWN) -> None:
        self.max_known = max_known
        # Everything that this incarnation has confirmed at this time or later is listed.
        self.complete_since = now
        self._known: dict[str, int] = {}  # when each job was first known to be cancelled

    def __contains__(self, ref: str) -> bool:
        return ref in self._known

    def add(self, ref: str, now: int) -> bool:
        """Record a cancellation; True if it was not known. Must be called before the user gets the
        confirmation, since other controllers must see every cancellation confirmed to a user."""
        if ref in self._known:
            return False
        self._known[ref] = now
        while len(self._known) > self.max_known:
            oldest = next(iter(self._known))
            self.complete_since = self._known.pop(oldest) + 1
        return True

    def since(self, at: int) -> list[str] | None:
        """All jobs recorded here at this time or later; a superset of those confirmed since then.
        None if the list does not reach back that far."""
        if at < self.complete_since:
            return None
        refs: list[str] = []
        for ref, known_at in reversed(self._known.items()):
            if known_at < at:
                break
            refs.append(ref)
        return refs
