"""The machine types of the cloud, and their copy in the key-value store."""

import asyncio
from collections.abc import Callable

import msgspec

from basaltlead.clients.backoff import Backoff
from basaltlead.clients.cloud import Cloud
from basaltlead.clients.codec import encode
from basaltlead.cluster.membership import Membership
from basaltlead.core.jobs import MachineType
from basaltlead.errors import RequestFailed, ServiceError, Unavailable
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.records import TYPES, machine_type_of
from basaltlead.wire.cloud import MachineTypeInfo, MachineTypeList
from basaltlead.wire.store import Put

LEADER_PAUSE_S = 30.0  # between two questions to the cloud; prices move
STANDBY_PAUSE_S = 180.0
PAGE_PREFIX = TYPES + "/"
PAGE_ENVELOPE = 64  # bytes of a page beside its types


class TypesPage(msgspec.Struct, rename={"types": "Grades"}):
    """Some of the types, where one value can't hold them all."""

    types: list[MachineTypeInfo]
    pages: int


def pages_of(types: list[MachineTypeInfo], value_bytes: int) -> list[list[MachineTypeInfo]]:
    """Divide the types so that each page fits into a value."""
    pages: list[list[MachineTypeInfo]] = [[]]
    used = PAGE_ENVELOPE
    for one in types:
        size = len(encode(one)) + 1
        if pages[-1] and used + size > value_bytes:
            pages.append([])
            used = PAGE_ENVELOPE
        pages[-1].append(one)
        used += size
    return pages


class MachineTypeCatalog:
    """Keeps `machine_types` up to date from the cloud, or from the key-value store while the cloud
    fails."""

    def __init__(
        self,
        cloud: Cloud,
        store: KeyValueStore,
        membership: Membership,
        machine_types: dict[str, MachineType],
        leads_shard: Callable[[], bool],
    ) -> None:
        self.cloud = cloud
        self.store = store
        self.membership = membership
        self.machine_types = machine_types
        self.leads_shard = leads_shard
        self.stored: set[str] = set()  # names of the types that we have written

    async def follow(self) -> None:
        """Ask the cloud for its types and their present prices, for ever."""
        backoff = Backoff(200_000, 2_000_000, self.membership.chance)
        while True:
            try:
                types = await self.cloud.types()
                for machine_type in map(machine_type_of, types):
                    self.machine_types[machine_type.name] = machine_type
                backoff.reset()
                await self._store(types)
                await asyncio.sleep(LEADER_PAUSE_S if self.leads_shard() else STANDBY_PAUSE_S)
            except ServiceError as fault:
                log.info("machine types: %s", fault)
                await self._load()
                await backoff.wait()

    async def _store(self, types: list[MachineTypeInfo]) -> None:
        """Whoever starts while the cloud is in trouble finds the types in the key-value store."""
        names = {one.name for one in types}
        if not self.leads_shard() or names == self.stored:
            return
        pages = pages_of(types, self.store.limits.value_bytes)
        try:
            if len(pages) == 1:
                await self._put(TYPES, MachineTypeList(types))
            else:
                for number, page in enumerate(pages):
                    await self._put(f"{PAGE_PREFIX}{number}", TypesPage(page, len(pages)))
            self.stored = names
        except ServiceError as fault:
            log.debug("storing types: %s", fault)

    async def _put(self, key: str, value: MachineTypeList | TypesPage) -> None:
        await self.store.compare_and_swap([self.membership.precondition()], [Put(key, value)])

    async def _load(self) -> None:
        """Read what is stored. Some of several pages are not enough: a job that fits only a type
        on another page would be refused for good."""
        if self.machine_types:
            return
        try:
            row = await self.store.get(TYPES)
            if row is not None:
                types = msgspec.json.decode(row.value, type=MachineTypeList).types
            else:
                rows, _ = await self.store.rows(PAGE_PREFIX)
                pages = [msgspec.json.decode(one.value, type=TypesPage) for one in rows]
                if not pages or len(pages) < max(page.pages for page in pages):
                    return
                types = [one for page in pages for one in page.types]
        except (RequestFailed, Unavailable):
            return
        for machine_type in map(machine_type_of, types):
            self.machine_types.setdefault(machine_type.name, machine_type)
