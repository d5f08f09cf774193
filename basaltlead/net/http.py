"""HTTP/1.1 on `httptools` over `asyncio.Protocol`: server and client, no pipelining."""

import asyncio
import errno
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

import httptools

from basaltlead.errors import RequestFailed
from basaltlead.runtime.logs import log

MAX_BODY = 64 * 1024
MAX_HEADER = 16 * 1024
HEADER_TIME = 10.0  # s that a started request may take to arrive
IDLE_TIME = 75.0  # s that a connection may rest between requests

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Request:
    """A request as it came."""

    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, path: str, query: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.body = body


class Response:
    """An answer to be sent."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes = b"{}", headers: str = "") -> None:
        self.status = status
        self.body = body
        self.headers = headers


Handler = Callable[[Request], "Response | Awaitable[Response]"]


class ServerProtocol(asyncio.Protocol):
    """One connection from a user, a worker or the load balancer."""

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.busy = False
        self.closing = False
        self.since = server.loop.time()
        self.started = False  # part of a request has arrived
        self._reset()

    def _reset(self) -> None:
        self.url = b""
        self.size = 0
        self.parts: list[bytes] = []
        self.body_size = 0
        self.refusal = 0

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.since = self.server.loop.time()
        self.started = True
        if self.closing:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.answer(Response(400, b'{"error":"no upgrades"}'), close=True)
        except httptools.HttpParserError:
            if not self.closing:
                self.answer(Response(400, b'{"error":"not HTTP"}'), close=True)

    # httptools

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._grow(len(name) + len(value))
        if name.lower() == b"content-length" and (not value.isdigit() or int(value) > MAX_BODY):
            self.refusal = self.refusal or 413

    def _grow(self, more: int) -> None:
        self.size += more
        if self.size > MAX_HEADER:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        if self.refusal:
            self._refuse(self.refusal)

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_BODY:
            self._refuse(413)
        else:
            self.parts.append(body)

    def _refuse(self, status: int) -> None:
        if not self.closing:
            self.answer(Response(status, b'{"error":"too large"}'), close=True)

    def on_message_complete(self) -> None:
        if self.closing:
            return
        if self.busy:  # a second request before the first was answered: nobody here pipelines
            self.closing = True
            return
        self.busy = True
        self.started = False
        raw, _, query = self.url.decode("latin-1").partition("?")
        method = self.parser.get_method().decode()
        request = Request(method, unquote(raw), query, b"".join(self.parts))
        keep = self.parser.should_keep_alive()
        self._reset()
        try:
            result = self.server.handler(request)
        except Exception:
            log.exception("handler of %s %s failed", request.method, request.path)
            result = Response(503, b'{"error":"internal"}')
        if isinstance(result, Response):
            self.answer(result, close=not keep)
        else:
            task = asyncio.ensure_future(result)
            self.server.tasks.add(task)
            task.add_done_callback(lambda done: self._finished(done, keep))

    def _finished(self, task: "asyncio.Future[Response]", keep: bool) -> None:
        self.server.tasks.discard(task)
        if task.cancelled():
            response = Response(503)
        elif task.exception() is not None:
            log.error("request failed", exc_info=task.exception())
            response = Response(503, b'{"error":"internal"}')
        else:
            response = task.result()
        self.answer(response, close=not keep)

    def answer(self, response: Response, close: bool = False) -> None:
        self.busy = False
        self.since = self.server.loop.time()
        self.server.used(self)
        if self.transport is None or self.transport.is_closing():
            return
        close = close or self.closing
        head = (
            f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(response.body)}\r\n"
            f"{response.headers}{'Connection: close' + chr(13) + chr(10) if close else ''}\r\n"
        )
        self.transport.write(head.encode("latin-1") + response.body)
        if close:
            self.closing = True
            self.transport.close()


async def listen(
    factory: Callable[[], asyncio.Protocol], address: str, backlog: int = 100
) -> asyncio.Server:
    """Listen, however long that takes: after a restart the port may be in use for a moment, and
    a controller must not end for that."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await loop.create_server(factory, host, int(port), backlog=backlog)
        except OSError as fault:
            if fault.errno != errno.EADDRINUSE:
                raise
            log.error("%s is in use, trying again", address)
            await asyncio.sleep(0.5)


