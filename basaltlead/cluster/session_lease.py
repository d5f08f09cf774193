"""The session lease of this process: how long it is provably valid, and how it is kept."""

import asyncio
from collections.abc import Callable

from basaltlead.clients.backoff import Backoff
from basaltlead.core.cluster_view import Claim, member_key, session_validity_end
from basaltlead.errors import ServiceError, SessionLeaseExpired
from basaltlead.runtime.clock import now_us, rng
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Precondition, Put

LONGEST_RENEWAL_US = 1_500_000  # after that a renewal is tried anew
SHORTEST_RETRY_US = 200_000  # users are refused without a lease, so retries are frequent
LONGEST_RETRY_US = 600_000
INCARNATION_BITS = 48


class SessionLeaseKeeper:
    """Keeps the session lease alive, and knows until when it is provably valid.

    `holds_valid_lease` is the one test that everything that depends on the lease must pass at the
    moment it is done
    (test_session_validity_ends_before_the_session_lease_on_any_clock,
    test_queued_command_is_not_sent_after_the_session_lease_has_ended).
    """

    def __init__(
        self,
        name: str,
        store: KeyValueStore,
        ttl_us: int,
        record_version: int,
        on_joined: Callable[[Claim, int], None],
        on_left: Callable[[], None],
    ) -> None:
        """`on_joined` gets the member record and its version once there is a new lease, `on_left`
        is called once a lease is given up."""
        self.name = name
        self.store = store
        self.ttl_us = ttl_us
        self.record_version = record_version
        self.on_joined = on_joined
        self.on_left = on_left
        self.incarnation = ""
        self.lease = 0  # the store's number of our lease
        self.version = 0  # of our member key; 0: we have not joined
        self.renewed_until = 0  # how long the last renewal provably keeps the lease valid
        self.deferred_until = 0  # how long all peers have deferred our replacement
        self.contact_at = 0  # the last good answer of the key-value store

    @property
    def holds_valid_lease(self) -> bool:
        """Whether an action at this moment is provably covered by the lease or the deferrals."""
        now = now_us()
        return self.version > 0 and (now < self.renewed_until or now < self.deferred_until)

    @property
    def valid_until(self) -> int:
        """The end of the validity as far as it is known now."""
        return max(self.renewed_until, self.deferred_until)

    @property
    def partitioned(self) -> bool:
        """Whether the key-value store has been silent for a third of a lease."""
        return now_us() - self.contact_at > self.ttl_us // 3

    @property
    def cut_off(self) -> bool:
        """Whether the key-value store has not answered for so long that asking it on behalf of a
        user is of no use."""
        return now_us() - self.contact_at > self.ttl_us

    def claim(self) -> Claim:
        """What our member key and, when we lead, the leader's key contain."""
        return Claim(self.name, self.incarnation, self.record_version)

    def precondition(self) -> Precondition:
        """The condition of every write of this process: our member key is still the one that we
        joined with."""
        return Precondition(member_key(self.name), self.version)

    def note_contact(self) -> None:
        """Note that the key-value store has just given a good answer."""
        self.contact_at = now_us()

    def defer_until(self, until: int) -> None:
        """Note until when all peers have deferred our replacement."""
        self.deferred_until = until

    async def keep(self) -> None:
        """Join, renew the session lease, and join anew whenever it is lost; never returns."""
        backoff = Backoff(SHORTEST_RETRY_US, LONGEST_RETRY_US, rng)
        while True:
            try:
                if not self.version:
                    await self._join()
                    backoff.reset()
                sent = now_us()
                await self.store.renew_lease(self.lease, min(LONGEST_RENEWAL_US, self.ttl_us // 4))
                self.renewed_until = session_validity_end(sent, self.ttl_us)
                self.note_contact()
                backoff.reset()
                await asyncio.sleep(self.ttl_us / 6e6)
            except SessionLeaseExpired:
                log.info("session lease lost, joining anew")
                self.leave()
            except ServiceError as fault:
                log.debug("session lease not renewed: %s", fault)
                await backoff.wait()

    def leave(self) -> None:
        """Give up the lease: nothing that depends on it may be done any more."""
        self.version = 0
        self.renewed_until = self.deferred_until = 0
        self.incarnation = ""
        self.on_left()

    async def _join(self) -> None:
        """Create a lease and write our member key with it."""
        sent = now_us()
        lease = await self.store.create_lease(self.ttl_us)
        old = await self.store.get(member_key(self.name))
        incarnation = f"{rng.getrandbits(INCARNATION_BITS):012x}"
        claim = Claim(self.name, incarnation, self.record_version)
        # On condition of what the key held, so that a late copy of this very request from an
        # earlier incarnation can't overwrite the record of a later one.
        version = await self.store.compare_and_swap(
            [Precondition(member_key(self.name), old.version if old else 0)],
            [Put(member_key(self.name), claim, lease)],
        )
        self.lease, self.incarnation, self.version = lease, incarnation, version
        self.renewed_until = session_validity_end(sent, self.ttl_us)
        self.note_contact()
        log.info("joined as %s/%s, version %d", self.name, incarnation, self.record_version)
        self.on_joined(claim, version)
