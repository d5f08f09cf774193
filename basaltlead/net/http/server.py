"""HTTP server: connections from users, workers and the load balancer."""

import asyncio
import errno
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

import httptools

from basaltlead.net.http.messages import (
    MAX_BODY_BYTES,
    REASONS,
    STATUS_BAD_REQUEST,
    STATUS_HEADERS_TOO_LARGE,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
    Request,
    Response,
)
from basaltlead.runtime.logs import log

MAX_HEADER_BYTES = 16 * 1024
REQUEST_TIMEOUT_S = 10.0  # without new data while a request is incomplete
IDLE_TIMEOUT_S = 75.0  # between requests
SWEEP_INTERVAL_S = 5.0  # between checks of these timeouts
RETRY_LISTEN_S = 0.5
BACKLOG = 256

INTERNAL_ERROR_BODY = b'{"error":"internal"}'

Handler = Callable[[Request], "Response | Awaitable[Response]"]


class ServerProtocol(asyncio.Protocol):
    """A connection to this server that carries one request at a time."""

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.busy = False  # a request is being handled
        self.closing = False
        self.active_at = server.loop.time()  # when data was last received or a response sent
        self.request_started = False  # part of a request was received
        self._reset()

    def _reset(self) -> None:
        self.url = b""
        self.header_size = 0
        self.parts: list[bytes] = []
        self.body_size = 0
        self.rejection_status = 0  # sent once the headers are complete; 0: not rejected

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connection_opened(self)

    def connection_lost(self, _fault: Exception | None) -> None:
        """Called when the connection was closed by either side."""
        self.transport = None
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.active_at = self.server.loop.time()
        self.request_started = True
        if self.closing:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.respond(Response(STATUS_BAD_REQUEST, b'{"error":"no upgrades"}'), close=True)
        except httptools.HttpParserError:
            if not self.closing:
                self.respond(Response(STATUS_BAD_REQUEST, b'{"error":"not HTTP"}'), close=True)

    # Called by httptools

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self.url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check one header."""
        self._count_header(len(name) + len(value))
        if name.lower() == b"content-length" and (
            not value.isdigit() or int(value) > MAX_BODY_BYTES
        ):
            self.rejection_status = self.rejection_status or STATUS_TOO_LARGE

    def _count_header(self, size: int) -> None:
        self.header_size += size
        if self.header_size > MAX_HEADER_BYTES:
            self._reject(STATUS_HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Reject the request if its headers call for it."""
        if self.rejection_status:
            self._reject(self.rejection_status)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            self._reject(STATUS_TOO_LARGE)
        else:
            self.parts.append(body)

    def _reject(self, status: int) -> None:
        if not self.closing:
            self.respond(Response(status, b'{"error":"too large"}'), close=True)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        if self.closing:
            return
        # A pipelined request is ignored, as no client needs pipelining. The connection is closed
        # after the response to the current request.
        if self.busy:
            self.closing = True
            return
        self.busy = True
        self.request_started = False
        raw, _, query = self.url.decode("latin-1").partition("?")
        method = self.parser.get_method().decode()
        request = Request(method, unquote(raw), query, b"".join(self.parts))
        keep = self.parser.should_keep_alive()
        self._reset()
        try:
            result = self.server.handler(request)
        except Exception:  # a failing request must not affect other connections
            log.exception("handling %s %s failed", request.method, request.path)
            result = Response(STATUS_UNAVAILABLE, INTERNAL_ERROR_BODY)
        if isinstance(result, Response):
            self.respond(result, close=not keep)
        else:
            task = asyncio.ensure_future(result)
            self.server.tasks.add(task)
            task.add_done_callback(lambda done: self._finished(done, keep))

    def _finished(self, task: "asyncio.Future[Response]", keep: bool) -> None:
        self.server.tasks.discard(task)
        if task.cancelled():
            response = Response(STATUS_UNAVAILABLE)
        elif task.exception() is not None:
            log.error("handling a request failed", exc_info=task.exception())
            response = Response(STATUS_UNAVAILABLE, INTERNAL_ERROR_BODY)
        else:
            response = task.result()
        self.respond(response, close=not keep)

    def respond(self, response: Response, close: bool = False) -> None:
        """Send a response, and then close the connection if `close` or `closing` is set."""
        self.busy = False
        self.active_at = self.server.loop.time()
        self.server.mark_used(self)
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
    """Listen at an address, and retry while it is in use.

    After a restart an address may be in use for a moment, which must not end a controller. Raises
    OSError for any other failure.
    """
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    while True:
        try:
            return await loop.create_server(factory, host, int(port), backlog=backlog)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        log.error("address %s is in use, retrying", address)
        await asyncio.sleep(RETRY_LISTEN_S)


class Server:
    """A listening address and its connections, which are limited in number."""

    def __init__(
        self,
        handler: Handler,
        limit: int,
        other_sockets: Callable[[], int] = lambda: 0,
        close_other_idle: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a server; `limit` applies to its connections and `other_sockets` together.

        At the limit, `close_other_idle` is called first: it closes an idle connection that
        `other_sockets` counts, if there is one, and returns whether it closed one. So idle
        connections that this server doesn't own never cause it to refuse a client.
        """
        self.handler = handler
        self.limit = limit
        self.other_sockets = other_sockets
        self.close_other_idle = close_other_idle
        self.loop = asyncio.get_running_loop()
        self.connections: dict[ServerProtocol, None] = {}  # least recently used first
        self.tasks: set[asyncio.Future[Response]] = set()
        self.listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Start listening. Raises OSError if the address can't be used."""
        self.listener = await listen(lambda: ServerProtocol(self), address, backlog=BACKLOG)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_opened(self, connection: ServerProtocol) -> None:
        """Register a new connection. At the limit, an idle connection that `other_sockets` counts
        is closed, else the least recently used idle connection of this server, else the new one."""
        if (
            len(self.connections) + self.other_sockets() >= self.limit
            and not self.close_other_idle()
        ):
            idle = (one for one in self.connections if not one.busy and not one.request_started)
            closed = next(idle, connection)
            if closed.transport is not None:
                closed.transport.abort()
            if closed is connection:
                return
            self.connections.pop(closed, None)
        self.connections[connection] = None

    def mark_used(self, connection: ServerProtocol) -> None:
        """Make a connection the most recently used one."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def _sweep(self) -> None:
        """Close connections that exceeded the idle timeout or the request timeout."""
        now = self.loop.time()
        for connection in list(self.connections):
            limit = REQUEST_TIMEOUT_S if connection.request_started else IDLE_TIMEOUT_S
            if not connection.busy and now - connection.active_at > limit and connection.transport:
                connection.transport.abort()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
