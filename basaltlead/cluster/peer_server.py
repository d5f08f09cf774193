"""Messages that other controllers and operators send to this one."""

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

MOST_CONNECTIONS = 16
MOST_QUESTIONS = 4  # of operators that are being answered at a time; more get no answer


class PeerServer:
    """Answers deferral requests and operators' questions, and takes in announced cancellations."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        reader: MessageReader,
        exchange: CancellationExchange,
        answer: Callable[[OperatorRequest], Awaitable[OperatorResponse]],
    ) -> None:
        self.address = settings.internal_addr
        self.peer_names = {peer.member for peer in settings.known}
        self.membership = membership
        self.reader = reader
        self.exchange = exchange
        self.answer = answer
        self.connections: set[FrameProtocol] = set()
        self.answering: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Start to listen. Raises OSError if the address can't be used."""
        await listen(self._accept, self.address)

    def _accept(self) -> FrameProtocol:
        protocol = FrameProtocol(self._received, self.connections.discard)
        self.connections.add(protocol)
        if len(self.connections) > MOST_CONNECTIONS:
            self.connections.pop().close()
        return protocol

    def _received(self, protocol: FrameProtocol, body: bytes) -> None:
        match self.reader.read(body):
            case DeferralRequest() as request if request.name in self.peer_names:
                protocol.send(encode(self._deferral(request)))
            case CancellationNotice(refs):
                self.exchange.learn(refs)
            case (DutiesRequest() | HistoryRequest()) as question:
                self._start_reply(protocol, question)

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

    def _start_reply(self, protocol: FrameProtocol, question: OperatorRequest) -> None:
        if len(self.answering) < MOST_QUESTIONS:
            task = asyncio.get_running_loop().create_task(self._reply(protocol, question))
            self.answering.add(task)
            task.add_done_callback(self.answering.discard)

    async def _reply(self, protocol: FrameProtocol, question: OperatorRequest) -> None:
        protocol.send(encode(await self.answer(question)))
