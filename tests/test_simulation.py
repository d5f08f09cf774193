"""The simulation behaves as an event loop does where tests depend on it."""

import asyncio

from tests.simulation import Loop, on_host, simulated

HOST = "10.0.0.1"


@simulated
async def test_timeout_that_fell_due_on_a_frozen_host_does_not_fire_once_it_is_over(
    loop: Loop,
) -> None:
    """An event loop does not run a timer that is cancelled between falling due and its turn."""
    # Given a task that waits with a timeout, on a host that is frozen
    event = asyncio.Event()

    async def wait() -> None:
        async with asyncio.timeout(1.0):
            await event.wait()

    waiting = on_host(HOST, wait())
    await asyncio.sleep(0.1)
    loop.freeze(HOST)

    # When its event is set, then its timeout falls due, and the host is thawed
    event.set()
    await asyncio.sleep(2.0)
    loop.thaw(HOST)

    # Then the wait ends, and the timeout does nothing (`run_scenario` fails on errors in callbacks)
    await waiting
