"""Background tasks of one owner, which are cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from basaltlead.runtime.logs import log

LOOP = "loop "  # the names of tasks whose failure is their owner's failure begin with this


class BackgroundTasks:
    """The background tasks of a shard leader or the holder of a duty."""

    def __init__(self, failed: Callable[[], None]) -> None:
        """`failed` is called once a task whose name begins with `LOOP` ends with an exception."""
        self.running: set[asyncio.Task[None]] = set()
        self.failed = failed

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
        """Start a task; an exception that ends it is logged under its name."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s failed", task.get_name(), exc_info=task.exception())
            if task.get_name().startswith(LOOP):
                self.failed()

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.running):
            task.cancel()
