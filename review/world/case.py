"""Runs a case, and turns its outcome into an exit status."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 118.0
# A longer time to watch, for measurements beside the case; without it a case keeps its two minutes.
EXTRA_S = float(os.environ.get("EXTRA_S", "0"))


class NotRun(Exception):
    """The case could not run: what it needs did not come about."""


def trouble() -> bool:
    """Whether the disruption is wanted: `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case: Callable[[], Awaitable[bool]]) -> None:
    """Run a case that returns whether its rule held, and exit."""

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S + EXTRA_S):
                return HELD if await case() else BROKEN
        except (NotRun, TimeoutError, OSError, asyncio.CancelledError) as reason:
            print(f"could not run: {reason!r}", file=sys.stderr)
            return NOT_RUN

    status = asyncio.run(bounded())
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
