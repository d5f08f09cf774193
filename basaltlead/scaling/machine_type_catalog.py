"""The cloud's machine types with their prices, and a copy of them in the key-value store.

Controllers that start while the cloud is unavailable read the copy.
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
STANDBY_PAUSE_S = 180.0  # the same for a controller that leads no shard
MIN_RETRY_DELAY_US = 200_000
MAX_RETRY_DELAY_US = 2_000_000
PAGE_PREFIX = TYPES + "/"
PAGE_ENVELOPE_BYTES = 64  # reserved in a page in addition to its types


class MachineTypePage(msgspec.Struct, rename={"types": "Grades"}):
    """A page of machine types, used if one value of the store can't hold all of them.

    `pages` is the total number of pages.
    """

    types: list[MachineTypeInfo]
    pages: int


def paginate_types(types: list[MachineTypeInfo], value_bytes: int) -> list[list[MachineTypeInfo]]:
    """Divide machine types into pages that fit into values of `value_bytes`."""
    pages: list[list[MachineTypeInfo]] = [[]]
    used = PAGE_ENVELOPE_BYTES
    for machine_type in types:
        size = len(encode(machine_type)) + 1  # 1 for the comma
        if pages[-1] and used + size > value_bytes:
            pages.append([])
            used = PAGE_ENVELOPE_BYTES
        pages[-1].append(machine_type)
        used += size
    return pages


class MachineTypeCatalog:
    """Keeps the shared dict `machine_types`, by name, up to date."""

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
        """Read the types and their current prices periodically; never returns."""
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, self.membership.rng)
        while True:
            try:
                types = await self.cloud.types()
                for machine_type in map(machine_type_of, types):
                    self.machine_types[machine_type.name] = machine_type
                backoff.reset()
                await self._store(types)
                await asyncio.sleep(LEADER_PAUSE_S if self.leads_shard() else STANDBY_PAUSE_S)
            except ServiceError as error:
                log.info("machine types not read from the cloud: %s", error)
                await self._load()
                await backoff.wait()

    async def _store(self, types: list[MachineTypeInfo]) -> None:
        """Store the types for controllers that start while the cloud is unavailable.

        Only controllers that lead a shard write them, and only if the set of types has changed
        since their last write. A change of prices alone is not written.
        """
        names = {machine_type.name for machine_type in types}
        if not self.leads_shard() or names == self.stored:
            return
        pages = paginate_types(types, self.store.limits.value_bytes)
        try:
            if len(pages) == 1:
                await self._put(TYPES, MachineTypeList(types))
            else:
                for number, page in enumerate(pages):
                    await self._put(f"{PAGE_PREFIX}{number}", MachineTypePage(page, len(pages)))
        except ServiceError as error:
            log.debug("machine types not stored: %s", error)
        else:
            self.stored = names

    async def _put(self, key: str, value: MachineTypeList | MachineTypePage) -> None:
        await self.store.compare_and_swap([self.membership.precondition()], [Put(key, value)])

    async def _load(self) -> None:
        """Load the stored types if none are known yet."""
        if self.machine_types:
            return
        try:
            types = await self._stored_types()
        except (RequestFailed, Unavailable) as error:
            log.debug("stored machine types not read: %s", error)
            return
        for machine_type in map(machine_type_of, types):
            self.machine_types.setdefault(machine_type.name, machine_type)

    async def _stored_types(self) -> list[MachineTypeInfo]:
        """The stored types; empty if a page is missing.

        An incomplete set of pages can't be used: a job that fits only a type on a missing page
        would be rejected permanently.
        """
        row = await self.store.get(TYPES)
        if row is not None:
            return msgspec.json.decode(row.value, type=MachineTypeList).types
        rows, _ = await self.store.rows(PAGE_PREFIX)
        pages = [msgspec.json.decode(row.value, type=MachineTypePage) for row in rows]
        if not pages or len(pages) < max(page.pages for page in pages):
            return []
        return [machine_type for page in pages for machine_type in page.types]
