"""Tasks that run beside each other and end together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from basaltlead.runtime.logs import log

LOOP = "loop "  # names of tasks that must never end begin with this


class BackgroundTasks:
    """The tasks of one holder. `failed` is called should one of its loops end with a fault."""

    def __init__(self, failed: Callable[[], None]) -> None:
        self.running: set[asyncio.Task[None]] = set()
        self.failed = failed

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
        """Run something beside the others."""
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
        """End them all."""
        for task in list(self.running):
            task.cancel()
