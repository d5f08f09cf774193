"""The audit history of a duty: a ring buffer of size-limited pages in the key-value store.

An event is written in the same transaction as the change that it describes, so the history matches
the changes exactly. The newest page overwrites the oldest. Each page has its number and the number
of events before it, so the remaining pages show how many events were overwritten.
"""

import asyncio
from collections.abc import Sequence
from enum import StrEnum

import msgspec
from msgspec import Struct

from basaltlead.clients.codec import encode
from basaltlead.duties.model import Duty, GrantHolder
from basaltlead.errors import PreconditionFailed, RequestFailed, Unavailable
from basaltlead.runtime.clock import wall_us
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import HISTORY
from basaltlead.wire.store import Drop, Precondition, Put

RING_PAGES = 64  # for each duty
MAX_NAMES_PER_EVENT = 8  # machines that an event lists by name; the others are only counted
PAGE_ENVELOPE_BYTES = 64  # reserved in a page in addition to its encoded events
MAX_COMMIT_ATTEMPTS = 3  # for a transaction that fails only because the page has changed


class Action(StrEnum):
    """The actions of duty holders, as stored and shown to operators. Clean-up stores free text."""

    ACQUIRED = "taken up"
    RENTED = "rented"
    NO_CAPACITY = "no capacity"
    RETURNED = "returned"
    REFUSED = "refused"
    ADOPTED = "adopted"
    TO_BE_RETURNED = "to be returned"


class Event(Struct, omit_defaults=True):
    """An action of a duty's holder."""

    at: int  # Unix time in microseconds
    token: int  # fencing token of the holder's grant
    holder: str
    action: str
    about: str = ""  # name of the executed intent
    since: int = 0  # Unix time in microseconds when that intent was recorded; 0 without one
    count: int = 0  # machines or rows
    names: list[str] = []  # the first MAX_NAMES_PER_EVENT machines

    @staticmethod
    def of(action: str, about: str = "", since: int = 0, names: Sequence[str] = ()) -> "Event":
        """An event about machines. `History.commit` adds time, token and holder."""
        return Event(0, 0, "", action, about, since, len(names), list(names[:MAX_NAMES_PER_EVENT]))

    @staticmethod
    def of_rows(action: str, count: int) -> "Event":
        """An event about a number of rows. `History.commit` adds time, token and holder."""
        return Event(0, 0, "", action, count=count)


class HistoryPage(Struct):
    """Consecutive events of one duty."""

    number: int  # counted from the duty's first page, without wrapping around
    first: int  # number of events before this page
    events: list[Event]


def page_key(duty: Duty, number: int) -> str:
    """The key of the ring slot that a page is stored in."""
    return f"{HISTORY}{duty}/{number % RING_PAGES:03d}"


class History:
    """Writes the history of one duty on behalf of its current holder."""

    def __init__(
        self,
        store: KeyValueStore,
        holder: GrantHolder,
        duty: Duty,
        controller: str,
        fencing_token: int,
    ) -> None:
        self.store = store
        self.holder = holder
        self.duty = duty
        self.controller = controller
        self.fencing_token = fencing_token
        self.page = HistoryPage(0, 0, [])  # the newest page
        self.versions: dict[str, int] = {}  # of the ring's keys
        # Every event changes the newest page, so concurrent commits would conflict.
        self.commit_lock = asyncio.Lock()

    async def load(self) -> None:
        """Read the ring and continue with its newest page. Raises ServiceError."""
        rows, _ = await self.store.rows(f"{HISTORY}{self.duty}/")
        self.versions = {row.key: row.version for row in rows}
        pages = [msgspec.json.decode(row.value, type=HistoryPage) for row in rows]
        self.page = max(pages, key=lambda page: page.number, default=HistoryPage(0, 0, []))

    async def commit(
        self,
        preconditions: list[Precondition],
        changes: Sequence[Put | Drop],
        event: Event,
        low_priority: bool = False,
    ) -> None:
        """Make the changes under the holder's grant, in one transaction with the event.

        Raises PreconditionFailed if the grant is lost or a given precondition does not hold,
        Unavailable if the page changed during every attempt, and other errors of the store.
        """
        event = msgspec.structs.replace(
            event, at=wall_us(), token=self.fencing_token, holder=self.controller
        )
        async with self.commit_lock:
            for _ in range(MAX_COMMIT_ATTEMPTS):
                if await self._commit_once(preconditions, changes, event, low_priority):
                    return
        raise Unavailable(f"history of duty {self.duty}: its page changed at each attempt")

    async def _commit_once(
        self,
        preconditions: list[Precondition],
        changes: Sequence[Put | Drop],
        event: Event,
        low_priority: bool,
    ) -> bool:
        """Try the transaction. False if it failed only because the local page was outdated."""
        page = self._page_with(event)
        key = page_key(self.duty, page.number)
        page_unchanged = Precondition(key, self.versions.get(key, 0))
        try:
            version = await self.store.compare_and_swap(
                [*self.holder.preconditions(), *preconditions, page_unchanged],
                [*changes, Put(key, page)],
                low_priority,
            )
        except PreconditionFailed as conflict:
            if key in conflict.failed:
                await self.load()
            if conflict.failed != [key]:
                raise
            return False
        except RequestFailed as error:
            if error.sent:  # it may have been executed, which changes the page's version
                await self.load()
            raise
        self.page, self.versions[key] = page, version
        return True

    def _page_with(self, event: Event) -> HistoryPage:
        """The newest page with the event appended, or a new page if it would become too large."""
        page = HistoryPage(self.page.number, self.page.first, [*self.page.events, event])
        if len(encode(page)) + PAGE_ENVELOPE_BYTES <= self.store.limits.value_bytes:
            return page
        return HistoryPage(page.number + 1, page.first + len(self.page.events), [event])
