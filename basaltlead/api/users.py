"""The users' interface: submit, poll and cancel jobs.

A state is reported to a user only after it was stored in, or read from, the key-value store.
"""

import asyncio
import re
from collections.abc import Callable

import msgspec

from basaltlead.api.admission import AdmissionCheck
from basaltlead.api.job_reader import CANCELLED, PENDING, JobReader, JobStatus
from basaltlead.api.responses import RETRY_LATER, RETRY_SOON, error_response, job_response
from basaltlead.cluster import versions
from basaltlead.cluster.membership import Membership
from basaltlead.config.settings import Settings
from basaltlead.core.cancellations import Cancellations
from basaltlead.core.jobs import MachineType
from basaltlead.errors import PreconditionFailed, ServiceError, TransactionTooLarge
from basaltlead.net.concurrency_limiter import ConcurrencyLimiter
from basaltlead.net.http.messages import GET, POST, Request, Response
from basaltlead.runtime.clock import now_us, wall_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.shard.leader import team_quotas
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import ASSIGNMENT, OPEN, OVER, FinalState, StoredJob
from basaltlead.storage.result_rows import Progress
from basaltlead.wire.store import Drop, Precondition, Put, Row
from basaltlead.wire.users import REF, Submission

JOBS_PATH = "/api/jobs"
REF_PATTERN = re.compile(REF)
MAX_QUEUE_DELAY_S = 0.5  # a request that would wait longer for the store is rejected immediately
# Users wait 2 s for a poll and 5 s for a change; a 503 is sent before they give up.
RESPONSE_TIMEOUT_S = {GET: 1.7, POST: 4.0}
DEFAULT_TIMEOUT_S = 1.0  # for other methods, which are not allowed
CANCEL_ATTEMPTS = 4
SERVICE = "service"


