"""Talk among the controllers: promises that carry a shard leader over an outage of the key-value
store.

A shard leader that can't renew its session lease asks every other controller not to put anybody in
its place for a short span. Only one that has lost the key-value store too promises, so a shard
leader that alone is cut off is replaced as usual. The span counts from when the shard leader asked,
on its own clock, and only prolongs a validity that has not ended yet: once it has, another may own
the shard. A controller that has just started, and may have forgotten a promise, waits out the
longest possible one before it replaces a shard leader whose lease ran out (see Membership).

A shard leader must know the cancellations that users were told of. While it can't look at the state
service, each answer brings all that the peer has confirmed to anybody since the shard leader's last
look. The word of *every* other controller, none of which was silent or has restarted since, is as
good as a look at the time the question was sent: what one of them confirms later, it confirms after
that time, and what nobody has confirmed binds nobody.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from basaltlead.clients.codec import encode
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Peer
from basaltlead.core.cancellations import Cancellations
from basaltlead.net.http import listen
from basaltlead.net.netstring import FrameProtocol
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.wire.peers import (
    Answer,
    CancellationNotice,
    DeferralRequest,
    FailoverDeferral,
    Message,
    Question,
)

decoder = msgspec.json.Decoder(Message)
MAX_LINKS = 16
MOST_ANSWERS = 4  # questions of operators that are being answered
# A question and its answer may be under way for this long together: the peer counts back from
# when it reads the question, so it must look further back by that.
PROMPT_US = 2_000_000


class Link:
    """Our outgoing connection to one peer."""

    def __init__(self, hub: "Peers", peer: Peer) -> None:
        self.hub = hub
        self.peer = peer
        self.protocol: FrameProtocol | None = None
        # When each question was sent, and from when on it asked for cancellations.
        self.asked: dict[int, tuple[int, int | None]] = {}
        self.deferred_until = 0
        self.deferred_incarnation = (
            ""  # a promise to an earlier incarnation of ours is worth nothing
        )
        self.heard_at = 0  # the last answer, and what it said of the key-value store
        self.partitioned = False
        # From when until when the peer has told us every cancellation that it confirmed.
        self.confirmed_span: tuple[int, int] | None = None
        self.connecting = False

    async def ask(self, span_us: int) -> None:
        await self.connect()
        if self.protocol is None:
            return
        self.hub.seq += 1
        membership = self.hub.membership
        now, cancellations_as_of = now_us(), self.hub.cancellations_as_of()
        self.asked[self.hub.seq] = (now, cancellations_as_of)
        while len(self.asked) > 20:
            del self.asked[next(iter(self.asked))]
        unconfirmed_us = None if cancellations_as_of is None else max(0, now - cancellations_as_of)
        self.send(
            DeferralRequest(
                self.hub.seq, membership.name, membership.incarnation, span_us, unconfirmed_us
            )
        )

    def send(self, message: Message) -> None:
        if self.protocol is not None and not self.protocol.send(encode(message)):
            self.protocol.close()

    async def connect(self) -> None:
        if self.connecting or self.protocol is not None:
            return
        self.connecting = True
        host, port = self.peer.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                _, self.protocol = await loop.create_connection(
                    lambda: FrameProtocol(self._received, self._lost), host, int(port)
                )
        except (OSError, TimeoutError) as fault:
            log.debug("peer %s: %s", self.peer.member, fault or "no answer")
        finally:
            self.connecting = False

    def _lost(self, protocol: FrameProtocol) -> None:
        if self.protocol is protocol:
            self.protocol = None

    def _received(self, protocol: FrameProtocol, body: bytes) -> None:
        message = self.hub.read(body)
        if not isinstance(message, FailoverDeferral) or message.name != self.peer.member:
            return
        self.heard_at, self.partitioned = now_us(), message.partitioned
        if (
            message.incarnation != self.hub.membership.incarnation
            or not self.hub.membership.version
        ):
            return
        sent, cancellations_as_of = self.asked.pop(message.seq, (None, None))
        if message.cancelled is not None and sent is not None and cancellations_as_of is not None:
            self.hub.cancelled(message.cancelled)
            if now_us() - sent <= PROMPT_US:
                self.confirmed_span = (cancellations_as_of, sent)
                self.hub.merge_confirmations()
        if now_us() >= self.hub.membership.session_valid_until:
            return  # deferrals prolong a lease; they can't bring back one that somebody may have
        if sent is not None and message.span_us > 0:
            until = sent + message.span_us - message.span_us // 500 - 20_000
            if self.deferred_incarnation != message.incarnation:
                self.deferred_incarnation, self.deferred_until = message.incarnation, 0
            self.deferred_until = max(self.deferred_until, until)
            self.hub.extend_lease()


class Peers:
    """The links to and from all other controllers."""

    def __init__(
        self,
        membership: Membership,
        address: str,
        known: list[Peer],
        cancellations: Cancellations,
        answer: Callable[[Question], Awaitable[Answer]],
    ) -> None:
        self.membership = membership
        self.cancellations = cancellations
        self.answer = answer
        self.address = address
        self.links = [Link(self, peer) for peer in known]
        self.names = {peer.member for peer in known}
        self.seq = 0
        self.open: set[FrameProtocol] = set()
        self.log_limiter = LogRateLimiter()
        # Since when our shard leaders can't have seen all cancellations; None without a shard
        # leader.
        self.cancellations_as_of: Callable[[], int | None] = lambda: None
        self.over: Callable[[str], None] = lambda ref: None  # a job is cancelled
        self.answering: set[asyncio.Task[None]] = set()  # questions of operators
        self.confirm_cancellations: Callable[[int, int], None] = lambda since, until: None

    def read(self, body: bytes) -> Message | None:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
            if self.log_limiter.ok(now_us()):
                log.info("malformed message of a peer: %s", fault)
            return None

    async def serve(self) -> None:
        await listen(self._accept, self.address)

    def _accept(self) -> FrameProtocol:
        protocol = FrameProtocol(self._received, self.open.discard)
        self.open.add(protocol)
        if len(self.open) > MAX_LINKS:
            self.open.pop().close()
        return protocol

    def _received(self, protocol: FrameProtocol, body: bytes) -> None:
        message = self.read(body)
        if isinstance(message, DeferralRequest) and message.name in self.names:
            span = self.membership.defer_failover(
                message.name, message.incarnation, message.span_us
            )
            answer = FailoverDeferral(
                message.seq,
                self.membership.name,
                message.incarnation,
                span,
                self.membership.partitioned,
                self._confirmed(message.unconfirmed_us),
            )
            protocol.send(encode(answer))
        elif isinstance(message, CancellationNotice):
            self.cancelled(message.refs)
        elif isinstance(message, Question) and len(self.answering) < MOST_ANSWERS:
            task = asyncio.get_running_loop().create_task(self._reply(protocol, message))
            self.answering.add(task)
            task.add_done_callback(self.answering.discard)

    async def _reply(self, protocol: FrameProtocol, question: Question) -> None:
        protocol.send(encode(await self.answer(question)))

    def _confirmed(self, unconfirmed_us: int | None) -> list[str] | None:
        """All cancellations that we have confirmed since the asker's last look, which was so
        long ago by its clock, on whose question, and on ours, drift has its part."""
        if unconfirmed_us is None:
            return None
        return self.cancellations.since(
            now_us() - unconfirmed_us - unconfirmed_us // 500 - PROMPT_US
        )

    def cancelled(self, refs: list[str]) -> None:
        for ref in refs:
            if self.cancellations.add(ref, now_us()):
                self.over(ref)

    def announce_cancellation(self, ref: str) -> None:
        """A user is about to be told that a job is cancelled. A shard leader that does not see the
        key-value store hears it from us, if it can, before it starts another task of the job."""
        for link in self.links:
            link.send(CancellationNotice([ref]))

    def merge_confirmations(self) -> None:
        """What all peers together have covered is as good as a look of our shard leaders' own."""
        covers = [link.confirmed_span for link in self.links if link.confirmed_span is not None]
        if covers and len(covers) == len(self.links):
            self.confirm_cancellations(
                max(low for low, _ in covers), min(high for _, high in covers)
            )

    def all_peers_partitioned(self) -> bool:
        """Do others say that they have lost the key-value store too, and nobody that it has not?"""
        recent = now_us() - self.membership.ttl_us
        heard = [link.partitioned for link in self.links if link.heard_at > recent]
        return bool(heard) and all(heard)

    def extend_lease(self) -> None:
        """Extend our validity to the earliest end among all peers' deferrals: one that has not
        promised may replace us."""
        incarnation = self.membership.incarnation
        if self.links and all(link.deferred_incarnation == incarnation for link in self.links):
            self.membership.deferred_until = min(link.deferred_until for link in self.links)

    async def request_deferrals(self) -> None:
        """While our lease can't be renewed, ask for deferrals: a shard leader so that it may go on,
        the others since a controller is as healthy as any while the key-value store is away for
        all. The load balancer takes its time to trust one again that has called itself
        unhealthy."""
        while True:
            await asyncio.sleep(self.membership.ttl_us / 10e6)
            if not self.membership.partitioned:  # be ready to tell of cancellations
                links = [link.connect() for link in self.links]
                await asyncio.gather(*links, return_exceptions=True)
                continue
            asking = [link.ask(self.membership.ttl_us) for link in self.links]
            await asyncio.gather(*asking, return_exceptions=True)
