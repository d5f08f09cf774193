"""The loops that bind waiting tasks to machines and run the market's rounds."""

import asyncio

from basaltlead.clients.codec import encode
from basaltlead.core.jobs import US
from basaltlead.core.market import Market, TeamRecord
from basaltlead.core.planning import plan
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.shard.dispatcher import WorkerDispatcher
from basaltlead.shard.results import attempt_write
from basaltlead.storage.records import TEAM

PLAN_INTERVAL_US = US // 2  # some starts become possible by the passing of time alone
ADVANCE_INTERVAL_US = US // 10  # how soon an expired lease is detected
WAKE_TIMEOUT_S = 0.25
MIN_PAUSE_S = 0.04  # between passes over all machines, which may change many times a second
PAUSE_FACTOR = 3  # pause after a pass, in multiples of its duration, for other work


class PlanningLoop:
    """Binds waiting tasks to machines soon after anything has changed."""

    def __init__(self, context: ShardContext, dispatcher: WorkerDispatcher) -> None:
        self.context = context
        self.dispatcher = dispatcher

    async def run(self) -> None:
        """Plan until the shard is released."""
        shard, lease = self.context.shard, self.context.lease
        planned_at = advanced_at = 0
        while True:
            await wait_for_event(self.context.wake, WAKE_TIMEOUT_S)
            now = now_us()
            if now - advanced_at >= ADVANCE_INTERVAL_US:
                advanced_at = now
                shard.advance(now)
            if lease.holds_valid_lease:
                if shard.plan_needed or now - planned_at > PLAN_INTERVAL_US:
                    planned_at = now
                    plan(shard, now)
                self.dispatcher.push_all(now)
            await asyncio.sleep(max(MIN_PAUSE_S, PAUSE_FACTOR * (now_us() - now) / US))


class MarketRounds:
    """Runs the market's rounds, and stores the teams' budgets and bids after each."""

    def __init__(self, context: ShardContext, market: Market) -> None:
        self.context = context
        self.market = market
        self._storing: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run rounds until the shard is released."""
        while True:
            self.market.run_round(self.context.shard, now_us())
            self._log_round()
            self.context.wake.set()
            if self.context.lease.holds_valid_lease:
                self._store_teams()
            await asyncio.sleep(self.market.parameters.round_us / US)

    def _store_teams(self) -> None:
        """Store concurrently with the rounds: the writes may be queued for a while behind the
        records of a growing fleet."""
        if self._storing is not None and not self._storing.done():
            return
        rows = {
            f"{TEAM}{team}/{self.context.number}": self.market.team_record(
                team, self.context.shard.job_states
            )
            for team in self.market.budgets
        }
        self._storing = self.context.spawn(self._write(rows), "store budgets")

    async def _write(self, rows: dict[str, TeamRecord]) -> None:
        store = self.context.store
        sizes = {key: len(encode(row)) for key, row in rows.items()}
        for keys in store.limits.batches(sizes):
            await attempt_write(store.put({key: rows[key] for key in keys}))

    def _log_round(self) -> None:
        """Log the usage of the fleet and the waiting tasks, one line a round."""
        shard = self.context.shard
        machines = [machine for machine in shard.machines.values() if machine.synced]
        open_jobs = [job for job in shard.job_states.values() if not job.closed]
        log.info(
            "market round: %d jobs, %.0f of %.0f CPUs in use, %.0f CPUs waiting, "
            "%d machines in sync, %d surplus",
            len(open_jobs),
            sum(used.cpus for used in shard.team_used.values()),
            sum(machine.machine_type.cpus for machine in machines),
            sum(job.waiting * job.job.cpus for job in open_jobs),
            len(machines),
            sum(1 for machine in machines if not machine.needed),
        )
