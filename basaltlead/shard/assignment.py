"""The leader leases the tasks of new jobs to blocks; and every node knows whose a machine is."""

import asyncio
import zlib
from functools import partial

import msgspec

from basaltlead.cluster.membership import Membership
from basaltlead.core.cluster_view import LEADER
from basaltlead.core.model import STANDING_US, Job
from basaltlead.core.shard_state import NAMES_KEPT, Limits
from basaltlead.runtime.events import wait_for_event
from basaltlead.runtime.logs import log
from basaltlead.storage.client import TROUBLE, State
from basaltlead.storage.records import (
    HIRE,
    LEASE,
    MACHINE,
    OPEN,
    Lease,
    StoredHire,
    StoredJob,
    StoredMachine,
    job_of,
)  # fmt: skip
from basaltlead.storage.result_rows import split_open
from basaltlead.storage.watch import follow
from basaltlead.wire.state import Change, Guard, Put, Row


def home_of(team: str, blocks: int) -> int:
    """The block of a team whose tasks must be counted together."""
    return zlib.crc32(team.encode()) % blocks


def parts_of(
    job: Job, limits: Limits, blocks: int, loads: dict[int, float]
) -> list[tuple[int, int, int]]:
    """Which block gets which tasks of a new job: a team with a limit or a guarantee has one
    block for all its jobs, jobs that must be placed as a whole go to the least loaded one, and
    other arrays are dealt out evenly."""
    least = min(range(blocks), key=lambda block: (loads.get(block, 0.0), block))
    if limits.counted:
        return [(0, job.tasks, home_of(job.team, blocks))]
    if job.whole or job.tasks < 2 * blocks:
        return [(0, job.tasks, least)]
    cuts = [job.tasks * number // blocks for number in range(blocks + 1)]
    return [(cuts[block], cuts[block + 1], block) for block in range(blocks)]


class Leasing:
    """Follows open jobs, leases, machines and hires on every node, if there are several blocks;
    acts on them on the leader."""

    def __init__(
        self, member: Membership, state: State, teams: dict[str, Limits], blocks: int
    ) -> None:
        self.member = member
        self.state = state
        self.teams = teams
        self.blocks = blocks
        self.jobs: dict[str, tuple[Job, int]] = {}
        self.leases: dict[str, Lease] = {}
        self.machines: dict[str, int] = {}
        self.hired: dict[str, int] = {}
        self.wake = asyncio.Event()

    def block_of(self, machine: str) -> int | None:
        found = self.machines.get(machine)
        return self.hired.get(machine) if found is None else found

    async def follow(self, prefix: str) -> None:
        """Keep one of our tables like the keys under a prefix."""
        await follow(
            self.state, prefix, self.member.watch_ms,
            partial(self._load, prefix), partial(self._take, prefix),
        )  # fmt: skip

    def _take(self, prefix: str, change: Change) -> None:
        if change.put is not None:
            self._put(prefix, change.put, change.value, change.version)
        elif change.drop is not None:
            self._drop(prefix, change.drop)

    def _load(self, prefix: str, rows: list[Row]) -> None:
        if prefix == OPEN:
            self.jobs.clear()
        elif prefix == LEASE:
            self.leases.clear()
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
        elif prefix == LEASE:
            self.leases[name] = msgspec.json.decode(raw, type=Lease)
        elif prefix == MACHINE:
            self.machines[name] = msgspec.json.decode(raw, type=StoredMachine).block
        elif prefix == HIRE:
            hire = msgspec.json.decode(raw, type=StoredHire)
            for machine in hire.names or ():
                self.hired[machine] = hire.block
            while len(self.hired) > NAMES_KEPT:
                del self.hired[next(iter(self.hired))]

    def _drop(self, prefix: str, key: str) -> None:
        name = key[len(prefix) :]
        if prefix == OPEN:
            ref, part = split_open(key)
            if part is None:
                self.jobs.pop(ref, None)
        elif prefix == LEASE:
            self.leases.pop(name, None)
        elif prefix == MACHINE:
            self.machines.pop(name, None)

    async def lease(self) -> None:
        """On the leader: a lease for every open job that has none."""
        while True:
            await wait_for_event(self.wake, 0.5)
            if not self.member.acts or not self.member.leads:
                continue
            for ref, (job, version) in list(self.jobs.items()):
                if ref not in self.leases:
                    await self._lease(ref, job, version)

    def _loads(self) -> dict[int, float]:
        out: dict[int, float] = {}
        for ref, lease in self.leases.items():
            known = self.jobs.get(ref)
            if known is not None:
                for low, high, block in lease.parts:
                    each = STANDING_US if known[0].service else max(known[0].guess_us, 1)
                    work = (high - low) * known[0].cpus * each
                    out[block] = out.get(block, 0.0) + work
        return out

    async def _lease(self, ref: str, job: Job, version: int) -> None:
        leader = self.member.cluster.leader
        if leader is None:
            return
        limits = self.teams.get(job.team, Limits())
        lease = Lease(parts_of(job, limits, self.blocks, self._loads()))
        guards = [
            self.member.guard(), Guard(LEADER, leader[1]), Guard(OPEN + ref, version),
            Guard(LEASE + ref, 0),
        ]  # fmt: skip
        try:
            await self.state.multi(guards, [Put(LEASE + ref, lease)])
            self.leases[ref] = lease
        except TROUBLE as fault:
            log.debug("lease of %s: %s", ref, fault)
