"""Which cancellations a controller knows to be confirmed.

A shard leader may start nothing of a job whose cancellation was confirmed to its user by any
controller. Controllers therefore tell each other what they have confirmed since a given time.
"""

MAX_KNOWN = 4000


class Cancellations:
    """The jobs known to be cancelled, the newest of them. Dropping the oldest shortens the time for
    which the list is known to be complete."""

    def __init__(self, now: int, most: int = MAX_KNOWN) -> None:
        self.most = most
        # All that this incarnation has confirmed at this time or later is listed.
        self.complete_since = now
        self._known: dict[str, int] = {}  # when each job was first known to be cancelled

    def __contains__(self, ref: str) -> bool:
        return ref in self._known

    def add(self, ref: str, now: int) -> bool:
        """Note a cancellation; True if it was not known. Must be called before the user gets the
        confirmation: the list for other controllers must hold all that users saw confirmed."""
        if ref in self._known:
            return False
        self._known[ref] = now
        while len(self._known) > self.most:
            oldest = next(iter(self._known))
            self.complete_since = self._known.pop(oldest) + 1
        return True

    def since(self, at: int) -> list[str] | None:
        """All that were confirmed here at this time or later, and maybe more; None if the list is
        not complete for so long."""
        if at < self.complete_since:
            return None
        refs: list[str] = []
        for ref, known_at in reversed(self._known.items()):
            if known_at < at:
                break
            refs.append(ref)
        return refs
