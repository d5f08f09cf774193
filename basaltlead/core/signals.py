"""What a shard makes known to the loops that act for it, and to whoever reads the log."""

from collections.abc import Callable

Log = Callable[[str], None]


class ShardSignals:
    """Set where the shard changes, read and cleared by the planning and the pushing of commands."""

    def __init__(self) -> None:
        self.plan_needed = True  # a plan may bind tasks that the last one could not
        # Machines that may have commands which need not wait for a heartbeat, in the order in
        # which they came up.
        self.push_queue: dict[str, None] = {}
