"""Supervised background tasks; all work outside of requests runs in them.

A failure is always logged. How a task was spawned decides what follows: a loop of the process is
restarted, and a failed loop of a grant ends the grant, so that the next one starts from the stored
state.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from basaltlead.runtime.logs import log

LOOP_PREFIX = "loop "  # begins the names of tasks whose failure ends their owner
RESTART_PAUSE_S = 0.5  # before a failed loop is restarted


def _ignore_failure() -> None:
    """Default for owners whose loops are all restarted."""


class BackgroundTasks:
    """The background tasks of a process, a shard leader or a duty holder, cancelled together."""

    def __init__(self, on_failure: Callable[[], None] = _ignore_failure) -> None:
        """`on_failure` is called if a task whose name begins with `LOOP_PREFIX` raises an
        exception."""
        self.running: set[asyncio.Task[None]] = set()
        self.on_failure = on_failure

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
        """Start a task; if it raises an exception, that is logged with the name of the task."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def spawn_restarting(self, loop: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
        """Run a loop, and restart it whenever it returns or fails; failures are logged."""
        self.spawn(self._run_forever(loop, name), name)

    @staticmethod
    async def _run_forever(loop: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
        while True:
            try:
                await loop()
            except Exception:  # the process can't work without any of its loops
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
