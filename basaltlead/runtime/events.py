"""Waiting for an event with a time limit."""

import asyncio
from contextlib import suppress


async def wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Wait until the event is set, for at most `seconds`, and clear it."""
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    event.clear()
