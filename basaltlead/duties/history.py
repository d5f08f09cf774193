"""What the holders of a duty did, kept in the key-value store in a ring of pages of bounded size.

An event is written in the transaction that records what was done, so the history shows neither
more nor less than that. The oldest page is overwritten; the numbers of the pages that are left
tell where the history was cut.
"""

import asyncio
from collections.abc import Sequence

import msgspec
from msgspec import Struct

from basaltlead.clients.codec import encode
from basaltlead.duties.model import Duty, GrantHolder
from basaltlead.errors import PreconditionFailed, RequestFailed, Unavailable
from basaltlead.runtime.clock import wall_us
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import HISTORY
from basaltlead.wire.store import Drop, Precondition, Put

PAGES = 64  # of each duty's ring
MOST_NAMES = 8  # of machines that an event lists; the others are counted
PAGE_ENVELOPE = 64  # bytes of a page beside its events
MOST_TRIES = 3  # of a transaction that only finds the page changed


class Event(Struct, omit_defaults=True):
    """One thing that a duty's holder did."""

    at: int  # time of day
    token: int  # fencing token of the grant
    holder: str
    action: str
    about: str = ""  # the intent that was carried out
    since: int = 0  # time of day at which that was recorded
    count: int = 0  # of machines or rows
    names: list[str] = []


class HistoryPage(Struct):
    """Some events; `number` counts the pages of a duty from its first."""

    number: int
    first: int  # how many events came before this page's
    events: list[Event]


def page_key(duty: Duty, number: int) -> str:
    """Where a page stands in its duty's ring."""
    return f"{HISTORY}{duty}/{number % PAGES:03d}"


class History:
    """The history of one duty, as its holder writes it."""

    def __init__(
        self, store: KeyValueStore, holder: GrantHolder, duty: Duty, name: str, token: int
    ) -> None:
        self.store = store
        self.holder = holder
        self.duty = duty
        self.name = name
        self.token = token
        self.page = HistoryPage(0, 0, [])
        self.versions: dict[str, int] = {}
        self.line = asyncio.Lock()  # every event changes the same page

    async def load(self) -> None:
        """Go on where the last holder stopped."""
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
        """One transaction under the holder's grant, with the event that tells of it."""
        event.at, event.token, event.holder = wall_us(), self.token, self.name
        event.names = event.names[:MOST_NAMES]
        async with self.line:
            for _ in range(MOST_TRIES):
                if await self._try(preconditions, changes, event, low_priority):
                    return
        raise Unavailable("history changed under us")

    async def _try(
        self,
        preconditions: list[Precondition],
        changes: Sequence[Put | Drop],
        event: Event,
        low_priority: bool,
    ) -> bool:
        """False if only our picture of the page was old."""
        page = self._with(event)
        key = page_key(self.duty, page.number)
        known = Precondition(key, self.versions.get(key, 0))
        try:
            version = await self.store.compare_and_swap(
                [*self.holder.preconditions(), *preconditions, known],
                [*changes, Put(key, page)],
                low_priority,
            )
        except PreconditionFailed as conflict:
            if key in conflict.failed:
                await self.load()
            if conflict.failed != [key]:
                raise
            return False
        except RequestFailed as fault:
            if fault.sent:  # it may have been executed
                await self.load()
            raise
        self.page, self.versions[key] = page, version
        return True

    def _with(self, event: Event) -> HistoryPage:
        """The page with one more event, or the next page."""
        page = HistoryPage(self.page.number, self.page.first, [*self.page.events, event])
        if len(encode(page)) + PAGE_ENVELOPE <= self.store.limits.value_bytes:
            return page
        return HistoryPage(page.number + 1, page.first + len(self.page.events), [event])


def event(action: str, about: str = "", since: int = 0, names: Sequence[str] = ()) -> Event:
    """An event that is about to be committed."""
    return Event(0, 0, "", action, about, since, len(names), list(names))
