"""The controller process: creates and connects its components, and runs their loops."""

import asyncio
import signal
from functools import partial

from basaltlead.api.routing import HeartbeatApi, Router
from basaltlead.api.users import UserApi
from basaltlead.clients.cloud import Cloud
from basaltlead.clients.workers import WorkerClient
from basaltlead.cluster.cancellation_exchange import CancellationExchange
from basaltlead.cluster.election import LeaderElection
from basaltlead.cluster.membership import Membership
from basaltlead.cluster.peers import Peers
from basaltlead.config.settings import Settings
from basaltlead.core.cancellations import Cancellations
from basaltlead.core.cluster_view import Grant, Versioned
from basaltlead.core.jobs import US, MachineType
from basaltlead.core.market import Market, MarketParameters
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.core.offers import OfferAvailability
from basaltlead.core.quiet_times import QuietTimes
from basaltlead.duties.holder import DutyServices
from basaltlead.duties.model import DUTY_KEYS
from basaltlead.duties.registry import HeldDuties
from basaltlead.duties.reports import DutyReports
from basaltlead.net.http.server import Server
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.runtime.tasks import BackgroundTasks
from basaltlead.scaling.autoscaler import Autoscaler, ScalingEnvironment
from basaltlead.scaling.machine_type_catalog import MachineTypeCatalog
from basaltlead.shard.assignment import ShardAssigner
from basaltlead.shard.context import ShardContext
from basaltlead.shard.dispatcher import MIN_WORKER_SOCKETS, worker_sockets
from basaltlead.shard.leader import ShardLeader, new_shard, team_quotas
from basaltlead.shard.lease import ShardLease
from basaltlead.shard.registry import ShardRegistry
from basaltlead.shard.store import ShardStore
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import ASSIGNMENT, MACHINE, OPEN, SCALE_OUT
from basaltlead.storage.result_rows import ResultLayout

BID_BYTES = 40  # maximum size of a bid in a team's stored record
RECORD_BYTES = 64  # maximum size of the rest of the record
# For calls to the key-value store, the cloud and peers, for the files that the process has open,
# and for the minimum of connections to workers.
RESERVED_SOCKETS = 80 + MIN_WORKER_SOCKETS
MIN_INCOMING_CONNECTIONS = 50
SUPERVISION_INTERVAL_S = 0.3


