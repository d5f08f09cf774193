"""Outgoing connections to other controllers, and the decoding of their messages."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from basaltlead.clients.codec import encode
from basaltlead.config.settings import Peer
from basaltlead.core.cluster_view import session_validity_end
from basaltlead.net.netstring import FrameProtocol
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.wire.peers import FailoverDeferral, Message

decoder = msgspec.json.Decoder(Message)
CONNECT_TIMEOUT_S = 1.0
MAX_PENDING_REQUESTS = 20  # responses to older requests are of no use


class MessageReader:
    """Decodes messages of peers, and logs malformed ones at a bounded rate."""

    def __init__(self) -> None:
        self.log_limiter = LogRateLimiter()

    def read(self, body: bytes) -> Message | None:
        """The message, or None if it is malformed."""
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            if self.log_limiter.allow(now_us()):
                log.info("malformed message from a peer: %s", error)
            return None


class SentRequest(NamedTuple):
    """A deferral request without a response so far."""

    sent_at: int
    # All cancellations up to then were known; None if the request needs none.
    cancellations_as_of: int | None


class ConfirmedSpan(NamedTuple):
    """A period for which a peer has reported every cancellation that it confirmed."""

    since: int
    until: int


class PeerState:
    """Pending requests to a peer, and what it has responded."""

    def __init__(self) -> None:
        self.requests: dict[int, SentRequest] = {}  # by sequence number
        self.deferred_until = 0
        # A deferral that was granted to an earlier incarnation of this controller is void.
        self.deferred_incarnation = ""
        self.answered_at = 0  # time of the last response
        self.partitioned = False  # whether the peer had lost the key-value store then
        self.confirmed_span: ConfirmedSpan | None = None

    def note_request(self, sequence: int, request: SentRequest) -> None:
        """Keep a request until its response arrives, or too many newer ones are pending."""
        self.requests[sequence] = request
        while len(self.requests) > MAX_PENDING_REQUESTS:
            del self.requests[next(iter(self.requests))]

    def note_response(self, partitioned: bool) -> None:
        """Record a response, and whether the peer has lost the key-value store."""
        self.answered_at, self.partitioned = now_us(), partitioned

    def note_confirmed(self, span: ConfirmedSpan) -> None:
        """Record that the peer has reported all cancellations of a period."""
        self.confirmed_span = span

    def note_deferral(self, sent_at: int, deferral: FailoverDeferral) -> None:
        """Record a granted deferral. It counts from when it was requested, on our own clock."""
        if self.deferred_incarnation != deferral.incarnation:
            self.deferred_incarnation, self.deferred_until = deferral.incarnation, 0
        until = session_validity_end(sent_at, deferral.span_us)
        self.deferred_until = max(self.deferred_until, until)


class PeerLink:
    """The outgoing connection to one peer."""

    def __init__(
        self,
        peer: Peer,
        reader: MessageReader,
        on_response: Callable[["PeerLink", FailoverDeferral], None],
    ) -> None:
        self.peer = peer
        self.reader = reader
        self.on_response = on_response
        self.state = PeerState()
        self.protocol: FrameProtocol | None = None
        self.connecting = False

    @property
    def connected(self) -> bool:
        """Whether there is a connection, as far as known."""
        return self.protocol is not None

    def send(self, message: Message) -> None:
        """Send a message if there is a connection; close it if the other end does not read."""
        if self.protocol is not None and not self.protocol.send(encode(message)):
            self.protocol.close()

    async def connect(self) -> None:
        """Connect unless there is a connection. After a failure `connected` remains False."""
        if self.connecting or self.protocol is not None:
            return
        self.connecting = True
        host, port = self.peer.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.protocol = await loop.create_connection(
                    lambda: FrameProtocol(self._on_frame, self._on_connection_lost), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            log.debug("connecting to peer %s failed: %s", self.peer.member, error or "no answer")
        finally:
            self.connecting = False

    def _on_connection_lost(self, protocol: FrameProtocol) -> None:
        if self.protocol is protocol:
            self.protocol = None

    def _on_frame(self, _protocol: FrameProtocol, body: bytes) -> None:
        message = self.reader.read(body)
        if isinstance(message, FailoverDeferral) and message.name == self.peer.member:
            self.on_response(self, message)
