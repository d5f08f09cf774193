"""The leader leases the tasks of new jobs to shards; and every node knows whose a machine is."""

import asyncio
import zlib
from functools import partial

import msgspec

from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import LEADER
from basaltlead.core.entities import STANDING_US, Job
from basaltlead.core.shard_state import NAMES_KEPT, TeamQuota
from basaltlead.errors import ServiceError
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import (
    ASSIGNMENT,
    MACHINE,
    OPEN,
    SCALE_OUT,
    StoredJob,
    StoredMachine,
    StoredScaleOut,
    TaskAssignment,
    job_of,
)
from basaltlead.storage.result_rows import split_open
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change, Precondition, Put, Row


def home_shard(team: str, shards: int) -> int:
    """The shard of a team whose tasks must be counted together."""
    return zlib.crc32(team.encode()) % shards


def assignment_parts(
    job: Job, limits: TeamQuota, shards: int, loads: dict[int, float]
) -> list[tuple[int, int, int]]:
    """Which shard gets which tasks of a new job: a team with a limit or a guarantee has one
    shard for all its jobs, jobs that must be placed as a whole go to the least loaded one, and
    other arrays are dealt out evenly."""
    least = min(range(shards), key=lambda shard: (loads.get(shard, 0.0), shard))
    if limits.is_limited:
        return [(0, job.tasks, home_shard(job.team, shards))]
    if job.whole or job.tasks < 2 * shards:
        return [(0, job.tasks, least)]
    cuts = [job.tasks * number // shards for number in range(shards + 1)]
    return [(cuts[shard], cuts[shard + 1], shard) for shard in range(shards)]


class ShardAssigner:
    """Follows open jobs, leases, machines and rental requests on every node, if there are several
    shards; acts on them on the leader."""

    def __init__(
        self, membership: Membership, store: KeyValueStore, teams: dict[str, TeamQuota], shards: int
    ) -> None:
        self.membership = membership
        self.store = store
        self.teams = teams
        self.shards = shards
        self.jobs: dict[str, tuple[Job, int]] = {}
        self.assignments: dict[str, TaskAssignment] = {}
        self.machines: dict[str, int] = {}
        self.hired: dict[str, int] = {}
        self.wake = asyncio.Event()

    def shard_of(self, machine: str) -> int | None:
        found = self.machines.get(machine)
        return self.hired.get(machine) if found is None else found

    async def follow(self, prefix: str) -> None:
        """Keep one of our tables like the keys under a prefix."""
        watch = KeyWatch(self.store, prefix, self.membership.watch_ms)
        await watch.run(partial(self._load, prefix), partial(self._take, prefix))

    def _take(self, prefix: str, change: Change) -> None:
        if change.put is not None:
            self._put(prefix, change.put, change.value, change.version)
        elif change.drop is not None:
            self._drop(prefix, change.drop)

    def _load(self, prefix: str, rows: list[Row]) -> None:
        if prefix == OPEN:
            self.jobs.clear()
        elif prefix == ASSIGNMENT:
            self.assignments.clear()
        elif prefix == MACHINE:
            self.machines.clear()
        for row in rows:
            self._put(prefix, row.key, row.value, row.version)

    def _put(self, prefix: str, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(prefix) :]
        if prefix == OPEN:
            ref, part = split_open(key)
            if part is None:
                job = job_of(msgspec.json.decode(raw, type=StoredJob).sent)
                self.jobs[ref] = (job, version)
                self.wake.set()
        elif prefix == ASSIGNMENT:
            self.assignments[name] = msgspec.json.decode(raw, type=TaskAssignment)
        elif prefix == MACHINE:
            self.machines[name] = msgspec.json.decode(raw, type=StoredMachine).shard
        elif prefix == SCALE_OUT:
            scale_out = msgspec.json.decode(raw, type=StoredScaleOut)
            for machine in scale_out.names or ():
                self.hired[machine] = scale_out.shard
            while len(self.hired) > NAMES_KEPT:
                del self.hired[next(iter(self.hired))]

    def _drop(self, prefix: str, key: str) -> None:
        name = key[len(prefix) :]
        if prefix == OPEN:
            ref, part = split_open(key)
            if part is None:
                self.jobs.pop(ref, None)
        elif prefix == ASSIGNMENT:
            self.assignments.pop(name, None)
        elif prefix == MACHINE:
            self.machines.pop(name, None)

    async def assign_jobs(self) -> None:
        """On the leader: a assignment for every open job that has none."""
        while True:
            await wait_for_event(self.wake, 0.5)
            if not self.membership.holds_valid_lease or not self.membership.leads:
                continue
            for ref, (job, version) in list(self.jobs.items()):
                if ref not in self.assignments:
                    await self._assign(ref, job, version)

    def _loads(self) -> dict[int, float]:
        out: dict[int, float] = {}
        for ref, assignment in self.assignments.items():
            known = self.jobs.get(ref)
            if known is not None:
                for low, high, shard in assignment.parts:
                    each = STANDING_US if known[0].service else max(known[0].guess_us, 1)
                    load = (high - low) * known[0].cpus * each
                    out[shard] = out.get(shard, 0.0) + load
        return out

    async def _assign(self, ref: str, job: Job, version: int) -> None:
        leader = self.membership.cluster.leader
        if leader is None:
            return
        limits = self.teams.get(job.team, TeamQuota())
        assignment = TaskAssignment(assignment_parts(job, limits, self.shards, self._loads()))
        preconditions = [
            self.membership.precondition(),
            Precondition(LEADER, leader[1]),
            Precondition(OPEN + ref, version),
            Precondition(ASSIGNMENT + ref, 0),
        ]
        try:
            await self.store.compare_and_swap(preconditions, [Put(ASSIGNMENT + ref, assignment)])
            self.assignments[ref] = assignment
        except ServiceError as fault:
            log.debug("assigning tasks of %s: %s", ref, fault)
