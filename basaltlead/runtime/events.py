"""Waiting for an event, but not for ever."""

import asyncio


async def wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Return once the event is set, or after so long, and clear it."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
    event.clear()