class UserApi:
    """Handles users' requests to submit, poll and cancel jobs."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        membership: Membership,
        machine_types: dict[str, MachineType],
        cancellations: Cancellations,
        on_cancelled: Callable[[str], None],
    ) -> None:
        """`on_cancelled` is called before a user is told that a job was cancelled."""
        self.settings = settings
        self.store = store
        self.membership = membership
        self.machine_types = machine_types
        self.teams = team_quotas(settings)
        self.admission = AdmissionCheck(self.teams, machine_types)
        self.jobs = JobReader(settings, store, membership, cancellations, on_cancelled)
        self.limiter = ConcurrencyLimiter()
        self._log_limiter = LogRateLimiter()

    async def handle(self, request: Request) -> Response:
        """Respond to a request in time: with 503 if too many requests are in progress, or the
        key-value store is overloaded or does not respond."""
        submission: Submission | None = None
        if request.path == JOBS_PATH and request.method == POST:
            try:  # malformed submissions get 400 even while no job can be accepted
                submission = msgspec.json.decode(request.body, type=Submission)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                return error_response(400, str(error)[:200])
        if self.store.queue_delay_s(writing=request.method == POST) > MAX_QUEUE_DELAY_S:
            return error_response(503, "busy", RETRY_LATER)
        if not self.limiter.acquire():
            return error_response(503, "busy", RETRY_SOON)
        started = now_us()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S.get(request.method, DEFAULT_TIMEOUT_S)):
                return await (self.submit(submission) if submission else self._route(request))
        except TimeoutError:
            return error_response(503, "no answer in time", RETRY_SOON)
        except ServiceError as error:
            if self._log_limiter.allow(started):
                log.info("%s %s failed with status 503: %s", request.method, request.path, error)
            return error_response(503, "not sure right now", RETRY_SOON)
        finally:
            self.limiter.release(now_us() - started)

    async def _route(self, request: Request) -> Response:
        rest = request.path.removeprefix(JOBS_PATH)
        if rest == "":
            return error_response(405, "use POST")
        ref, _, verb = rest[1:].partition("/")
        if verb not in ("", "cancel"):
            return error_response(404, "no such path")
        if request.method != (POST if verb else GET):
            return error_response(405, "use POST" if verb else "use GET")
        if not REF_PATTERN.match(ref):
            return error_response(404, "no such job")
        return await (self.cancel(ref) if verb else self.poll(ref))

    # Submit

    async def submit(self, submission: Submission) -> Response:
        """Accept a job after storing it. A repeated submission gets the state of the job."""
        final = self.jobs.cached_final(submission.ref)
        if final is not None:
            return _status_response(submission.ref, final)
        if not self.machine_types or not self.membership.holds_valid_lease:
            return error_response(503, "starting", RETRY_SOON)
        rejection = self._rejection_of(submission) or await self._try_to_store(submission)
        if rejection is None:
            return job_response(201, submission.ref, PENDING)
        return await self._existing_job_or(submission.ref, rejection)

    def _rejection_of(self, submission: Submission) -> Response | None:
        """Return the response that rejects a submission, permanently (422) or for now (503); None
        if it can be accepted."""
        reason = self.admission.rejection_reason(submission)
        if reason:
            return error_response(422, reason)
        is_service = submission.shape == SERVICE
        if is_service and not versions.services_allowed(self.membership.cluster):
            return error_response(503, "not all upgraded", RETRY_LATER)
        return None

    async def _try_to_store(self, submission: Submission) -> Response | None:
        """Store a submission. Returns None if it was stored, else an error response, which applies
        unless the job was accepted earlier. Raises ServiceError if the outcome is not known."""
        try:
            await self._store(submission)
        except TransactionTooLarge as error:
            return error_response(422, str(error))
        except PreconditionFailed as conflict:
            if not _names_job(conflict, submission.ref):
                raise
            return error_response(503, "again, please", RETRY_SOON)
        return None

    async def _store(self, submission: Submission) -> None:
        ref = submission.ref
        preconditions = [
            self.membership.precondition(),
            Precondition(OPEN + ref, 0),
            Precondition(OVER + ref, 0),
        ]
        if submission.shape == SERVICE:
            # The transaction fails if a member that can't read the record joins at the same time.
            others = [name for name in self.membership.names if name != self.membership.name]
            preconditions += versions.member_preconditions(self.membership.cluster, others)
        record = StoredJob.of(submission, wall_us())
        await self.store.compare_and_swap(preconditions, [Put(OPEN + ref, record)])

    async def _existing_job_or(self, ref: str, otherwise: Response) -> Response:
        """Respond with the state of a job that was accepted earlier, or with `otherwise` if there
        is no such job."""
        known = await self.jobs.read(ref)
        return otherwise if known is None else _status_response(ref, known)

    # Poll and cancel

    async def poll(self, ref: str) -> Response:
        """Respond with the state of a job, or 404 if it was never accepted."""
        final = self.jobs.cached_final(ref)
        if final is not None:
            return _status_response(ref, final)
        return await self._existing_job_or(ref, error_response(404, "no such job"))

    async def cancel(self, ref: str) -> Response:
        """Cancel an open job; if the job has ended, respond with its final state."""
        for _ in range(CANCEL_ATTEMPTS):
            final = self.jobs.cached_final(ref)
            if final is not None:
                return _status_response(ref, final)
            rows = await self.jobs.open_rows(ref)
            if not rows:
                if await self.jobs.read_final(ref) is None:
                    return error_response(404, "no such job")
                continue  # the final state is cached now
            if not self.membership.holds_valid_lease:
                return error_response(503, "starting", RETRY_SOON)
            await self._store_cancellation(ref, rows)
        final = self.jobs.cached_final(ref)
        return (
            error_response(503, "busy", RETRY_SOON)
            if final is None
            else _status_response(ref, final)
        )

    async def _store_cancellation(self, ref: str, rows: list[Row]) -> None:
        """Store the final state of an open job, and delete as many of its rows as fit into the same
        transaction. Does nothing if the job has changed in the meantime."""
        done = sum(msgspec.json.decode(row.value, type=Progress).count for row in rows[1:])
        final = FinalState(CANCELLED, done)
        drops = [Drop(row.key) for row in rows]
        if self.settings.operator.shards > 1:
            drops.insert(1, Drop(ASSIGNMENT + ref))
        drops = drops[: self.store.limits.operations - 1]
        preconditions = [
            self.membership.precondition(),
            Precondition(OPEN + ref, rows[0].version),
            Precondition(OVER + ref, 0),
        ]
        try:
            await self.store.compare_and_swap(preconditions, [Put(OVER + ref, final), *drops])
        except PreconditionFailed as conflict:
            if not _names_job(conflict, ref):
                raise
            return
        log.info("job %s cancelled", ref)
        self.jobs.cache_final(ref, final)


def _status_response(ref: str, status: JobStatus) -> Response:
    return job_response(200, ref, status.stage, status.done, status.running)


def _names_job(conflict: PreconditionFailed, ref: str) -> bool:
    """Return whether a precondition on the job failed, not only that on this controller's lease."""
    return any(key.endswith("/" + ref) for key in conflict.failed)
