"""The server for messages from other controllers and operators."""

import asyncio
from collections.abc import Awaitable, Callable

from basaltlead.clients.codec import encode
from basaltlead.cluster.cancellation_exchange import CancellationExchange
from basaltlead.cluster.membership import Membership
from basaltlead.cluster.peer_link import MessageReader
from basaltlead.config.settings import Settings
from basaltlead.net.http.server import listen
from basaltlead.net.netstring import FrameProtocol
from basaltlead.wire.peers import (
    CancellationNotice,
    DeferralRequest,
    DutiesRequest,
    FailoverDeferral,
    HistoryRequest,
    OperatorRequest,
    OperatorResponse,
)

MAX_CONNECTIONS = 16
MAX_CONCURRENT_OPERATOR_REQUESTS = 4  # further ones get no response


class PeerServer:
    """Responds to deferral requests and operators' requests, and adds announced cancellations."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        reader: MessageReader,
        exchange: CancellationExchange,
        respond_to_operator: Callable[[OperatorRequest], Awaitable[OperatorResponse]],
    ) -> None:
        self.address = settings.internal_addr
        self.peer_names = {peer.member for peer in settings.known}
        self.membership = membership
        self.reader = reader
        self.exchange = exchange
        self.respond_to_operator = respond_to_operator
        self.connections: set[FrameProtocol] = set()
        self.response_tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Start listening. Raises OSError if the address can't be used."""
        await listen(self._accept, self.address)

    def _accept(self) -> FrameProtocol:
        protocol = FrameProtocol(self._on_frame, self.connections.discard)
        self.connections.add(protocol)
        if len(self.connections) > MAX_CONNECTIONS:
            self.connections.pop().close()
        return protocol

    def _on_frame(self, protocol: FrameProtocol, body: bytes) -> None:
        match self.reader.read(body):
            case DeferralRequest() as request if request.name in self.peer_names:
                protocol.send(encode(self._deferral(request)))
            case CancellationNotice(refs):
                self.exchange.add_reported(refs)
            case (DutiesRequest() | HistoryRequest()) as request:
                self._start_response(protocol, request)

    def _deferral(self, request: DeferralRequest) -> FailoverDeferral:
        span_us = self.membership.deferrals.defer_failover(
            request.name, request.incarnation, request.span_us
        )
        return FailoverDeferral(
            request.sequence,
            self.membership.name,
            request.incarnation,
            span_us,
            partitioned=self.membership.session.partitioned,
            cancelled=self.exchange.confirmed_since(request.unconfirmed_us),
        )

    def _start_response(self, protocol: FrameProtocol, request: OperatorRequest) -> None:
        if len(self.response_tasks) < MAX_CONCURRENT_OPERATOR_REQUESTS:
            task = asyncio.get_running_loop().create_task(self._respond(protocol, request))
            self.response_tasks.add(task)
            task.add_done_callback(self.response_tasks.discard)

    async def _respond(self, protocol: FrameProtocol, request: OperatorRequest) -> None:
        protocol.send(encode(await self.respond_to_operator(request)))
