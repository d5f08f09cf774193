"""Several blocks: which of the jobs' tasks are this block's to start, and handing some over."""

import asyncio
from typing import TYPE_CHECKING

import msgspec

from basaltlead.clients.base import Backoff, Unavailable
from basaltlead.core.cluster_view import Load, load_key
from basaltlead.core.model import US, Work
from basaltlead.core.shard_state import Limits
from basaltlead.net.http import Failed
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import log
from basaltlead.storage.client import TROUBLE, Conflict, SessionLeaseExpired, TooLarge
from basaltlead.storage.records import LEASE, OPEN, Lease
from basaltlead.storage.watch import follow
from basaltlead.wire.state import Change, Guard, Put, Row

if TYPE_CHECKING:
    from basaltlead.shard.leader import Owner


class Rebalancer:
    """Runs beside an Owner and ends with it."""

    def __init__(self, owner: "Owner") -> None:
        self.owner = owner
        self.leases: dict[str, tuple[Lease, int]] = {}
        self.since = 0
        self.giving: set[str] = set()  # jobs of which we are handing tasks over

    def of(self, ref: str) -> list[tuple[int, int]]:
        """The job's tasks that are leased to this block."""
        return self.leases[ref][0].of(self.owner.number) if ref in self.leases else []

    def take(self, key: str, raw: msgspec.Raw, version: int) -> None:
        ref = key[len(LEASE) :]
        known = self.leases.get(ref)
        if known is not None and known[1] > version:
            return  # told late: we have changed it ourselves meanwhile
        lease = msgspec.json.decode(raw, type=Lease)
        self.leases[ref] = (lease, version)
        work = self.owner.block.works.get(ref)
        if work is not None and ref not in self.giving:
            work.lease(lease.of(self.owner.number))
            self.owner.block.dirty = True
            self.owner.wake.set()

    async def watch(self) -> None:
        """Follow which of the jobs' tasks are ours to start."""
        await follow(
            self.owner.state, LEASE, self.owner.member.watch_ms, self.load, self._change,
            since=self.since,
        )  # fmt: skip

    def load(self, rows: list[Row]) -> None:
        for row in rows:
            self.take(row.key, row.value, row.version)

    def _change(self, change: Change) -> None:
        if change.put is not None:
            self.take(change.put, change.value, change.version)
        elif change.drop is not None:
            self.leases.pop(change.drop[len(LEASE) :], None)

    async def give(self, work: Work, to: int) -> None:
        """Hand the later half of a job's unstarted tasks to another block.

        We stop regarding them as ours before we ask, and until the lease's record has changed:
        a request that went unanswered may still be executed later, so it is repeated until it
        either was, or can't be any more since the record is a newer one.
        """
        ref = work.job.ref
        tail = work.spare_tail()
        known = self.leases.get(ref)
        unsure = any(
            key[0] == ref for m in self.owner.block.machines.values() for key in m.listed_attempts
        )
        if (
            tail is None
            or known is None
            or ref in self.giving
            or self.owner.block.unsynced
            or unsure
        ):
            return
        lease, version = known
        given = self._split(lease, tail, to)
        self.giving.add(ref)
        work.lease(given.of(self.owner.number))
        guards = [
            *self.owner.guards(),
            Guard(OPEN + ref, work.version),
            Guard(LEASE + ref, version),
        ]
        try:
            await self._record(ref, given, guards)
            row = await self.owner.state.get(LEASE + ref)
        except TROUBLE:
            row = None
        finally:
            self.giving.discard(ref)
        if row is not None and ref in self.owner.block.works:
            self.take(row.key, row.value, row.version)

    def _split(self, lease: Lease, tail: tuple[int, int], to: int) -> Lease:
        """The lease once the tasks of `tail` are another block's."""
        low, high = tail
        parts: list[tuple[int, int, int]] = []
        for first, end, block in lease.parts:
            if block == self.owner.number and first <= low < end:
                parts += [(first, low, block)] if first < low else []
                parts += [(low, high, to)]
                parts += [(high, end, block)] if high < end else []
            else:
                parts.append((first, end, block))
        return Lease(parts)

    async def _record(self, ref: str, given: Lease, guards: list[Guard]) -> None:
        """Write the new lease, until it is certain whether it stands."""
        backoff = Backoff(100_000, 1_000_000, self.owner.member.chance)
        while not self.owner.resigned:
            try:
                version = await self.owner.state.multi(guards, [Put(LEASE + ref, given)])
                self.leases[ref] = (given, version)
                log.info("leases of %s are now %s", ref, given.parts)
                return
            except Conflict as conflict:
                if LEASE + ref in conflict.failed or OPEN + ref in conflict.failed:
                    return  # the record is another: the watch tells what it says
                await backoff.rest()
            except TooLarge:
                return  # it can never be written: the tasks stay here
            except (Failed, Unavailable, SessionLeaseExpired):
                await backoff.rest()

    async def balance(self) -> None:
        """Each round: say how much waits here and how much is free, and hand tasks that wait
        to the block with most free room."""
        while True:
            await asyncio.sleep(self.owner.market.terms.round_us / US / 2)
            if not self.owner.acts:
                continue
            works = [
                w
                for w in self.owner.block.works.values()
                if not w.closed and not w.job.whole and not self._counted(w.job.team)
            ]
            waiting = sum(w.waiting * w.job.cpus for w in works)
            free = sum(
                max(0.0, m.free.cpus)
                for m in self.owner.block.machines.values()
                if m.usable(now_us())
            )
            load = Load(round(waiting, 1), round(free, 1))
            await self.owner.results.store(self._store_load(load))
            others = {
                number: other
                for number, other in self.owner.member.cluster.loads.items()
                if number != self.owner.number and other.waiting == 0 and other.free > 0
            }
            if waiting > free and others and works:
                to = max(others, key=lambda number: others[number].free)
                await self.give(max(works, key=lambda w: w.waiting * w.job.cpus), to)

    def _counted(self, team: str) -> bool:
        return self.owner.block.teams.get(team, Limits()).counted

    async def _store_load(self, load: Load) -> None:
        await self.owner.put({load_key(self.owner.number): load})
