"""An in-memory simulation: a fake clock, a fake network, and an event loop that uses both.

Controllers run in it unchanged. Time advances only when no callback is ready, so a simulated day
takes only as long as its code needs, and the same seed gives the same run.
"""

import asyncio
import contextvars
import errno
import functools
import inspect
import random
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

from basaltlead.runtime import clock

HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="10.9.9.9")
PEER: contextvars.ContextVar[str] = contextvars.ContextVar("peer", default="")  # sender of the data


class _Selector(selectors.BaseSelector):
    """Advances the simulated clock instead of waiting."""

    def __init__(self) -> None:
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no callback is ready or scheduled")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        raise NotImplementedError

    def unregister(self, fileobj: Any) -> Any:
        raise NotImplementedError

    def get_map(self) -> Any:
        return {}


class Transport(asyncio.Transport):
    """One end of an in-memory connection."""

    def __init__(self, net: "Network", local_host: str, remote_host: str) -> None:
        super().__init__()
        self.net = net
        self.local_host = local_host
        self.remote_host = remote_host
        self.peer: Transport | None = None
        self.protocol: asyncio.Protocol | None = None
        self.closed = False

    def write(self, data: Any) -> None:
        if not self.closed and self.peer is not None:
            self.net.send(self, bytes(data))

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.protocol is not None:
            self.net.loop.call_soon(self.protocol.connection_lost, None)
        if self.peer is not None:
            self.net.send(self, None)


