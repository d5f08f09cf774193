"""A small HTTP/1.1 server and client, and a TCP proxy, on the standard library alone."""

import asyncio
import json
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

LOOPBACK = "127.0.0.1"
PORTS = (20_000, 32_000)  # of the controllers
FILLERS = 3  # connections that fill the queue of a listener that accepts none
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Call(NamedTuple):
    """A request that a stand-in received."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


class Reply(NamedTuple):
    """The answer of a stand-in."""

    status: int
    body: Any


Handler = Callable[[Call], Awaitable[Reply]]


def free_port() -> int:
    """Return a port of the loopback interface that nobody uses now. It is below those that the
    kernel gives to connections and to the stand-ins, so that it stays free."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as a cut link does."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """Return the first line and the body of an HTTP message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    try:
        return lines[0], await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class WebServer:
    """Serves one handler on one port.

    `cut` makes it reset all connections, open and new. While it is held, connection attempts get no
    answer at all, as behind a cut that holds packets back. With `closes`, each response ends its
    connection by `Connection: close`.
    """

    def __init__(self, handler: Handler, closes: bool = False) -> None:
        self.handler = handler
        self.closes = closes
        self.cut = False
        self.fillers: list[socket.socket] = []
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
        for filler in self.fillers:
            filler.close()
        self.set_cut(True)

    async def hold(self) -> None:
        """Leave connection attempts without an answer from now on."""
        if self.server is not None:
            self.server.close()
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind((LOOPBACK, self.port))
        silent.listen(0)
        self.fillers = [silent]
        # The queue of connections that nobody accepts is full from the first or second one on: the
        # kernel then drops further attempts.
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOOPBACK, self.port))
            self.fillers.append(filler)
        await asyncio.sleep(0)

    async def release(self) -> None:
        """End `hold`."""
        for filler in reversed(self.fillers):
            filler.close()
        self.fillers.clear()
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def set_cut(self, cut: bool) -> None:
        """Begin or end the cut of this server's links."""
        self.cut = cut
        if cut:
            for writer in list(self.open):
                reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.cut:
            reset(writer)
            return
        self.open.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(message, writer)
                if self.closes:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass  # the link is cut, or the case is over
        finally:
            self.open.discard(writer)
            writer.close()

    async def _answer(self, message: tuple[str, bytes], writer: asyncio.StreamWriter) -> None:
        method, target, _ = message[0].split(" ", 2)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(message[1]) if message[1] else {}
        answer = await self.handler(Call(method, unquote(parts.path), query, body))
        raw = json.dumps(answer.body).encode()
        head = f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Status')}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n"
        head += "Connection: close\r\n\r\n" if self.closes else "\r\n"
        writer.write(head.encode() + raw)
        await writer.drain()


async def send(
    address: str, method: str, path: str, body: Any, timeout_s: float
) -> tuple[int, Any]:
    """Send one request on a connection of its own; status 0 stands for no response in time."""
    raw = b"" if body is None else json.dumps(body).encode()
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            writer.write(f"{head}Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, {}
    return int(message[0].split(" ")[1]), json.loads(message[1] or b"{}")


class Proxy:
    """Forwards the connections of one link; while the link is cut, resets them."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.cut = False
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that the client of the link connects to."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = int(server.sockets[0].getsockname()[1])

    def set_cut(self, cut: bool) -> None:
        """Begin or end the cut of this link."""
        self.cut = cut
        if cut:
            for writer in list(self.open):
                reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.cut:
            reset(writer)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.open |= {writer, far_writer}
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            self.open -= {writer, far_writer}
            reset(writer)
            reset(far_writer)


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()
