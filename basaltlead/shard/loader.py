"""Loading of a shard's records by a new shard leader, before it acts."""

import asyncio
from collections.abc import Mapping

import msgspec

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import US
from basaltlead.core.market import Market, TeamRecord
from basaltlead.runtime.clock import age_us, now_us
from basaltlead.runtime.logs import log
from basaltlead.shard.context import ShardContext
from basaltlead.shard.open_jobs_watch import OpenJobsWatch
from basaltlead.shard.rebalancer import Rebalancer
from basaltlead.storage.client import RowList
from basaltlead.storage.records import (
    ASSIGNMENT,
    MACHINE,
    OPEN,
    SCALE_IN,
    SCALE_OUT,
    TEAM,
    StoredMachine,
    StoredScaleIn,
    StoredScaleOut,
)
from basaltlead.wire.store import Row


class ShardLoader:
    """Reads the records of a shard in an order in which none is missed.

    A load that fails is repeated. It has applied nothing but the open jobs, since workers' leases
    are renewed once these are known, and each listing of them replaces the one before (see
    `OpenJobsWatch`). All other records are applied after the last read.
    """

    def __init__(
        self,
        context: ShardContext,
        open_jobs_watch: OpenJobsWatch,
        rebalancer: Rebalancer,
        market: Market,
    ) -> None:
        self.context = context
        self.open_jobs_watch = open_jobs_watch
        self.rebalancer = rebalancer
        self.market = market

    async def load(self, answered_at: Mapping[str, int]) -> int:
        """Read all records. Returns the revision from which to watch the open jobs.

        `answered_at` holds the time of the last response to each machine before it was loaded.
        Raises ServiceError; the caller retries.
        """
        store = self.context.store
        requested_at = now_us()
        # Scale-ins are read concurrently with the jobs, so that they don't prolong a failover, and
        # before the machines, since a machine's record is deleted before or with its scale-in. In
        # the other order, a machine that is deleted between the two reads would be loaded without
        # its scale-in, as one that may get tasks.
        jobs, scale_ins = await asyncio.gather(store.rows(OPEN), store.rows(SCALE_IN))
        self.open_jobs_watch.load(jobs, requested_at)
        machines, _ = await store.rows(MACHINE)
        scale_outs, _ = await store.rows(SCALE_OUT)
        teams, _ = await store.rows(TEAM)
        assignments = await store.rows(ASSIGNMENT) if self.context.sharded else RowList([], 0)
        # Nothing can fail from here on.
        self._load_scale_ins(scale_ins.rows)
        self._load_machines(machines, answered_at)
        self._load_scale_outs(scale_outs)
        self.rebalancer.load(assignments)
        self._load_teams(teams)
        log.info(
            "shard %d loaded: %d jobs, %d machines, %d scale-out requests, "
            "open jobs of revision %d requested %.1f s ago",
            self.context.number,
            len(self.context.shard.job_states),
            len(self.context.shard.machines),
            len(self.context.intents.scale_outs),
            jobs.revision,
            (now_us() - requested_at) / US,
        )
        return jobs.revision

    def _load_scale_ins(self, rows: list[Row]) -> None:
        for row in rows:
            scale_in = msgspec.json.decode(row.value, type=StoredScaleIn)
            self.context.intents.scale_ins[row.key] = scale_in

    def _load_machines(self, rows: list[Row], answered_at: Mapping[str, int]) -> None:
        shard = self.context.shard
        returning = self.context.intents.returning
        now = now_us()
        for row in rows:
            stored = msgspec.json.decode(row.value, type=StoredMachine)
            if stored.shard != self.context.number:
                continue
            machine_type = self.context.machine_type(stored.type_name)
            name = row.key[len(MACHINE) :]
            machine = Machine(name, machine_type, stored.zone, stored.spot, now)
            machine.address = stored.address
            machine.created_at = now - age_us(stored.at)
            machine.terminating = name in returning
            self.context.store.versions[row.key] = row.version
            shard.load_machine(machine, answered_at.get(name))

    def _load_scale_outs(self, rows: list[Row]) -> None:
        for row in rows:
            scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
            if scale_out.shard == self.context.number:
                self.context.intents.scale_outs[row.key[len(SCALE_OUT) :]] = scale_out
                self.context.store.versions[row.key] = row.version

    def _load_teams(self, rows: list[Row]) -> None:
        for row in rows:
            team, _, number = row.key[len(TEAM) :].rpartition("/")
            if number == str(self.context.number):
                self.context.store.versions[row.key] = row.version
                self.market.load(team, msgspec.json.decode(row.value, type=TeamRecord))