class Network:
    """Connections between hosts, with injected faults: cut links, delays and refused addresses."""

    def __init__(self, loop: "Loop", rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.listeners: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.ports_in_use: set[tuple[str, int]] = set()  # ports that another process listens on
        self.refusing_addresses: set[tuple[str, int]] = set()  # by a packet filter
        self.cut_links: set[frozenset[str]] = set()
        # What was sent over cut links, by link
        self.held_back: dict[frozenset[str], list[tuple[Transport, bytes | None]]] = {}
        # Per transport, the earliest time of the next delivery, which keeps the bytes in order
        self.next_arrival_at: dict[int, float] = {}
        self.transports: dict[str, set[Transport]] = {}  # by local host
        self.slow: dict[str, float] = {}  # added delay in s of all data to a host
        # By host, the delay in s of the second half of all data sent to it
        self.second_half_delay_s: dict[str, float] = {}

    def cut(self, a: str, b: str) -> None:
        """Cut the link between two hosts: what they send to each other is held back."""
        self.cut_links.add(frozenset((a, b)))

    def heal(self, a: str, b: str, deliver: bool = True) -> None:
        """Restore a cut link. If `deliver` is true, the data held back is delivered; otherwise its
        connections are reset."""
        link = frozenset((a, b))
        self.cut_links.discard(link)
        for transport, data in self.held_back.pop(link, []):
            if deliver:
                self._schedule_delivery(transport, data)
            elif transport.peer is not None and not transport.peer.closed:
                transport.peer.abort()

    def send(self, transport: Transport, data: bytes | None) -> None:
        """Send data, or the end of the connection (None), to the peer of a transport."""
        link = frozenset((transport.local_host, transport.remote_host))
        second_half_delay = self.second_half_delay_s.get(transport.remote_host)
        if data is not None and second_half_delay is not None and link not in self.cut_links:
            middle = len(data) // 2
            self._schedule_delivery(transport, data[:middle])
            self.loop.call_later(
                second_half_delay, self._schedule_delivery, transport, data[middle:]
            )
        elif link in self.cut_links:
            self.held_back.setdefault(link, []).append((transport, data))
        else:
            self._schedule_delivery(transport, data)

    def _schedule_delivery(self, transport: Transport, data: bytes | None) -> None:
        delay_s = self.rng.uniform(0.0003, 0.003) + self.slow.get(transport.remote_host, 0.0)
        at = max(self.loop.time() + delay_s, self.next_arrival_at.get(id(transport), 0.0))
        self.next_arrival_at[id(transport)] = at + 1e-7
        self.loop.call_at(at, self._deliver_on_host, transport, data)

    def _deliver_on_host(self, transport: Transport, data: bytes | None) -> None:
        """Schedule the delivery in the receiver's context. While the receiving host is frozen, the
        delivery is delayed."""
        context = contextvars.copy_context()
        context.run(HOST.set, transport.remote_host)
        context.run(PEER.set, transport.local_host)
        self.loop.call_soon(self._deliver, transport, data, context=context)

    @staticmethod
    def _deliver(transport: Transport, data: bytes | None) -> None:
        peer = transport.peer
        if peer is None or peer.closed or peer.protocol is None:
            return
        if data is None:
            peer.closed = True
            peer.protocol.connection_lost(None)
        else:
            peer.protocol.data_received(data)

    async def connect(
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[Transport, asyncio.Protocol]:
        """Open a connection from the current host."""
        local_host = HOST.get()
        await asyncio.sleep(self.rng.uniform(0.0003, 0.003))
        if frozenset((local_host, host)) in self.cut_links:
            await asyncio.sleep(3600)
        create_protocol = self.listeners.get((host, port))
        if create_protocol is None or (host, port) in self.refusing_addresses:
            raise ConnectionRefusedError(f"{host}:{port}")
        near, far = Transport(self, local_host, host), Transport(self, host, local_host)
        near.peer, far.peer = far, near
        far.protocol = create_protocol()
        near.protocol = factory()
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        for transport in (near, far):
            self.transports.setdefault(transport.local_host, set()).add(transport)
        return near, near.protocol

    def power_off(self, host: str) -> None:
        """Stop a host: its listeners close and its connections are reset."""
        for address in [address for address in self.listeners if address[0] == host]:
            del self.listeners[address]
        for transport in self.transports.pop(host, set()):
            if not transport.closed:
                transport.closed = True
                transport.protocol = None
                self.send(transport, None)


class _Listener:
    def __init__(self, net: Network, address: tuple[str, int]) -> None:
        self.net = net
        self.address = address

    def close(self) -> None:
        self.net.listeners.pop(self.address, None)


class _HostCallback:
    """A callback that is delayed while its host is frozen.

    It does not run if it is cancelled before its turn, even if it fell due during the freeze
    (test_timeout_that_fell_due_on_a_frozen_host_does_not_fire_once_it_is_over).
    """

    __slots__ = ("callback", "handle", "loop")

    def __init__(self, loop: "Loop", callback: Any) -> None:
        self.loop = loop
        self.callback = callback
        self.handle: asyncio.Handle | None = None  # returned to the caller, who may cancel it

    def __call__(self, *args: Any) -> None:
        waiting = self.loop.frozen.get(HOST.get())
        if waiting is not None:
            waiting.append((self, args, contextvars.copy_context()))
            return
        handle, self.handle = self.handle, None
        if handle is None or not handle.cancelled():
            self.callback(*args)


class Loop(asyncio.base_events.BaseEventLoop):
    """An event loop on simulated time, whose connections are those of a `Network`."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__()
        self._selector = _Selector()
        self.net = Network(self, random.Random(seed))
        # Errors of the wall clock and of the monotonic clock, by host
        self.wall_clock_offset_s: dict[str, float] = {}
        self.steady_clock_offset_s: dict[str, float] = {}
        # The delayed callbacks of each frozen host
        self.frozen: dict[str, list[tuple[_HostCallback, Any, contextvars.Context]]] = {}

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._selector.now

    # Frozen hosts: their clocks run on, and callbacks that become due are delayed

    def freeze(self, host: str) -> None:
        """Suspend a host: its callbacks are delayed until it is thawed."""
        self.frozen.setdefault(host, [])

    def thaw(self, host: str) -> None:
        """Resume a frozen host, with all callbacks that became due in the meantime."""
        for callback, args, context in self.frozen.pop(host, []):
            super().call_soon(callback, *args, context=context)

    def call_soon(  # type: ignore[override]  # any callback and any arguments
        self, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        wrapped = _HostCallback(self, callback)
        wrapped.handle = super().call_soon(wrapped, *args, context=context)
        return wrapped.handle

    def call_at(  # type: ignore[override]  # any callback and any arguments
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        wrapped = _HostCallback(self, callback)
        wrapped.handle = super().call_at(when, wrapped, *args, context=context)
        return wrapped.handle

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any):  # type: ignore[override,no-untyped-def]
        return await self.net.connect(factory, host, port)

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **_: Any):  # type: ignore[override,no-untyped-def]
        if (host, port) in self.net.ports_in_use:
            raise OSError(errno.EADDRINUSE, "address in use")
        context = contextvars.copy_context()

        def create_protocol() -> asyncio.Protocol:
            protocol: asyncio.Protocol = context.run(factory)
            return protocol

        self.net.listeners[(host, port)] = create_protocol
        return _Listener(self.net, (host, port))


def run_scenario(scenario: Callable[[Loop], Coroutine[Any, Any, None]], seed: int = 1) -> None:
    """Run a scenario to its end on a new loop; fails if any callback raised an exception."""
    loop = Loop(seed)
    failures: list[str] = []
    loop.set_exception_handler(lambda _, context: failures.append(str(context)))
    asyncio.set_event_loop(loop)

    def time_of_day() -> int:
        return int((loop.time() + 1.7e9 + loop.wall_clock_offset_s.get(HOST.get(), 0.0)) * 1e9)

    def steady() -> int:
        return int((loop.time() + loop.steady_clock_offset_s.get(HOST.get(), 0.0)) * 1e9)

    clock.replace_clocks(steady, time_of_day, seed)
    try:
        loop.run_until_complete(scenario(loop))
    finally:
        for host in list(loop.frozen):  # tasks of a frozen host can't be cancelled
            loop.thaw(host)
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
    assert not failures, failures


def simulated(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test on a simulated loop, which is passed as its first argument.

    The other arguments come from pytest as usual. One named `seed` also seeds the network's delays.
    """
    signature = inspect.signature(test)
    _, *others = signature.parameters.values()

    @functools.wraps(test)
    def run(**values: Any) -> None:
        run_scenario(lambda loop: test(loop, **values), values.get("seed", 1))

    # Otherwise pytest would look for a fixture named `loop`.
    run.__signature__ = signature.replace(parameters=others, return_annotation=None)  # type: ignore[attr-defined]
    return run


async def poll_until(condition: Callable[[], bool], interval_s: float) -> None:
    """Wait for a condition that no event signals. Polling costs little in simulated time."""
    while True:
        if condition():
            return
        await asyncio.sleep(interval_s)


def on_host(host: str, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
    """Start a task on a host: its connections are opened from that host."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    return asyncio.get_running_loop().create_task(coroutine, context=context)


__all__ = ["HOST", "PEER", "Loop", "Network", "on_host", "poll_until", "run_scenario", "simulated"]
