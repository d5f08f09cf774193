"""Wires a controller up: servers, clients, membership, and the parts it owns at the moment."""

import asyncio
import signal
from collections.abc import Coroutine
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from basaltlead.api.users import UserApi, refusal
from basaltlead.clients.base import encode
from basaltlead.clients.cloud import Cloud
from basaltlead.cluster.election import Leading
from basaltlead.cluster.membership import Membership
from basaltlead.cluster.peers import Peers
from basaltlead.config.settings import Settings
from basaltlead.core.cancellations import Cancellations
from basaltlead.core.cluster_view import Grant, block_key
from basaltlead.core.fleet_sizing import OfferBook
from basaltlead.core.market import Market, Promises, Terms
from basaltlead.core.model import US, Kind
from basaltlead.duties.model import DUTY_KEYS
from basaltlead.duties.registry import HeldDuties
from basaltlead.duties.reports import DutyReports
from basaltlead.net.http import Request, Response, Server
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.scaling.autoscaler import Autoscaler
from basaltlead.scaling.machine_type_catalog import MachineTypes
from basaltlead.shard.assignment import Leasing
from basaltlead.shard.dispatcher import LEAST_SOCKETS
from basaltlead.shard.leader import Owner, limits_of
from basaltlead.storage.client import State
from basaltlead.storage.records import HIRE, LEASE, MACHINE, OPEN
from basaltlead.wire.workers import Elsewhere, Report

if TYPE_CHECKING:
    from basaltlead.scaling.quiet_times import QuietTimes

BID_BYTES = 40  # what a bid takes of a stored record at most
RECORD_BYTES = 64  # and the rest of the record
# For our own calls to state service, cloud and peers, the least that go to workers, and what the
# process itself has open.
RESERVED_SOCKETS = 80 + LEAST_SOCKETS

report_decoder = msgspec.json.Decoder(Report)


