"""The fencing tokens under which a shard leader commands its machines.

A worker ignores a start of an attempt that it still lists, and refuses a push whose token is lower
than the highest that it has seen. It knows nothing of an attempt that it was told to forget, so a
late copy of a start that was pushed under the same token would run the task again, whatever has
become of it.

Each grant therefore reserves a range of tokens, and a shard leader keeps to two rules:

- A message that tells a machine to forget attempts carries a higher token than every start that was
  pushed to this machine before. The worker applies both at once: while the message is under way it
  still lists the attempts, and afterwards it refuses the starts.
- Starts are pushed to a machine only while there is a token above the present one for this message.

Starts in answers to heartbeats are not concerned, since a worker never executes these late. Nor are
starts of earlier shard leaders: their tokens are below the range, and a machine is told to forget
attempts only after it has shown a token of the range. The next shard leader's range is above this
one, whoever grants it, since the counter in the key-value store contains all reserved tokens.
"""

from basaltlead.core.entities import Machine


class FencingTokens:
    """The tokens that are reserved for a shard leader, and the use of them for each machine."""

    def __init__(self, granted: range) -> None:
        """Begin with the tokens that the grant reserved."""
        self.first = granted.start
        self.highest_used = granted.start
        self._ranges = [granted]

    def add(self, reserved: range) -> None:
        """Add a range that was reserved later; it lies above all others."""
        self._ranges.append(reserved)

    @property
    def unused(self) -> int:
        """How many tokens lie above the highest that any machine was sent."""
        return sum(len(range(max(r.start, self.highest_used + 1), r.stop)) for r in self._ranges)

    def contains(self, token: int) -> bool:
        """Whether a token is one of ours: what shows it obeys no earlier shard leader any more."""
        # Asked for each heartbeat; mostly there is one range.
        return token in self._ranges[0] or any(token in more for more in self._ranges[1:])

    def are_replaced_by(self, token: int) -> bool:
        """Whether a token is that of a later shard leader, or of another shard's."""
        return token > self.first and not self.contains(token)

    def of(self, machine: Machine) -> int:
        """The token of the next message to a machine."""
        return max(machine.fencing_token, self.first)

    def note_shown(self, machine: Machine, token: int) -> None:
        """Record a token of ours that a machine has shown."""
        if token > machine.fencing_token:
            self._raise(machine, token)
            machine.push_token = token  # nobody here knows what was pushed under it

    def allow_push(self, machine: Machine) -> bool:
        """Whether starts may be pushed to a machine: it can be told to forget them later."""
        return self._after(self.of(machine)) is not None

    def note_pushed_starts(self, machine: Machine) -> None:
        """Record that starts are pushed to a machine under its present token."""
        machine.push_token = self.of(machine)

    def allow_forget(self, machine: Machine) -> bool:
        """Raise the token of a machine above that of all starts that were pushed to it. Returns
        whether it may be told to forget attempts under its token."""
        if machine.push_token < self.of(machine):
            return True
        raised = self._after(machine.push_token)
        if raised is None:
            return False
        self._raise(machine, raised)
        return True

    def _raise(self, machine: Machine, token: int) -> None:
        machine.fencing_token = token
        self.highest_used = max(self.highest_used, token)

    def _after(self, token: int) -> int | None:
        """The lowest of our tokens above this one."""
        for reserved in self._ranges:
            if token + 1 < reserved.stop:
                return max(token + 1, reserved.start)
        return None
