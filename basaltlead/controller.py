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
from basaltlead.cluster.election import LeaderElection
from basaltlead.cluster.membership import Membership
from basaltlead.cluster.peers import Peers
from basaltlead.config.settings import Settings
from basaltlead.core.cancellations import Cancellations
from basaltlead.core.cluster_view import Grant, shard_key
from basaltlead.core.entities import US, MachineType
from basaltlead.core.market import Market, Terms
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.core.offers import OfferBook
from basaltlead.duties.model import DUTY_KEYS
from basaltlead.duties.registry import HeldDuties
from basaltlead.duties.reports import DutyReports
from basaltlead.net.http import Request, Response, Server
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.scaling.autoscaler import Autoscaler
from basaltlead.scaling.machine_type_catalog import MachineTypeCatalog
from basaltlead.shard.assignment import ShardAssigner
from basaltlead.shard.dispatcher import LEAST_SOCKETS
from basaltlead.shard.leader import ShardLeader, team_quotas
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import ASSIGNMENT, MACHINE, OPEN, SCALE_OUT
from basaltlead.wire.workers import Heartbeat, Redirect

if TYPE_CHECKING:
    from basaltlead.scaling.quiet_times import QuietTimes

BID_BYTES = 40  # what a bid takes of a stored record at most
RECORD_BYTES = 64  # and the rest of the record
# For our own calls to key-value store, cloud and peers, the least that go to workers, and what the
# process itself has open.
RESERVED_SOCKETS = 80 + LEAST_SOCKETS

heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


