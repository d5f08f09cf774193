"""Users: submit, poll, cancel. Whatever is told was stored, or read, before."""

import asyncio
import re
from collections.abc import Callable
from typing import TypeVar

import msgspec

from basaltlead.clients.codec import encode
from basaltlead.cluster import versions
from basaltlead.cluster.membership import Membership
from basaltlead.core.cancellations import Cancellations
from basaltlead.core.entities import MachineType
from basaltlead.core.shard_state import TeamQuota
from basaltlead.errors import (
    PreconditionFailed,
    RequestFailed,
    SessionLeaseExpired,
    TransactionTooLarge,
    Unavailable,
)
from basaltlead.net.http import Request, Response
from basaltlead.net.limiter import Limiter
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.limits import StoreLimits
from basaltlead.storage.records import (
    ASSIGNMENT,
    OPEN,
    OVER,
    Final,
    StoredJob,
    job_of,
)
from basaltlead.storage.result_rows import Progress, ResultLayout, split_open
from basaltlead.wire.store import Drop, Precondition, Put, Row
from basaltlead.wire.users import REF, JobAnswer, Refusal, Submission

T = TypeVar("T")

KNOWN_REF = re.compile(REF)
MOST_JOB_TASKS = 100_000  # of one job
FINALS_KEPT = 5000
LATER = "Retry-After: 1\r\n"
MUCH_LATER = "Retry-After: 3\r\n"
MOST_QUEUED_S = 0.5  # a request that would wait for longer than that is refused at once
ANSWER_S = {"GET": 1.7, "POST": 4.0}  # users wait 2 and 5 s: one that is given up is told so


def refusal(status: int, text: str, headers: str = "") -> Response:
    """An answer that decides nothing, or says why not."""
    return Response(status, encode(Refusal(text)), headers)


def job_answer(status: int, ref: str, stage: str, done: int = 0, running: int = 0) -> Response:
    """An answer with the state of a job."""
    return Response(status, encode(JobAnswer(ref, stage, done, running)))


