"""Assignment to several shards: the leader assigns the tasks of new jobs to shards, and every
controller tracks to which shard a machine belongs."""

import asyncio
import zlib
from functools import partial
from typing import NamedTuple

import msgspec

from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import LEADER
from basaltlead.core.fleet import MAX_RETAINED_NAMES
from basaltlead.core.jobs import SERVICE_RUN_TIME_US, Job
from basaltlead.core.teams import TeamQuota
from basaltlead.errors import ServiceError
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore, RowList
from basaltlead.storage.records import (
    ASSIGNMENT,
    MACHINE,
    OPEN,
    SCALE_OUT,
    AssignedRange,
    StoredJob,
    StoredMachine,
    StoredScaleOut,
    TaskAssignment,
    job_of,
)
from basaltlead.storage.result_rows import parse_open_key
from basaltlead.storage.watch import KeyWatch
from basaltlead.wire.store import Change, Precondition, Put

ASSIGN_INTERVAL_S = 0.5  # between two passes if nothing has changed


class OpenJob(NamedTuple):
    """A job under `open/`, and the version of its record."""

    job: Job
    version: int


def home_shard(team: str, shards: int) -> int:
    """The shard of a team with a quota, whose tasks must be counted together."""
    return zlib.crc32(team.encode()) % shards


def assignment_parts(
    job: Job, quota: TeamQuota, shards: int, loads: dict[int, float]
) -> list[AssignedRange]:
    """Assign the tasks of a new job to shards.

    All jobs of a team with a quota go to one shard. Other jobs go to the least loaded shard if they
    must be placed as a whole or have fewer than two tasks a shard; the rest are divided evenly.
    """
    least_loaded = min(range(shards), key=lambda shard: (loads.get(shard, 0.0), shard))
    if quota.is_limited:
        return [AssignedRange(0, job.tasks, home_shard(job.team, shards))]
    if job.single_shard or job.tasks < 2 * shards:
        return [AssignedRange(0, job.tasks, least_loaded)]
    bounds = [job.tasks * number // shards for number in range(shards + 1)]
    return [AssignedRange(bounds[shard], bounds[shard + 1], shard) for shard in range(shards)]


class ShardAssigner:
    """Watches open jobs, assignments, machines and scale-out requests on every controller, if there
    are several shards, and assigns jobs on the leader."""

    def __init__(
        self, membership: Membership, store: KeyValueStore, teams: dict[str, TeamQuota], shards: int
    ) -> None:
        self.membership = membership
        self.store = store
        self.teams = teams
        self.shards = shards
        self._jobs: dict[str, OpenJob] = {}
        self._assignments: dict[str, TaskAssignment] = {}
        self._recorded_machines: dict[str, int] = {}  # shard by machine name
        self._rented_machines: dict[str, int] = {}  # the same, bounded
        self._wake = asyncio.Event()

    def shard_of(self, machine: str) -> int | None:
        """The shard to which a machine belongs; None if that is not known."""
        shard = self._recorded_machines.get(machine)
        return self._rented_machines.get(machine) if shard is None else shard

    async def follow(self, prefix: str) -> None:
        """Watch the keys under one of the four prefixes; never returns."""
        watch = KeyWatch(self.store, prefix, self.membership.watch_timeout_ms)
        await watch.run(partial(self._load, prefix), partial(self._apply, prefix))

    def _load(self, prefix: str, listing: RowList) -> None:
        if prefix == OPEN:
            self._jobs.clear()
        elif prefix == ASSIGNMENT:
            self._assignments.clear()
        elif prefix == MACHINE:
            self._recorded_machines.clear()
        for row in listing.rows:
            self._put(prefix, row.key, row.value, row.version)

    def _apply(self, prefix: str, change: Change) -> None:
        if change.put is not None:
            self._put(prefix, change.put, change.value, change.version)
        elif change.drop is not None:
            self._drop(prefix, change.drop)

    def _put(self, prefix: str, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(prefix) :]
        if prefix == OPEN:
            ref, part = parse_open_key(key)
            if part is None:
                job = job_of(msgspec.json.decode(raw, type=StoredJob).submission)
                self._jobs[ref] = OpenJob(job, version)
                self._wake.set()
        elif prefix == ASSIGNMENT:
            self._assignments[name] = msgspec.json.decode(raw, type=TaskAssignment)
        elif prefix == MACHINE:
            self._recorded_machines[name] = msgspec.json.decode(raw, type=StoredMachine).shard
        elif prefix == SCALE_OUT:
            self._note_rented(msgspec.json.decode(raw, type=StoredScaleOut))

    def _note_rented(self, scale_out: StoredScaleOut) -> None:
        for machine in scale_out.names or ():
            self._rented_machines[machine] = scale_out.shard
        while len(self._rented_machines) > MAX_RETAINED_NAMES:
            del self._rented_machines[next(iter(self._rented_machines))]

    def _drop(self, prefix: str, key: str) -> None:
        name = key[len(prefix) :]
        if prefix == OPEN:
            ref, part = parse_open_key(key)
            if part is None:
                self._jobs.pop(ref, None)
        elif prefix == ASSIGNMENT:
            self._assignments.pop(name, None)
        elif prefix == MACHINE:
            self._recorded_machines.pop(name, None)

    async def assign_jobs(self) -> None:
        """On the leader, assign every open job that has no assignment; never returns."""
        while True:
            await wait_for_event(self._wake, ASSIGN_INTERVAL_S)
            if not self.membership.holds_valid_lease or not self.membership.is_leader:
                continue
            for ref, open_job in list(self._jobs.items()):
                if ref not in self._assignments:
                    await self._assign(ref, open_job)

    async def _assign(self, ref: str, open_job: OpenJob) -> None:
        leader = self.membership.cluster.leader
        if leader is None:
            return
        quota = self.teams.get(open_job.job.team, TeamQuota())
        parts = assignment_parts(open_job.job, quota, self.shards, self._loads())
        assignment = TaskAssignment(parts)
        preconditions = [
            self.membership.precondition(),
            Precondition(LEADER, leader.version),
            Precondition(OPEN + ref, open_job.version),
            Precondition(ASSIGNMENT + ref, 0),
        ]
        try:
            await self.store.compare_and_swap(preconditions, [Put(ASSIGNMENT + ref, assignment)])
        except ServiceError as error:
            log.debug("job %s not assigned, will retry: %s", ref, error)
        else:
            self._assignments[ref] = assignment

    def _loads(self) -> dict[int, float]:
        """CPU time that is assigned to each shard, in CPU microseconds."""
        loads: dict[int, float] = {}
        for ref, assignment in self._assignments.items():
            open_job = self._jobs.get(ref)
            if open_job is None:
                continue
            job = open_job.job
            run_us = SERVICE_RUN_TIME_US if job.service else max(job.estimated_run_us, 1)
            for first, end, shard in assignment.parts:
                loads[shard] = loads.get(shard, 0.0) + (end - first) * job.cpus * run_us
        return loads