class Controller:
    """One controller process."""

    shard_leader_class = ShardLeader

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        facts = settings.facts
        spread = min(facts.nodes, settings.operator.shards)  # nodes that own something
        limits = settings.store_limits
        self.store = KeyValueStore(settings.services.state, limits, facts.nodes, spread)
        self.cloud = Cloud(settings.services.cloud, facts.cloud.rps / spread)
        self.membership = Membership(
            settings.member,
            [peer.member for peer in settings.known],
            self.store,
            settings.session_lease_us,
            settings.operator.shards,
            DUTY_KEYS if settings.operator.duties else (),
        )
        self.membership.changed = self._changed
        self.election = LeaderElection(self.membership)
        self.cancellations = Cancellations(now_us())
        self.peers = Peers(
            self.membership,
            settings.internal_addr,
            settings.known,
            self.cancellations,
            DutyReports(self.store, self.membership).answer,
        )
        self.peers.cancellations_as_of = self._cancellations_as_of
        self.peers.over = self._over
        self.peers.confirm_cancellations = self._confirm_cancellations
        shards = settings.operator.shards
        self.shard_assigner = ShardAssigner(
            self.membership, self.store, team_quotas(settings), shards
        )
        self.user_api = UserApi(
            self.store,
            self.membership,
            team_quotas(settings),
            limits,
            shards,
            self.cancellations,
        )
        self.user_api.cancelled = self._cancelled
        self.machine_types: dict[str, MachineType] = self.user_api.machine_types
        self.shard_leaders: dict[int, ShardLeader] = {}
        self.duties = HeldDuties(settings, self.membership, self.store, self.cloud, spread)
        self.types = MachineTypeCatalog(
            self.cloud,
            self.store,
            self.membership,
            self.machine_types,
            lambda: bool(self.shard_leaders),
        )
        self.offer_book = OfferBook()
        self.quiet_times = quiet_times_of(settings)
        self.duties.quiet_times = self.quiet_times
        self.log_limiter = LogRateLimiter()
        self.server: Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        limit = max(50, self.settings.facts.quota.fd_limit - RESERVED_SOCKETS)
        server = self.server = Server(
            self.handle, limit, self._direct_sockets, self._close_idle_connection
        )
        await server.start(self.settings.front)
        await self.peers.serve()
        log.info("%s listens on %s", self.settings.member, self.settings.front)
        for name, loop in (
            ("keep", self.membership.keep),
            ("watch", self.membership.watch),
            ("lead", self.election.run),
            ("types", self.types.follow),
            ("supervise", self._supervise),
            ("ask", self.peers.request_deferrals),
        ):
            self._spawn(loop, name)
        if self.settings.operator.shards > 1:
            self._spawn(self.shard_assigner.assign_jobs, "assign jobs")
            for prefix in (OPEN, ASSIGNMENT, MACHINE, SCALE_OUT):
                self._spawn(partial(self.shard_assigner.follow, prefix), f"follow {prefix}")
        await asyncio.Event().wait()

    def every_task(self) -> list[asyncio.Task[None]]:
        """All that runs in this process: a crash ends it without a word."""
        background = [shard_leader.background for shard_leader in self.shard_leaders.values()]
        background += [holder.background for holder in self.duties.holders.values()]
        return [*self.tasks, *(task for one in background for task in one.running)]

    def _spawn(self, loop: Any, name: str) -> None:
        """A loop that is started again, and logged, should it ever fail."""
        task = asyncio.get_running_loop().create_task(self._forever(loop, name), name=name)
        self.tasks.add(task)

    async def _forever(self, loop: Any, name: str) -> None:
        while True:
            try:
                await loop()
            except Exception:
                log.exception("loop %s failed", name)
            await asyncio.sleep(0.5)

    # What we own

    def _changed(self) -> None:
        """The cluster has changed: take up shards that are ours, let go those that are not."""
        self.duties.changed()
        for number in range(self.settings.operator.shards):
            held = (
                self.membership.held_grant(shard_key(number)) if self.membership.version else None
            )
            shard_leader = self.shard_leaders.get(number)
            if shard_leader is not None and (held is None or held.version != shard_leader.version):
                log.info("block %d let go", number)
                shard_leader.stop()
                shard_leader = self.shard_leaders.pop(number) and None
            if shard_leader is None and held is not None:
                self._acquire_shard(number, held.value, held.version)

    def _acquire_shard(self, number: int, grant: Grant, version: int) -> None:
        op = self.settings.operator
        facts = self.settings.facts
        terms = Terms(
            int(op.round_s * US),
            int(op.refill_s * US),
            op.budget / op.shards,
            op.reserve_price,
            op.threshold,
            most_bids(self.settings.store_limits.value_bytes),
        )
        market = Market(
            terms, [t.name for t in facts.teams], ServiceLevelObjectives.of(facts.objectives)
        )
        shard_leader = self.shard_leader_class(
            self.settings,
            self.membership,
            self.store,
            number,
            grant,
            version,
            market,
            self.machine_types,
        )
        shard_leader.belongs_to_other_shard = lambda name: (
            self.shard_assigner.shard_of(name) not in (None, number)
        )
        shard_leader.sockets_left = self._sockets_left
        shard_leader.quiet_times = self.quiet_times
        shard_leader.is_cancelled = self.cancellations.__contains__
        autoscaler = Autoscaler(self.settings, self.cloud, shard_leader, market, self.offer_book)
        shard_leader.on_loaded = autoscaler.start
        self.shard_leaders[number] = shard_leader
        shard_leader.start()

    # Sockets: those who come to us and direct orders share one limit

    def _direct_sockets(self) -> int:
        return sum(
            len(shard_leader.dispatcher.workers.pools)
            for shard_leader in self.shard_leaders.values()
        )

    def _close_idle_connection(self) -> bool:
        return any(
            shard_leader.dispatcher.workers.close_idle()
            for shard_leader in self.shard_leaders.values()
        )

    def _sockets_left(self) -> int:
        """How many may go to the workers of one shard leader now."""
        if self.server is None:
            return LEAST_SOCKETS
        left = self.server.limit - len(self.server.connections)
        return max(LEAST_SOCKETS, left // max(1, len(self.shard_leaders)))

    def _cancelled(self, ref: str) -> None:
        """Our own front desk is about to tell a user so."""
        self._over(ref)
        self.peers.announce_cancellation(ref)

    def _over(self, ref: str) -> None:
        for shard_leader in self.shard_leaders.values():
            shard_leader.close(ref)

    def _cancellations_as_of(self) -> int | None:
        looks = [shard_leader.cancellations_as_of for shard_leader in self.shard_leaders.values()]
        return min((look for look in looks if look is not None), default=None)

    def _confirm_cancellations(self, since: int, until: int) -> None:
        for shard_leader in self.shard_leaders.values():
            shard_leader.confirm_cancellations(since, until)

    async def _supervise(self) -> None:
        """Notice when others would serve our machines better than we do, or have nothing to do."""
        while True:
            await asyncio.sleep(0.3)
            for number, shard_leader in list(self.shard_leaders.items()):
                if not shard_leader.stepped_down and self._unreachable(shard_leader):
                    log.info("block %d: no report for too long, stepping down", number)
                    shard_leader.stepped_down = True
                if shard_leader.stepped_down:
                    await self._release(number, shard_leader, leader_too=True)
            await self.duties.release_stepped_down()
            grant_to_hand_over = self.membership.cluster.grant_to_hand_over(self.membership.name)
            if grant_to_hand_over is not None:
                await self._hand_over(grant_to_hand_over)

    async def _hand_over(self, key: str) -> None:
        """Hand back what a member without any of its kind should have."""
        if await self.duties.hand_over(key):
            return
        for number, shard_leader in list(self.shard_leaders.items()):
            if shard_key(number) == key and shard_leader.holds_valid_lease:
                shard_leader.stepped_down = True
                await self._release(number, shard_leader, leader_too=False)

    async def _release(self, number: int, shard_leader: ShardLeader, leader_too: bool) -> None:
        if await self.membership.release(shard_key(number), leader_too):
            shard_leader.stop()
            if (
                self.shard_leaders.get(number) is shard_leader
            ):  # else it was granted to us anew meanwhile
                del self.shard_leaders[number]

    def _unreachable(self, shard_leader: ShardLeader) -> bool:
        """All machines silent at once while other members live: more likely our own links."""
        if (
            not shard_leader.loaded
            or len(self.membership.cluster.members) < 2
            or not shard_leader.holds_valid_lease
        ):
            return False
        now = now_us()
        heartbeat_interval_us = shard_leader.shard.timing.heartbeat_interval_us
        patience = max(3 * US, int(heartbeat_interval_us * 2.5))
        machines = shard_leader.shard.machines.values()
        if shard_leader.dispatcher.heard_at:
            known = sum(1 for m in machines if m.synced and not m.lost and not m.terminating)
            return known > 1 and now - shard_leader.dispatcher.heard_at > patience
        return (
            len(shard_leader.shard.unsynced) > 1
            and now - shard_leader.shard.took_at > 9 * US + heartbeat_interval_us
        )

    # Requests

    def handle(self, request: Request) -> "Response | Coroutine[Any, Any, Response]":
        path = request.path
        if path == "/agent/beat":
            if request.method != "POST":
                return refusal(405, "use POST")
            return self.heartbeat(request.body)
        if path == "/healthz":
            if request.method != "GET":
                return refusal(405, "use GET")
            # While the key-value store is away for all, a controller that calls itself unhealthy
            # helps nobody, and the load balancer would be slow to trust it again.
            healthy = self.membership.holds_valid_lease or self.peers.all_peers_partitioned()
            if healthy and self.machine_types:
                return Response(200, b"{}")
            return refusal(503, "not ready")
        if path == "/api/jobs" or path.startswith("/api/jobs/"):
            return self.user_api.handle(request)
        return refusal(404, "no such path")

    def heartbeat(self, body: bytes) -> Response:
        try:
            heartbeat = heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
            if self.log_limiter.ok(now_us()):
                log.info("malformed report: %s", fault)
            return refusal(400, "malformed report")
        number = self.shard_assigner.shard_of(heartbeat.machine) or 0
        shard_leader = self.shard_leaders.get(number)
        if shard_leader is not None:
            answer = shard_leader.heartbeat(heartbeat)
            if answer is not None:
                return answer
        elsewhere = self.membership.shard_leader(number)
        if elsewhere is None or elsewhere == self.membership.name:
            return refusal(503, "no owner known")
        return Response(421, encode(Redirect(elsewhere)))


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
        asyncio.run(Controller(settings).run())
    except KeyboardInterrupt:
        return 130
    except OSError as fault:
        log.error("can't listen on %s: %s", settings.front, fault)
        return 1
    return 0