class Controller:
    """One controller process."""

    shard_leader_class = ShardLeader  # tests replace it by that of an older version

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        facts, shards = settings.facts, settings.operator.shards
        leading_controllers = min(facts.nodes, shards)
        self.store = KeyValueStore(
            settings.services.state, settings.store_limits, facts.nodes, leading_controllers
        )
        self.cloud = Cloud(settings.services.cloud, facts.cloud.rps / leading_controllers)
        duty_keys = DUTY_KEYS if settings.operator.duties else ()
        self.membership = Membership(settings, self.store, duty_keys, self._cluster_changed)
        self.election = LeaderElection(self.membership)
        self.cancellations = Cancellations(now_us())
        self.registry = ShardRegistry(self.membership, shards, self._start_shard_leader)
        self.peers = self._new_peers()
        quotas = team_quotas(settings)
        self.shard_assigner = ShardAssigner(self.membership, self.store, quotas, shards)
        self.machine_types: dict[str, MachineType] = {}
        self.user_api = self._new_user_api()
        heartbeat_api = HeartbeatApi(self.registry, self.shard_assigner, self.membership)
        self.router = Router(self.user_api, heartbeat_api, self._is_healthy)
        quiet_times = quiet_times_of(settings)
        self.scaling = ScalingEnvironment(
            self.cloud, OfferAvailability(), self.shard_assigner.shard_of, quiet_times
        )
        self.duties = HeldDuties(
            DutyServices(settings, self.membership, self.store, self.cloud, quiet_times),
            leading_controllers,
        )
        self.machine_type_catalog = MachineTypeCatalog(
            self.cloud,
            self.store,
            self.membership,
            self.machine_types,
            lambda: bool(self.registry.leaders),
        )
        self.server: Server | None = None
        self.background = BackgroundTasks()

    def _new_peers(self) -> Peers:
        exchange = CancellationExchange(
            self.cancellations,
            self.registry.cancellations_as_of,
            self.registry.close_job,
            self.registry.confirm_cancellations,
        )
        respond_to_operator = DutyReports(self.store, self.membership).respond
        return Peers(self.settings, self.membership, exchange, respond_to_operator)

    def _new_user_api(self) -> UserApi:
        return UserApi(
            self.settings,
            self.store,
            self.membership,
            self.machine_types,
            self.cancellations,
            self._before_cancellation_confirmed,
        )

    @property
    def shard_leaders(self) -> dict[int, ShardLeader]:
        """The leaders of the shards that this controller holds, by shard number."""
        return self.registry.leaders

    async def run(self) -> None:
        """Start listening, and run all loops until the process is killed."""
        max_connections = max(
            MIN_INCOMING_CONNECTIONS, self.settings.facts.quota.fd_limit - RESERVED_SOCKETS
        )
        self.server = Server(
            self.router.handle,
            max_connections,
            self.registry.worker_connections,
            self.registry.close_idle_connection,
        )
        await self.server.start(self.settings.front)
        await self.peers.serve()
        log.info("%s is listening on %s", self.settings.member, self.settings.front)
        spawn = self.background.spawn_restarting
        spawn(self.membership.session.keep, "session lease")
        spawn(self.membership.watch.follow, "cluster watch")
        spawn(self.election.run, "leader election")
        spawn(self.machine_type_catalog.follow, "machine types")
        spawn(self._supervise, "supervision")
        spawn(self.peers.request_deferrals, "failover deferrals")
        if self.settings.operator.shards > 1:
            spawn(self.shard_assigner.assign_jobs, "shard assignment")
            for prefix in (OPEN, ASSIGNMENT, MACHINE, SCALE_OUT):
                spawn(partial(self.shard_assigner.follow, prefix), f"follow {prefix}")
        await asyncio.Event().wait()

    def all_tasks(self) -> list[asyncio.Task[None]]:
        """Return all tasks of this process; tests cancel them to simulate a crash."""
        groups = [self.background]
        groups += [leader.context.tasks for leader in self.registry.leaders.values()]
        groups += [holder.background for holder in self.duties.holders.values()]
        return [task for group in groups for task in group.running]

    # Grants

    def _cluster_changed(self) -> None:
        self.duties.reconcile()
        self.registry.apply_grants()

    async def _supervise(self) -> None:
        """Release grants after a step-down, and hand over grants that another controller should
        hold."""
        while True:
            await asyncio.sleep(SUPERVISION_INTERVAL_S)
            await self.registry.release_stepped_down()
            await self.duties.release_stepped_down()
            key = self.membership.cluster.grant_to_hand_over(self.membership.name)
            if key is not None and not await self.duties.hand_over(key):
                await self.registry.hand_over(key)

    def _start_shard_leader(self, number: int, grant: Versioned[Grant]) -> ShardLeader:
        settings = self.settings
        lease = ShardLease(
            self.membership, number, grant.value, grant.version, settings.staleness_us
        )
        context = ShardContext(
            settings,
            self.membership,
            lease,
            ShardStore(self.store, lease, settings.store_limits),
            new_shard(settings, lease),
            self.result_layout(),
            self.machine_types,
            # A failed loop ends this grant; the next grant starts from the stored state.
            BackgroundTasks(lease.step_down),
            WorkerClient(worker_sockets(settings), self._worker_sockets_left),
        )
        market = new_market(settings)
        leader = self.shard_leader_class(context, market, self.cancellations.__contains__)
        autoscaler = Autoscaler(context, market, leader.open_jobs_watch.arrivals, self.scaling)
        leader.start(on_loaded=autoscaler.start)
        return leader

    def result_layout(self) -> ResultLayout:
        """Return the layout of the rows in which this controller stores results."""
        return ResultLayout(self.settings.store_limits.value_bytes)

    def _worker_sockets_left(self) -> int:
        """Return how many sockets the workers of one shard may use now: the part of the limit that
        incoming connections leave, divided among the shards that are led here."""
        if self.server is None:
            return MIN_WORKER_SOCKETS
        left: int = self.server.limit - len(self.server.connections)
        return max(MIN_WORKER_SOCKETS, left // max(1, len(self.registry.leaders)))

    # Users

    def _before_cancellation_confirmed(self, ref: str) -> None:
        """Handle a cancellation that this controller is about to confirm to a user."""
        self.registry.close_job(ref)
        self.peers.announce_cancellation(ref)

    def _is_healthy(self) -> bool:
        """Return whether this controller can take requests.

        While no controller can reach the key-value store, all stay healthy: another controller
        would serve no better, and the load balancer would be slow to use this one again.
        """
        serves = self.membership.holds_valid_lease or self.peers.all_peers_partitioned()
        return serves and bool(self.machine_types)


def new_market(settings: Settings) -> Market:
    """Create the market of one shard from the operators' settings."""
    operator, facts = settings.operator, settings.facts
    parameters = MarketParameters(
        int(operator.round_s * US),
        int(operator.refill_s * US),
        operator.budget / operator.shards,
        operator.reserve_price,
        operator.threshold,
        max_stored_bids(settings.store_limits.value_bytes),
    )
    teams = [team.name for team in facts.teams]
    return Market(parameters, teams, ServiceLevelObjectives.of(facts.objectives))


def quiet_times_of(settings: Settings) -> QuietTimes | None:
    """Return the operators' calendar, or None; its libraries are imported only if there is one."""
    if settings.operator.quiet is None:
        return None
    from basaltlead.scaling.quiet_calendar import QuietCalendar

    return QuietCalendar(settings.operator.quiet.calendar)


def max_stored_bids(value_bytes: int) -> int:
    """Return how many bids fit into a team's stored record."""
    return max(1, (value_bytes - RECORD_BYTES) // BID_BYTES)


def serve(settings: Settings) -> int:
    """Run a controller until it is killed, and return the exit status."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    try:
        asyncio.run(Controller(settings).run())
    except KeyboardInterrupt:
        return 130
    except OSError as error:
        log.error("failed to listen on %s: %s", settings.front, error)
        return 1
    return 0