class Node:
    """One controller process."""

    owner_class = Owner

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        facts = settings.facts
        spread = min(facts.nodes, settings.operator.blocks)  # nodes that own something
        limits = settings.store_limits
        self.state = State(settings.services.state, limits, facts.nodes, spread)
        self.cloud = Cloud(settings.services.cloud, facts.cloud.rps / spread)
        self.member = Membership(
            settings.member, [peer.member for peer in settings.known], self.state,
            settings.session_lease_us, settings.operator.blocks,
            DUTY_KEYS if settings.operator.duties else (),
        )  # fmt: skip
        self.member.changed = self._changed
        self.leading = Leading(self.member)
        self.cancellations = Cancellations(now_us())
        self.peers = Peers(
            self.member, settings.internal_addr, settings.known, self.cancellations,
            DutyReports(self.state, self.member).answer,
        )  # fmt: skip
        self.peers.cancellations_read_at = self._cancellations_read_at
        self.peers.over = self._over
        self.peers.covered = self._covered
        blocks = settings.operator.blocks
        self.leasing = Leasing(self.member, self.state, limits_of(settings), blocks)
        self.user_api = UserApi(
            self.state, self.member, limits_of(settings), limits, blocks, self.cancellations,
        )  # fmt: skip
        self.user_api.cancelled = self._cancelled
        self.kinds: dict[str, Kind] = self.user_api.kinds
        self.owners: dict[int, Owner] = {}
        self.duties = HeldDuties(settings, self.member, self.state, self.cloud, spread)
        self.types = MachineTypes(
            self.cloud, self.state, self.member, self.kinds, lambda: bool(self.owners)
        )
        self.offer_book = OfferBook()
        self.quiet_times = quiet_times_of(settings)
        self.duties.quiet_times = self.quiet_times
        self.log_limiter = LogRateLimiter()
        self.server: Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        limit = max(50, self.settings.facts.quota.fd_limit - RESERVED_SOCKETS)
        server = self.server = Server(self.handle, limit, self._direct_sockets, self._let_go)
        await server.start(self.settings.front)
        await self.peers.serve()
        log.info("%s listens on %s", self.settings.member, self.settings.front)
        for name, work in (
            ("keep", self.member.keep), ("watch", self.member.watch),
            ("lead", self.leading.run), ("types", self.types.follow), ("mind", self._mind),
            ("ask", self.peers.ask),
        ):  # fmt: skip
            self._spawn(work, name)
        if self.settings.operator.blocks > 1:
            self._spawn(self.leasing.lease, "lease")
            for prefix in (OPEN, LEASE, MACHINE, HIRE):
                self._spawn(partial(self.leasing.follow, prefix), f"follow {prefix}")
        await asyncio.Event().wait()

    def every_task(self) -> list[asyncio.Task[None]]:
        """All that runs in this process: a crash ends it without a word."""
        background = [owner.background for owner in self.owners.values()]
        background += [holder.background for holder in self.duties.holders.values()]
        return [*self.tasks, *(task for one in background for task in one.running)]

    def _spawn(self, work: Any, name: str) -> None:
        """A loop that is started again, and logged, should it ever fail."""
        task = asyncio.get_running_loop().create_task(self._forever(work, name), name=name)
        self.tasks.add(task)

    async def _forever(self, work: Any, name: str) -> None:
        while True:
            try:
                loop: Coroutine[Any, Any, None] = work()
                await loop
            except Exception:
                log.exception("loop %s failed", name)
            await asyncio.sleep(0.5)

    # What we own

    def _changed(self) -> None:
        """The cluster has changed: take up blocks that are ours, let go those that are not."""
        self.duties.changed()
        for number in range(self.settings.operator.blocks):
            held = self.member.owned(block_key(number)) if self.member.version else None
            owner = self.owners.get(number)
            if owner is not None and (held is None or held[1] != owner.version):
                log.info("block %d let go", number)
                owner.stop()
                owner = self.owners.pop(number) and None
            if owner is None and held is not None:
                self._take_up(number, held[0], held[1])

    def _take_up(self, number: int, grant: Grant, version: int) -> None:
        op = self.settings.operator
        facts = self.settings.facts
        terms = Terms(
            int(op.round_s * US), int(op.refill_s * US), op.budget / op.blocks,
            op.reserve_price, op.threshold, most_bids(self.settings.store_limits.value_bytes),
        )  # fmt: skip
        market = Market(terms, [t.name for t in facts.teams], Promises.of(facts.objectives))
        owner = self.owner_class(
            self.settings, self.member, self.state, number, grant, version, market, self.kinds
        )
        owner.foreign = lambda name: self.leasing.block_of(name) not in (None, number)
        owner.sockets_left = self._sockets_left
        owner.quiet_times = self.quiet_times
        owner.is_over = self.cancellations.__contains__
        autoscaler = Autoscaler(self.settings, self.cloud, owner, market, self.offer_book)
        owner.on_loaded = autoscaler.start
        self.owners[number] = owner
        owner.start()

    # Sockets: those who come to us and direct orders share one limit

    def _direct_sockets(self) -> int:
        return sum(len(owner.dispatcher.workers.pools) for owner in self.owners.values())

    def _let_go(self) -> bool:
        return any(owner.dispatcher.workers.let_go() for owner in self.owners.values())

    def _sockets_left(self) -> int:
        """How many may go to the workers of one owner now."""
        if self.server is None:
            return LEAST_SOCKETS
        left = self.server.limit - len(self.server.connections)
        return max(LEAST_SOCKETS, left // max(1, len(self.owners)))

    def _cancelled(self, ref: str) -> None:
        """Our own front desk is about to tell a user so."""
        self._over(ref)
        self.peers.tell(ref)

    def _over(self, ref: str) -> None:
        for owner in self.owners.values():
            owner.close(ref)

    def _cancellations_read_at(self) -> int | None:
        looks = [owner.cancellations_read_at for owner in self.owners.values()]
        return min((look for look in looks if look is not None), default=None)

    def _covered(self, since: int, until: int) -> None:
        for owner in self.owners.values():
            owner.covered(since, until)

    async def _mind(self) -> None:
        """Notice when others would serve our machines better than we do, or have nothing to do."""
        while True:
            await asyncio.sleep(0.3)
            for number, owner in list(self.owners.items()):
                if not owner.resigned and self._unreachable(owner):
                    log.info("block %d: no report for too long, stepping down", number)
                    owner.resigned = True
                if owner.resigned:
                    await self._hand_back(number, owner, leader_too=True)
            await self.duties.hand_back()
            surplus = self.member.cluster.surplus(self.member.name)
            if surplus is not None:
                await self._give_away(surplus)

    async def _give_away(self, key: str) -> None:
        """Hand back what a member without any of its kind should have."""
        if await self.duties.give_away(key):
            return
        for number, owner in list(self.owners.items()):
            if block_key(number) == key and owner.acts:
                owner.resigned = True
                await self._hand_back(number, owner, leader_too=False)

    async def _hand_back(self, number: int, owner: Owner, leader_too: bool) -> None:
        if await self.member.step_down(block_key(number), leader_too):
            owner.stop()
            if self.owners.get(number) is owner:  # else it was granted to us anew meanwhile
                del self.owners[number]

    def _unreachable(self, owner: Owner) -> bool:
        """All machines silent at once while other members live: more likely our own links."""
        if not owner.loaded or len(self.member.cluster.members) < 2 or not owner.acts:
            return False
        now = now_us()
        report_us = owner.block.timing.report_us
        patience = max(3 * US, int(report_us * 2.5))
        machines = owner.block.machines.values()
        if owner.dispatcher.heard_at:
            known = sum(1 for m in machines if m.synced and not m.lost and not m.deleting)
            return known > 1 and now - owner.dispatcher.heard_at > patience
        return len(owner.block.unsynced) > 1 and now - owner.block.took_at > 9 * US + report_us

    # Requests

    def handle(self, request: Request) -> "Response | Coroutine[Any, Any, Response]":
        path = request.path
        if path == "/agent/beat":
            if request.method != "POST":
                return refusal(405, "use POST")
            return self.beat(request.body)
        if path == "/healthz":
            if request.method != "GET":
                return refusal(405, "use GET")
            # While the state service is away for all, a controller that calls itself unhealthy
            # helps nobody, and the load balancer would be slow to trust it again.
            healthy = self.member.acts or self.peers.nobody_better()
            if healthy and self.kinds:
                return Response(200, b"{}")
            return refusal(503, "not ready")
        if path == "/api/jobs" or path.startswith("/api/jobs/"):
            return self.user_api.handle(request)
        return refusal(404, "no such path")

    def beat(self, body: bytes) -> Response:
        try:
            report = report_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
            if self.log_limiter.ok(now_us()):
                log.info("malformed report: %s", fault)
            return refusal(400, "malformed report")
        number = self.leasing.block_of(report.machine) or 0
        owner = self.owners.get(number)
        if owner is not None:
            answer = owner.beat(report)
            if answer is not None:
                return answer
        elsewhere = self.member.owner(number)
        if elsewhere is None or elsewhere == self.member.name:
            return refusal(503, "no owner known")
        return Response(421, encode(Elsewhere(elsewhere)))


def quiet_times_of(settings: Settings) -> "QuietTimes | None":
    """The operators' calendar, if there is one: only then its libraries are needed."""
    if settings.operator.quiet is None:
        return None
    from basaltlead.scaling.quiet_times import QuietTimes

    return QuietTimes(settings.operator.quiet.calendar)


def most_bids(value_bytes: int) -> int:
    """How many bids fit into a team's stored record."""
    return max(1, (value_bytes - RECORD_BYTES) // BID_BYTES)


def serve(settings: Settings) -> int:
    """Run until killed."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    try:
        asyncio.run(Node(settings).run())
    except KeyboardInterrupt:
        return 130
    except OSError as fault:
        log.error("can't listen on %s: %s", settings.front, fault)
        return 1
    return 0
