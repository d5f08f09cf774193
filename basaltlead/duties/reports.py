"""What a controller tells operators of the duties. It reads the state service for each answer, so
every controller gives the same one, or says that it does not know."""

from collections.abc import Iterable

import msgspec

from basaltlead.clients.state import TROUBLE, State
from basaltlead.core.leadership import PREFIX, Claim, Grant, member_key
from basaltlead.duties.model import Duty
from basaltlead.membership import Membership
from basaltlead.records import HIRE, HISTORY, RETURN, StoredHire, StoredReturn
from basaltlead.upgrade import DUTIES
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
        unknown = ""
        if self.member.cut_off:
            unknown = "the state service does not answer"
        try:
            if isinstance(question, DutiesQuestion):
                return DutiesAnswer(unknown) if unknown else await self._duties()
            return HistoryAnswer(unknown) if unknown else await self._page(question.after)
        except TROUBLE as fault:
            unknown = str(fault)
        is_duties = isinstance(question, DutiesQuestion)
        return DutiesAnswer(unknown) if is_duties else HistoryAnswer(unknown)

    async def _duties(self) -> DutiesAnswer:
        cluster = {row.key: row for row in (await self.state.rows(PREFIX))[0]}
        hires, _ = await self.state.rows(HIRE)
        returns, _ = await self.state.rows(RETURN)
        intents = sorted([*_open_hires(hires), *_open_returns(returns)], key=lambda one: one.since)
        return DutiesAnswer(
            granted=_granted(cluster.values()),
            duties=[_held(cluster, duty) for duty in Duty],
            intents=intents[:MOST_INTENTS],
            open_count=len(intents),
        )

    async def _page(self, after: str) -> HistoryAnswer:
        page = await self.state.page(HISTORY, since=after, most=1)
        if not page.rows:
            return HistoryAnswer()
        return HistoryAnswer(key=page.rows[0].key, page=page.rows[0].value)


def _granted(rows: Iterable[Row]) -> bool:
    members = [r for r in rows if r.key.startswith(member_key(""))]
    versions = [msgspec.json.decode(row.value, type=Claim).version for row in members]
    return bool(versions) and min(versions) >= DUTIES


def _held(cluster: dict[str, Row], duty: Duty) -> HeldDuty:
    row = cluster.get(duty.key)
    if row is None:
        return HeldDuty(duty, "", 0, 0)
    grant = msgspec.json.decode(row.value, type=Grant)
    member = cluster.get(member_key(grant.name))
    lives = (
        member is not None
        and msgspec.json.decode(member.value, type=Claim).incarnation == grant.incarnation
    )
    since = grant.granted_at if isinstance(grant.granted_at, int) else 0
    return HeldDuty(duty, grant.name if lives else "", grant.fencing_token, since if lives else 0)


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
