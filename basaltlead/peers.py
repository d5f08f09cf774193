"""Talk among the controllers: promises that carry an owner over an outage of the state service.

An owner that can't renew its hold asks every other controller to promise not to put anybody in
its place for a short span. Only one that has lost the state service too promises, so an owner
that alone is cut off is replaced as usual. The span counts from when the owner asked, on its own
clock, and only prolongs a right that has not ended yet: once it has, another may own the block.
A controller that has just started, and may have forgotten a promise, waits out the
longest possible one before it replaces an owner whose hold ran out (see Membership).
"""

import asyncio

import msgspec

from basaltlead.clients.base import encode
from basaltlead.clock import now_us
from basaltlead.logs import Brake, log
from basaltlead.membership import Membership
from basaltlead.net.http import listen
from basaltlead.net.netstring import FrameProtocol
from basaltlead.settings import Peer
from basaltlead.wire.peers import Ask, Message, Promise

decoder = msgspec.json.Decoder(Message)
MAX_LINKS = 16


class Link:
    """Our outgoing connection to one peer."""

    def __init__(self, hub: "Peers", peer: Peer) -> None:
        self.hub = hub
        self.peer = peer
        self.protocol: FrameProtocol | None = None
        self.asked: dict[int, int] = {}  # when each question was sent
        self.promised_until = 0
        self.promised_life = ""  # a promise to an earlier life of ours is worth nothing
        self.heard_at = 0  # the last answer, and what it said of the state service
        self.lonely = False
        self.connecting = False

    async def ask(self, span_us: int) -> None:
        if self.protocol is None:
            await self._connect()
        if self.protocol is None:
            return
        self.hub.seq += 1
        member = self.hub.member
        self.asked[self.hub.seq] = now_us()
        while len(self.asked) > 20:
            del self.asked[next(iter(self.asked))]
        question = Ask(self.hub.seq, member.name, member.life, span_us)
        if not self.protocol.send(encode(question)):
            self.protocol.close()

    async def _connect(self) -> None:
        if self.connecting:
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
        if not isinstance(message, Promise) or message.name != self.peer.member:
            return
        self.heard_at, self.lonely = now_us(), message.lonely
        if message.life != self.hub.member.life or not self.hub.member.stamp:
            return
        sent = self.asked.pop(message.seq, None)
        if now_us() >= self.hub.member.right_until:
            return  # promises prolong a right; they can't bring back one that somebody may have
        if sent is not None and message.span_us > 0:
            until = sent + message.span_us - message.span_us // 500 - 20_000
            if self.promised_life != message.life:
                self.promised_life, self.promised_until = message.life, 0
            self.promised_until = max(self.promised_until, until)
            self.hub.count()


class Peers:
    def __init__(self, member: Membership, address: str, known: list[Peer]) -> None:
        self.member = member
        self.address = address
        self.links = [Link(self, peer) for peer in known]
        self.names = {peer.member for peer in known}
        self.seq = 0
        self.open: set[FrameProtocol] = set()
        self.brake = Brake()

    def read(self, body: bytes) -> Message | None:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
            if self.brake.ok(now_us()):
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
        if isinstance(message, Ask) and message.name in self.names:
            span = self.member.promise(message.name, message.life, message.span_us)
            lonely = self.member.lonely
            answer = Promise(message.seq, self.member.name, message.life, span, lonely)
            protocol.send(encode(answer))

    def nobody_better(self) -> bool:
        """Do others say that they have lost the state service too, and nobody that it has not?"""
        recent = now_us() - self.member.ttl_us
        heard = [link.lonely for link in self.links if link.heard_at > recent]
        return bool(heard) and all(heard)

    def count(self) -> None:
        """Extend our right to the earliest end among all peers' promises: one that has not
        promised may replace us."""
        life = self.member.life
        if self.links and all(link.promised_life == life for link in self.links):
            self.member.vouched_until = min(link.promised_until for link in self.links)

    async def ask(self) -> None:
        """While our hold can't be renewed, ask for promises: an owner so that it may go on, the
        others since a controller is as healthy as any while the state service is away for all.
        The load balancer takes its time to trust one again that has called itself unhealthy."""
        while True:
            await asyncio.sleep(self.member.ttl_us / 10e6)
            if not self.member.lonely:
                continue
            asking = [link.ask(self.member.ttl_us) for link in self.links]
            await asyncio.gather(*asking, return_exceptions=True)
