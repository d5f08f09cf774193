"""Signals from a shard to the loops that act on its changes."""

from collections.abc import Callable

Log = Callable[[str], None]


class ShardSignals:
    """What has changed in a shard, read and cleared by the planning loop and the dispatcher."""

    def __init__(self) -> None:
        self.plan_needed = True  # a plan may bind tasks that the last one could not
        # Names of machines that may have commands to push before their next heartbeat, in the order
        # of the changes.
        self.push_queue: dict[str, None] = {}
