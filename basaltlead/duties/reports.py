"""Reports about the duties for operators.

Each report is read from the key-value store, so every controller gives the same one, or an error
if it can't read the store.
"""

from collections.abc import Iterable

import msgspec

from basaltlead.cluster.membership import Membership
from basaltlead.cluster.versions import duties_allowed
from basaltlead.core.cluster_view import PREFIX, ClusterView
from basaltlead.duties.model import Duty
from basaltlead.errors import ServiceError
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import HISTORY, SCALE_IN, SCALE_OUT, StoredScaleIn, StoredScaleOut
from basaltlead.wire.peers import (
    DutiesRequest,
    DutiesResponse,
    HeldDuty,
    HistoryResponse,
    OpenIntent,
    OperatorRequest,
    OperatorResponse,
)
from basaltlead.wire.store import Row

MAX_INTENTS = 500  # the oldest ones, in one response


class DutyReports:
    """Responds to the requests of operators."""

    def __init__(self, store: KeyValueStore, membership: Membership) -> None:
        self.store = store
        self.membership = membership

    async def respond(self, request: OperatorRequest) -> OperatorResponse:
        """The response to a request; it contains an error text if the store can't be read."""
        response_type = DutiesResponse if isinstance(request, DutiesRequest) else HistoryResponse
        if self.membership.store_unreachable:
            return response_type("the state service does not answer")
        try:
            if isinstance(request, DutiesRequest):
                return await self._duties()
            return await self._history_page(request.after)
        except ServiceError as error:
            return response_type(str(error))

    async def _duties(self) -> DutiesResponse:
        cluster = ClusterView()
        rows, _ = await self.store.rows(PREFIX)
        for row in rows:
            cluster.put(row.key, row.value, row.version)
        scale_outs, _ = await self.store.rows(SCALE_OUT)
        scale_ins, _ = await self.store.rows(SCALE_IN)
        intents = sorted(
            [*_open_scale_outs(scale_outs), *_open_scale_ins(scale_ins)],
            key=lambda intent: intent.since,
        )
        return DutiesResponse(
            granted=duties_allowed(cluster),
            duties=[_held_duty(cluster, duty) for duty in Duty],
            intents=intents[:MAX_INTENTS],
            open_count=len(intents),
        )

    async def _history_page(self, after: str) -> HistoryResponse:
        page = await self.store.page(HISTORY, since=after, limit=1)
        if not page.rows:
            return HistoryResponse()
        return HistoryResponse(key=page.rows[0].key, page=page.rows[0].value)


def _held_duty(cluster: ClusterView, duty: Duty) -> HeldDuty:
    held = cluster.grants.get(duty.key)
    if held is None:
        return HeldDuty(duty, "", 0, 0)
    grant = held.value
    holder = cluster.holder(duty.key)
    if holder is None:
        return HeldDuty(duty, "", grant.fencing_token, 0)
    since = grant.granted_at if isinstance(grant.granted_at, int) else 0
    return HeldDuty(duty, holder, grant.fencing_token, since)


def _open_scale_outs(rows: Iterable[Row]) -> Iterable[OpenIntent]:
    for row in rows:
        scale_out = msgspec.json.decode(row.value, type=StoredScaleOut)
        if scale_out.names is not None:
            continue
        name = row.key[len(SCALE_OUT) :]
        refused = scale_out.refused if isinstance(scale_out.refused, str) else ""
        yield OpenIntent(Duty.RENT, name, scale_out.number, scale_out.at, refused)


def _open_scale_ins(rows: Iterable[Row]) -> Iterable[OpenIntent]:
    for row in rows:
        scale_in = msgspec.json.decode(row.value, type=StoredScaleIn)
        name = row.key[len(SCALE_IN) :]
        yield OpenIntent(Duty.RETURN, name, len(scale_in.names), scale_in.at, scale_in.refused)
