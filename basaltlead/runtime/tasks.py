"""Background tasks: the one way to run and supervise what goes on beside requests.

What a task is spawned as decides what its failure means: it is always logged, a loop of a process
is started again, and a loop of a grant ends the grant, so that a fresh one starts from what is
stored.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from basaltlead.runtime.logs import log

LOOP_PREFIX = "loop "  # the names of tasks whose failure is their owner's failure begin with this


RESTART_PAUSE_S = 0.5  # before a loop that failed is started again


def _ignore_failure() -> None:
    """For owners whose tasks all start again."""


class BackgroundTasks:
    """The background tasks of a process, a shard leader or the holder of a duty, which are
    cancelled together."""

    def __init__(self, on_failure: Callable[[], None] = _ignore_failure) -> None:
        """`on_failure` is called if a task whose name begins with `LOOP_PREFIX` raises."""
        self.running: set[asyncio.Task[None]] = set()
        self.on_failure = on_failure

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
        """Start a task; an exception that ends it is logged under its name."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def spawn_restarting(self, loop: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
        """Run a loop that is logged, and started again, should it ever fail or return."""
        self.spawn(self._run_forever(loop, name), name)

    @staticmethod
    async def _run_forever(loop: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
        while True:
            try:
                await loop()
            except Exception:  # a process without one of its loops is of no use
                log.exception("loop %s failed, restarting it", name)
            await asyncio.sleep(RESTART_PAUSE_S)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("%s failed", task.get_name(), exc_info=task.exception())
            if task.get_name().startswith(LOOP_PREFIX):
                self.on_failure()

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.running):
            task.cancel()
