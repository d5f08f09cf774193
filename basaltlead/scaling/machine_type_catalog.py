"""The cloud's machine types with their prices, and a copy of them in the key-value store.

Controllers that start while the cloud fails read the copy.
"""

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

LEADER_PAUSE_S = 30.0  # between two reads by a controller that leads a shard: prices change
STANDBY_PAUSE_S = 180.0  # the same for one that leads none
SHORTEST_RETRY_US = 200_000
LONGEST_RETRY_US = 2_000_000
PAGE_PREFIX = TYPES + "/"
PAGE_ENVELOPE_BYTES = 64  # of a page, in addition to its types


class TypesPage(msgspec.Struct, rename={"types": "Grades"}):
    """Some of the machine types, if one value of the store can't hold them all.

    `pages` is how many pages there are.
    """

    types: list[MachineTypeInfo]
    pages: int


def pages_of(types: list[MachineTypeInfo], value_bytes: int) -> list[list[MachineTypeInfo]]:
    """Divide machine types into pages that fit into values of `value_bytes`."""
    pages: list[list[MachineTypeInfo]] = [[]]
    used = PAGE_ENVELOPE_BYTES
    for machine_type in types:
        size = len(encode(machine_type)) + 1  # with a comma
        if pages[-1] and used + size > value_bytes:
            pages.append([])
            used = PAGE_ENVELOPE_BYTES
        pages[-1].append(machine_type)
        used += size
    return pages


class MachineTypeCatalog:
    """Keeps `machine_types`, by name, up to date for all parts of a controller."""

    def __init__(
        self,
        cloud: Cloud,
        store: KeyValueStore,
        membership: Membership,
        machine_types: dict[str, MachineType],
        leads_shard: Callable[[], bool],
    ) -> None:
        """`leads_shard` returns whether this controller leads any shard now."""
        self.cloud = cloud
        self.store = store
        self.membership = membership
        self.machine_types = machine_types
        self.leads_shard = leads_shard
        self.stored: set[str] = set()  # names of the types that this process has written

    async def follow(self) -> None:
        """Read the types and their present prices again and again; never returns."""
        backoff = Backoff(SHORTEST_RETRY_US, LONGEST_RETRY_US, self.membership.rng)
        while True:
            try:
                types = await self.cloud.types()
                for machine_type in map(machine_type_of, types):
                    self.machine_types[machine_type.name] = machine_type
                backoff.reset()
                await self._store(types)
                await asyncio.sleep(LEADER_PAUSE_S if self.leads_shard() else STANDBY_PAUSE_S)
            except ServiceError as fault:
                log.info("machine types not read from the cloud: %s", fault)
                await self._load()
                await backoff.wait()

    async def _store(self, types: list[MachineTypeInfo]) -> None:
        """Store the types for controllers that start while the cloud fails.

        Only controllers that lead a shard do so, and only if there are other types than they have
        stored before: prices alone are not worth a write.
        """
        names = {machine_type.name for machine_type in types}
        if not self.leads_shard() or names == self.stored:
            return
        pages = pages_of(types, self.store.limits.value_bytes)
        try:
            if len(pages) == 1:
                await self._put(TYPES, MachineTypeList(types))
            else:
                for number, page in enumerate(pages):
                    await self._put(f"{PAGE_PREFIX}{number}", TypesPage(page, len(pages)))
        except ServiceError as fault:
            log.debug("machine types not stored: %s", fault)
        else:
            self.stored = names

    async def _put(self, key: str, value: MachineTypeList | TypesPage) -> None:
        await self.store.compare_and_swap([self.membership.precondition()], [Put(key, value)])

    async def _load(self) -> None:
        """Take the stored types if none are known so far."""
        if self.machine_types:
            return
        try:
            types = await self._stored_types()
        except (RequestFailed, Unavailable) as fault:
            log.debug("stored machine types not read: %s", fault)
            return
        for machine_type in map(machine_type_of, types):
            self.machine_types.setdefault(machine_type.name, machine_type)

    async def _stored_types(self) -> list[MachineTypeInfo]:
        """The stored types; none if a page is missing.

        Some of several pages are not enough: a job that fits only a type on another page would be
        refused for good.
        """
        row = await self.store.get(TYPES)
        if row is not None:
            return msgspec.json.decode(row.value, type=MachineTypeList).types
        rows, _ = await self.store.rows(PAGE_PREFIX)
        pages = [msgspec.json.decode(row.value, type=TypesPage) for row in rows]
        if not pages or len(pages) < max(page.pages for page in pages):
            return []
        return [machine_type for page in pages for machine_type in page.types]