class Server:
    """A listening address and its connections, bounded in number.

    `others` tells how many sockets of the same limit are in use elsewhere, and `yields` closes
    one of those that rest, if there is any: nobody who comes to us is refused for those.
    """

    def __init__(
        self,
        handler: Handler,
        limit: int,
        others: Callable[[], int] = lambda: 0,
        yields: Callable[[], bool] = lambda: False,
    ) -> None:
        self.handler = handler
        self.limit = limit
        self.others = others
        self.yields = yields
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ServerProtocol, None] = {}  # the longest unused first
        self.tasks: set[asyncio.Future[Response]] = set()
        self.listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        self.listener = await listen(lambda: ServerProtocol(self), address, backlog=256)
        self.loop.call_later(5.0, self._sweep)

    def opened(self, connection: ServerProtocol) -> None:
        if len(self.connections) + self.others() >= self.limit and not self.yields():
            resting = (c for c in self.connections if not c.busy and not c.started)
            victim = next(resting, connection)
            if victim.transport is not None:
                victim.transport.abort()
            if victim is connection:
                return
            self.connections.pop(victim, None)
        self.connections[connection] = None

    def used(self, connection: ServerProtocol) -> None:
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            limit = HEADER_TIME if connection.started else IDLE_TIME
            if not connection.busy and now - connection.since > limit and connection.transport:
                connection.transport.abort()
        self.loop.call_later(5.0, self._sweep)


class ClientProtocol(asyncio.Protocol):
    """One connection to a server of ours: one request at a time."""

    def __init__(self, pool: "Pool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.reply: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.pool.dropped(self)
        self._fail("connection lost")

    def _fail(self, text: str) -> None:
        if self.reply is not None and not self.reply.done():
            self.reply.set_exception(RequestFailed(text, sent=True))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("not HTTP")
            self.close()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self.pool.max_body:
            self._fail("answer too large")
            self.close()
        else:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        body = b"".join(self.parts)
        self.parts = []
        self.size = 0
        if not self.parser.should_keep_alive():
            self.close()
        if self.reply is not None and not self.reply.done():
            self.reply.set_result((status, body))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


class Pool:
    """Connections to one address. A call that misses its deadline takes its connection along."""

    def __init__(self, address: str, limit: int, max_body: int = 16 * 1024 * 1024) -> None:
        host, port = address.rsplit(":", 1)
        self.host = host
        self.port = int(port)
        self.limit = limit
        self.max_body = max_body
        self.resting: list[ClientProtocol] = []
        self.slots = asyncio.Semaphore(limit)
        self.running = 0

    @property
    def busy(self) -> bool:
        """Is a request under way?"""
        return self.running > 0

    def dropped(self, connection: ClientProtocol) -> None:
        if connection in self.resting:
            self.resting.remove(connection)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_us: int = 2_000_000,
        still: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        """Send one request and await its answer; `RequestFailed` when there is none in time. What a
        lease is needed for asks `still` at the last moment: it may have waited for a
        connection, or the whole process may have stood still."""
        connection: ClientProtocol | None = None
        sent = False
        self.running += 1
        try:
            async with asyncio.timeout(timeout_us / 1e6), self.slots:
                connection = self.resting.pop() if self.resting else await self._connect()
                if connection.transport is None:
                    raise RequestFailed("connection lost", sent=False)
                if not still():
                    raise RequestFailed("the lease has ended", sent=False)
                # Only now: a reply that nobody waits for would be reported as a lost exception.
                connection.reply = asyncio.get_running_loop().create_future()
                sent = True
                connection.transport.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode("latin-1")
                    + body
                )
                answer = await connection.reply
                if connection.transport is not None:
                    self.resting.append(connection)
                return answer
        except TimeoutError:
            if connection is not None:
                connection.close()
            raise RequestFailed("no answer in time", sent=sent) from None
        except OSError as fault:
            raise RequestFailed(f"no connection: {fault}", sent=False) from None
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        finally:
            self.running -= 1

    async def _connect(self) -> ClientProtocol:
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(
            lambda: ClientProtocol(self), self.host, self.port
        )
        return protocol

    def close(self) -> None:
        for connection in list(self.resting):
            connection.close()
        self.resting.clear()