class UserApi:
    """Answers users: submit, poll, cancel."""

    def __init__(
        self,
        store: KeyValueStore,
        membership: Membership,
        teams: dict[str, TeamQuota],
        limits: StoreLimits,
        shards: int,
        cancellations: Cancellations,
    ) -> None:
        self.store = store
        self.membership = membership
        self.teams = teams
        self.limits = limits
        layout = ResultLayout(limits.value_bytes)
        self.most_rows = 1 + layout.most_rows(MOST_JOB_TASKS, shards)
        self.shards = shards
        self.machine_types: dict[str, MachineType] = {}
        self.limiter = Limiter()
        self.finals: dict[str, Final] = {}  # final answers, the only ones that may be cached
        self.cancellations = cancellations
        self.cancelled: Callable[[str], None] = lambda ref: None
        self.log_limiter = LogRateLimiter()

    async def handle(self, request: Request) -> Response:
        sent: Submission | None = None
        if request.path == "/api/jobs" and request.method == "POST":
            try:  # malformed is malformed, also when nothing can be taken
                sent = msgspec.json.decode(request.body, type=Submission)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
                return refusal(400, str(fault)[:200])
        if self.store.queue_delay_s(writing=request.method == "POST") > MOST_QUEUED_S:
            return refusal(503, "busy", MUCH_LATER)
        if not self.limiter.enter():
            return refusal(503, "busy", LATER)
        started = now_us()
        try:
            async with asyncio.timeout(ANSWER_S.get(request.method, 1.0)):
                return await (self.submit(sent) if sent else self._route(request))
        except TimeoutError:
            return refusal(503, "no answer in time", LATER)
        except (RequestFailed, Unavailable, PreconditionFailed, SessionLeaseExpired) as fault:
            if self.log_limiter.ok(started):
                log.info("%s %s: %s", request.method, request.path, fault)
            return refusal(503, "not sure right now", LATER)
        finally:
            self.limiter.leave(now_us() - started)

    async def _route(self, request: Request) -> Response:
        rest = request.path.removeprefix("/api/jobs")
        if rest == "":
            return refusal(405, "use POST")
        ref, _, verb = rest[1:].partition("/")
        if verb not in ("", "cancel"):
            return refusal(404, "no such path")
        if request.method != ("POST" if verb else "GET"):
            return refusal(405, "use POST" if verb else "use GET")
        if not KNOWN_REF.match(ref):
            return refusal(404, "no such job")
        return await (self.cancel(ref) if verb else self.poll(ref))

    # Submit

    async def submit(self, sent: Submission) -> Response:
        final = self.finals.get(sent.ref)
        if final is not None:
            return job_answer(200, sent.ref, final.stage, final.done)
        if not self.machine_types or not self.membership.holds_valid_lease:
            return refusal(503, "starting", LATER)
        never = self.never_runs(sent)
        if never:
            # A job that was accepted stays accepted, whatever has changed since.
            known = await self._current_state(sent.ref)
            return known if known is not None else refusal(422, never)
        if sent.shape == "service" and not versions.services_allowed(self.membership.cluster):
            known = await self._current_state(sent.ref)
            return known if known is not None else refusal(503, "not all upgraded", MUCH_LATER)
        preconditions = [
            self.membership.precondition(),
            Precondition(OPEN + sent.ref, 0),
            Precondition(OVER + sent.ref, 0),
        ]
        if sent.shape == "service":
            others = [name for name in self.membership.names if name != self.membership.name]
            preconditions += versions.member_preconditions(self.membership.cluster, others)
        try:
            stored = StoredJob.of(sent, wall_us())
            await self.store.compare_and_swap(preconditions, [Put(OPEN + sent.ref, stored)])
        except TransactionTooLarge as fault:
            known = await self._current_state(sent.ref)
            return known if known is not None else refusal(422, str(fault))
        except PreconditionFailed as conflict:
            if not any(key.endswith("/" + sent.ref) for key in conflict.failed):
                raise
            known = await self._current_state(sent.ref)
            return known if known is not None else refusal(503, "again, please", LATER)
        return job_answer(201, sent.ref, "pending")

    def never_runs(self, sent: Submission) -> str:
        """Why a job can never run, or nothing."""
        team = self.teams.get(sent.team)
        if team is None:
            return "unknown team"
        job = job_of(sent)
        zones = {
            zone
            for machine_type in self.machine_types.values()
            if machine_type.holds(job) and (job.types is None or machine_type.name in job.types)
            for zone in machine_type.zones
            if job.zone in (None, zone)
        }
        if not zones:
            return "a task fits no allowed machine type"
        zone_count = 1 if job.one_zone else len(zones)
        if job.together > job.zone_cap * zone_count:
            return "tasks that may not be where they must be"
        count = job.together
        if (team.cpus_max and job.cpus * count > team.cpus_max + 1e-6) or (
            team.gpus_max and job.gpus * count > team.gpus_max + 1e-6
        ):
            return "more than the team's limit"
        return ""

    # Poll and cancel

    async def _rows(self, ref: str) -> list[Row]:
        """The open job's rows: itself first, then its results; empty if it is not open."""
        if self.membership.cut_off:
            raise Unavailable("the state service does not answer")
        page = await self.store.page(OPEN + ref, most=self.most_rows)
        rows = [row for row in page.rows if split_open(row.key)[0] == ref]
        return rows if rows and rows[0].key == OPEN + ref else []

    async def _final(self, ref: str) -> Final | None:
        row = await self.store.get(OVER + ref)
        if row is None:
            return None
        final = msgspec.json.decode(row.value, type=Final)
        self.remember(ref, final)
        return final

    def remember(self, ref: str, final: Final) -> None:
        """To be called before anybody is told: shard leaders must know of every cancellation that
        is."""
        self.finals[ref] = final
        if final.stage == "withdrawn" and self.cancellations.add(ref, now_us()):
            self.cancelled(ref)
        while len(self.finals) > FINALS_KEPT:
            del self.finals[next(iter(self.finals))]

    async def _current_state(self, ref: str) -> Response | None:
        """The present state, or None when the key-value store says that there is no such job.

        A job goes from open to over in one transaction, so looking in this order misses none.
        """
        rows = await self._rows(ref)
        if rows:
            parts = [msgspec.json.decode(row.value, type=Progress) for row in rows[1:]]
            done = sum(part.count for part in parts)
            running = sum(part.running for part in parts)
            # Has somebody told of its end since we asked? Nobody should hear the older state.
            final = self.finals.get(ref)
            if final is not None:
                return job_answer(200, ref, final.stage, final.done)
            if ref in self.cancellations:
                return job_answer(200, ref, "withdrawn", done)
            return job_answer(200, ref, "running" if done or running else "pending", done, running)
        final = await self._final(ref)
        return None if final is None else job_answer(200, ref, final.stage, final.done)

    async def poll(self, ref: str) -> Response:
        final = self.finals.get(ref)
        if final is not None:
            return job_answer(200, ref, final.stage, final.done)
        known = await self._current_state(ref)
        return known if known is not None else refusal(404, "no such job")

    async def cancel(self, ref: str) -> Response:
        for _ in range(4):
            final = self.finals.get(ref)
            if final is not None:
                return job_answer(200, ref, final.stage, final.done)
            rows = await self._rows(ref)
            if not rows:
                final = await self._final(ref)
                if final is None:
                    return refusal(404, "no such job")
                continue
            if not self.membership.holds_valid_lease:
                return refusal(503, "starting", LATER)
            done = sum(msgspec.json.decode(row.value, type=Progress).count for row in rows[1:])
            final = Final("withdrawn", done)
            drops = [Drop(row.key) for row in rows]
            if self.shards > 1:
                drops.insert(1, Drop(ASSIGNMENT + ref))
            drops = drops[: self.limits.operations - 1]
            try:
                await self.store.compare_and_swap(
                    [
                        self.membership.precondition(),
                        Precondition(OPEN + ref, rows[0].version),
                        Precondition(OVER + ref, 0),
                    ],
                    [Put(OVER + ref, final), *drops],
                )
            except PreconditionFailed as conflict:
                if not any(key.endswith("/" + ref) for key in conflict.failed):
                    raise
                continue
            log.info("job %s cancelled", ref)
            self.remember(ref, final)
        final = self.finals.get(ref)
        return (
            job_answer(200, ref, final.stage, final.done) if final else refusal(503, "busy", LATER)
        )
