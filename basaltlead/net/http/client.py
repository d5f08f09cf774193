"""HTTP client: a pool of connections to one address.

The texts of its errors also reach operators through the command `duties`, and must not change.
"""

import asyncio
from collections.abc import Callable

import httptools

from basaltlead.errors import RequestFailed
from basaltlead.net.http.messages import ClientResponse

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
TIMEOUT_US = 2_000_000


class ClientProtocol(asyncio.Protocol):
    """A connection to a server that carries one request at a time."""

    def __init__(self, pool: "ConnectionPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.pending_response: asyncio.Future[ClientResponse] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = 0

    def send(self, request: bytes, may_send: Callable[[], bool]) -> asyncio.Future[ClientResponse]:
        """Send a request, and return a future of its response.

        Raises `RequestFailed` if nothing was sent.
        """
        if self.transport is None:
            raise RequestFailed("connection lost", sent=False)
        if not may_send():
            raise RequestFailed("the lease has ended", sent=False)
        # Created only after the checks: if a future failed without being awaited, asyncio would
        # report that its exception was never retrieved.
        self.pending_response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.pending_response

    def close(self) -> None:
        """Close the connection immediately; a pending request fails."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def _fail(self, text: str) -> None:
        if self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_exception(RequestFailed(text, sent=True))

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, _fault: Exception | None) -> None:
        """Called when the connection was closed by either side."""
        self.transport = None
        self.pool.connection_closed(self)
        self._fail("connection lost")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("not HTTP")
            self.close()

    # Called by httptools

    def on_body(self, body: bytes) -> None:
        """Collect a part of the response body."""
        self.size += len(body)
        if self.size > self.pool.max_response_bytes:
            self._fail("answer too large")
            self.close()
        else:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the pending request with the response."""
        response = ClientResponse(self.parser.get_status_code(), b"".join(self.parts))
        self.parts = []
        self.size = 0
        if not self.parser.should_keep_alive():
            self.close()
        if self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_result(response)


class ConnectionPool:
    """A pool of connections to one address, limited in number."""

    def __init__(
        self, address: str, limit: int, max_response_bytes: int = MAX_RESPONSE_BYTES
    ) -> None:
        host, port = address.rsplit(":", 1)
        self.host = host
        self.port = int(port)
        self.limit = limit
        self.max_response_bytes = max_response_bytes
        self.idle: list[ClientProtocol] = []  # open connections without a request
        self.slots = asyncio.Semaphore(limit)
        self.running = 0  # requests that wait for a connection or a response

    @property
    def busy(self) -> bool:
        """Whether any request is in progress."""
        return self.running > 0

    def connection_closed(self, connection: ClientProtocol) -> None:
        """Remove a connection that was closed."""
        if connection in self.idle:
            self.idle.remove(connection)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_us: int = TIMEOUT_US,
        may_send: Callable[[], bool] = lambda: True,
    ) -> ClientResponse:
        """Send one request and wait for its response.

        Raises `RequestFailed` if there is none within `timeout_us`; the connection is then closed,
        since the response may still arrive. Requests that require a lease pass `may_send`, which is
        called immediately before sending: the request may have waited for a connection, or the
        process may have been suspended.
        """
        request = self._encode(method, path, body)
        connection: ClientProtocol | None = None
        sent = False
        self.running += 1
        try:
            async with asyncio.timeout(timeout_us / 1e6), self.slots:
                connection = self.idle.pop() if self.idle else await self._connect()
                pending_response = connection.send(request, may_send)
                sent = True
                response = await pending_response
                if connection.transport is not None:
                    self.idle.append(connection)
                return response
        except TimeoutError:
            if connection is not None:
                connection.close()
            raise RequestFailed("no answer in time", sent=sent) from None
        except OSError as error:
            raise RequestFailed(f"no connection: {error}", sent=False) from None
        except BaseException:  # includes the cancellation of the caller
            if connection is not None:
                connection.close()
            raise
        finally:
            self.running -= 1

    def _encode(self, method: str, path: str, body: bytes) -> bytes:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode("latin-1") + body

    async def _connect(self) -> ClientProtocol:
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(
            lambda: ClientProtocol(self), self.host, self.port
        )
        return protocol

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()
