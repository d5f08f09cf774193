"""Which cancellations a controller knows to be confirmed, and how far back it knows all that it
confirmed itself."""

MOST = 4000


class Cancellations:
    """Bounded: what is forgotten shortens how far back it reaches."""

    def __init__(self, now: int, most: int = MOST) -> None:
        self.most = most
        self.reaches_back = now  # all that this incarnation has confirmed since then is here
        self.known: dict[str, int] = {}  # when each job was first known to be cancelled

    def __contains__(self, ref: str) -> bool:
        return ref in self.known

    def add(self, ref: str, now: int) -> bool:
        """True if it is news. To be called before a user is told."""
        if ref in self.known:
            return False
        self.known[ref] = now
        while len(self.known) > self.most:
            oldest = next(iter(self.known))
            self.reaches_back = self.known.pop(oldest) + 1
        return True

    def since(self, at: int) -> list[str] | None:
        """All that were confirmed here since then, and maybe more; None if it is not known."""
        if at < self.reaches_back:
            return None
        out: list[str] = []
        for ref, known_at in reversed(self.known.items()):
            if known_at < at:
                break
            out.append(ref)
        return out
