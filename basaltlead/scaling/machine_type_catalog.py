"""The machine types of the cloud, and their copy in the state service."""

import asyncio
from collections.abc import Callable

import msgspec

from basaltlead.clients.base import Backoff, Unavailable, encode
from basaltlead.clients.cloud import CLOUD_TROUBLE, Cloud
from basaltlead.cluster.membership import Membership
from basaltlead.core.model import Kind
from basaltlead.net.http import Failed
from basaltlead.runtime.logs import log
from basaltlead.storage.client import TROUBLE, State
from basaltlead.storage.records import TYPES, kind_of
from basaltlead.wire.cloud import MachineType, Types
from basaltlead.wire.state import Put

OWNER_PAUSE_S = 30.0  # between two questions to the cloud; prices move
STANDBY_PAUSE_S = 180.0
PAGE_PREFIX = TYPES + "/"
PAGE_ENVELOPE = 64  # bytes of a page beside its types


class TypesPage(msgspec.Struct, rename={"types": "Grades"}):
    """Some of the types, where one value can't hold them all."""

    types: list[MachineType]
    pages: int


def pages_of(types: list[MachineType], value_bytes: int) -> list[list[MachineType]]:
    """Divide the types so that each page fits into a value."""
    pages: list[list[MachineType]] = [[]]
    used = PAGE_ENVELOPE
    for one in types:
        size = len(encode(one)) + 1
        if pages[-1] and used + size > value_bytes:
            pages.append([])
            used = PAGE_ENVELOPE
        pages[-1].append(one)
        used += size
    return pages


class MachineTypes:
    """Keeps `kinds` up to date from the cloud, or from the state service while the cloud fails."""

    def __init__(
        self, cloud: Cloud, state: State, member: Membership, kinds: dict[str, Kind],
        owns: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.cloud = cloud
        self.state = state
        self.member = member
        self.kinds = kinds
        self.owns = owns
        self.stored: set[str] = set()  # names of the types that we have written

    async def follow(self) -> None:
        """Ask the cloud for its types and their present prices, for ever."""
        backoff = Backoff(200_000, 2_000_000, self.member.chance)
        while True:
            try:
                types = await self.cloud.types()
                for kind in map(kind_of, types):
                    self.kinds[kind.name] = kind
                backoff.reset()
                await self._store(types)
                await asyncio.sleep(OWNER_PAUSE_S if self.owns() else STANDBY_PAUSE_S)
            except CLOUD_TROUBLE as fault:
                log.info("machine types: %s", fault)
                await self._load()
                await backoff.rest()

    async def _store(self, types: list[MachineType]) -> None:
        """Whoever starts while the cloud is in trouble finds the types in the state service."""
        names = {one.name for one in types}
        if not self.owns() or names == self.stored:
            return
        pages = pages_of(types, self.state.limits.value_bytes)
        try:
            if len(pages) == 1:
                await self._put(TYPES, Types(types))
            else:
                for number, page in enumerate(pages):
                    await self._put(f"{PAGE_PREFIX}{number}", TypesPage(page, len(pages)))
            self.stored = names
        except TROUBLE as fault:
            log.debug("storing types: %s", fault)

    async def _put(self, key: str, value: Types | TypesPage) -> None:
        await self.state.multi([self.member.guard()], [Put(key, value)])

    async def _load(self) -> None:
        """Read what is stored. Some of several pages are not enough: a job that fits only a type
        on another page would be refused for good."""
        if self.kinds:
            return
        try:
            row = await self.state.get(TYPES)
            if row is not None:
                types = msgspec.json.decode(row.value, type=Types).types
            else:
                rows, _ = await self.state.rows(PAGE_PREFIX)
                pages = [msgspec.json.decode(one.value, type=TypesPage) for one in rows]
                if not pages or len(pages) < max(page.pages for page in pages):
                    return
                types = [one for page in pages for one in page.types]
        except (Failed, Unavailable):
            return
        for kind in map(kind_of, types):
            self.kinds.setdefault(kind.name, kind)
