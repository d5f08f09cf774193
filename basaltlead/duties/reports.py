"""What a controller tells operators of the duties. It reads the state service for each answer, so
every controller gives the same one, or says that it does not know."""

from collections.abc import Iterable

import msgspec

from basaltlead.cluster.membership import Membership
from basaltlead.cluster.versions import duties_allowed
from basaltlead.core.cluster_view import PREFIX, Cluster
from basaltlead.duties.model import Duty
from basaltlead.storage.client import TROUBLE, State
from basaltlead.storage.records import HIRE, HISTORY, RETURN, StoredHire, StoredReturn
from basaltlead.wire.peers import (
    Answer,
    DutiesAnswer,
    DutiesQuestion,
    HeldDuty,
    HistoryAnswer,
    OpenIntent,
    Question,
)
from basaltlead.wire.state import Row

MOST_INTENTS = 500  # in one answer, the oldest


class DutyReports:
    """Answers the questions of operators."""

    def __init__(self, state: State, member: Membership) -> None:
        self.state = state
        self.member = member

    async def answer(self, question: Question) -> Answer:
        """The answer to any question."""
        blank = DutiesAnswer if isinstance(question, DutiesQuestion) else HistoryAnswer
        if self.member.cut_off:
            return blank("the state service does not answer")
        try:
            if isinstance(question, DutiesQuestion):
                return await self._duties()
            return await self._page(question.after)
        except TROUBLE as fault:
            return blank(str(fault))

    async def _duties(self) -> DutiesAnswer:
        cluster = Cluster()
        for row in (await self.state.rows(PREFIX))[0]:
            cluster.put(row.key, row.value, row.version)
        hires, _ = await self.state.rows(HIRE)
        returns, _ = await self.state.rows(RETURN)
        intents = sorted([*_open_hires(hires), *_open_returns(returns)], key=lambda one: one.since)
        return DutiesAnswer(
            granted=duties_allowed(cluster),
            duties=[_held(cluster, duty) for duty in Duty],
            intents=intents[:MOST_INTENTS],
            open_count=len(intents),
        )

    async def _page(self, after: str) -> HistoryAnswer:
        page = await self.state.page(HISTORY, since=after, most=1)
        if not page.rows:
            return HistoryAnswer()
        return HistoryAnswer(key=page.rows[0].key, page=page.rows[0].value)


def _held(cluster: Cluster, duty: Duty) -> HeldDuty:
    held = cluster.grants.get(duty.key)
    if held is None:
        return HeldDuty(duty, "", 0, 0)
    grant, _ = held
    holder = cluster.holder(duty.key)
    if holder is None:
        return HeldDuty(duty, "", grant.fencing_token, 0)
    since = grant.granted_at if isinstance(grant.granted_at, int) else 0
    return HeldDuty(duty, holder, grant.fencing_token, since)


def _open_hires(rows: Iterable[Row]) -> Iterable[OpenIntent]:
    for row in rows:
        hire = msgspec.json.decode(row.value, type=StoredHire)
        if hire.names is None:
            refused = hire.refused if isinstance(hire.refused, str) else ""
            yield OpenIntent("rent", row.key[len(HIRE) :], hire.number, hire.at, refused)


def _open_returns(rows: Iterable[Row]) -> Iterable[OpenIntent]:
    for row in rows:
        one = msgspec.json.decode(row.value, type=StoredReturn)
        name = row.key[len(RETURN) :]
        yield OpenIntent("return", name, len(one.names), one.at, one.refused)
