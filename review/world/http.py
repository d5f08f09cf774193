"""A small HTTP/1.1 server and client for JSON bodies, on loopback."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024  # "A request body is limited to 64 KiB"


class Request(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


class Dropped(Exception):
    """Raised by a handler to close the connection without an answer."""


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    size = 0
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    path, _, query = target.partition("?")
    body = await reader.readexactly(size)
    return Request(method, unquote(path), dict(parse_qsl(query)), body)


def _encode(status: int, value: Any) -> bytes:
    body = json.dumps(value, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve requests with a handler; return the server and its port."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # At the end of a case these tasks are cancelled, which is no error.
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, Dropped)
        with contextlib.suppress(*ends):
            while True:
                request = await _read_request(reader)
                if len(request.body) > MAX_BODY_BYTES:
                    writer.write(_encode(413, {"error": "too large"}))
                    break
                status, value = await handler(request)
                writer.write(_encode(status, value))
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(connected, HOST, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


async def call(
    port: int, method: str, path: str, value: Any = None, timeout_s: float = 5.0
) -> Answer:
    """Send one request on a connection of its own; return status and body, (0, None) if there is
    no answer."""
    body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nConnection: close\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            received = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    top, _, content = received.partition(b"\r\n\r\n")
    try:
        return int(top.split(b" ", 2)[1]), json.loads(content)
    except (IndexError, ValueError):
        return 0, None


async def wait_while(holds: Callable[[], bool], pause_s: float = 0.05) -> None:
    """Wait as long as a condition holds."""
    while True:
        if not holds():
            return
        await asyncio.sleep(pause_s)
