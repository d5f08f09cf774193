"""The session lease of this process: its creation and renewal, and until when it is provably valid.

A session is the time from joining the cluster with a new lease until that lease is given up. Each
session has an incarnation of its own.
"""

import asyncio
from collections.abc import Callable

from basaltlead.clients.backoff import Backoff
from basaltlead.core.cluster_view import MemberRecord, member_key, session_validity_end
from basaltlead.errors import ServiceError, SessionLeaseExpired
from basaltlead.runtime.clock import now_us, rng
from basaltlead.runtime.logs import log
from basaltlead.storage.client import KeyValueStore
from basaltlead.wire.store import Precondition, Put

MAX_RENEWAL_TIMEOUT_US = 1_500_000  # after that a renewal is retried
MIN_RETRY_DELAY_US = 200_000  # short, since users are refused without a lease
MAX_RETRY_DELAY_US = 600_000
INCARNATION_BITS = 48


class SessionLeaseKeeper:
    """Keeps the session lease alive, and tracks until when it is provably valid.

    Every action that depends on the lease must check `holds_valid_lease` immediately before it
    (test_session_validity_ends_before_the_session_lease_on_any_clock,
    test_queued_command_is_not_sent_after_the_session_lease_has_ended).
    """

    def __init__(
        self,
        name: str,
        store: KeyValueStore,
        ttl_us: int,
        record_version: int,
        on_joined: Callable[[MemberRecord, int], None],
        on_left: Callable[[], None],
    ) -> None:
        """`on_joined` is called with the member record and its version once there is a new lease,
        `on_left` once a lease is given up."""
        self.name = name
        self.store = store
        self.ttl_us = ttl_us
        self.record_version = record_version
        self.on_joined = on_joined
        self.on_left = on_left
        self.incarnation = ""
        self.lease_id = 0  # of the lease in the key-value store
        self.version = 0  # of our member key; 0 without a session
        self.renewed_until = 0  # until when the lease is provably valid by its last renewal
        self.deferred_until = 0  # until when all peers have deferred our replacement
        self.last_contact_at = 0  # when the store last responded, see `note_contact`

    @property
    def holds_valid_lease(self) -> bool:
        """Whether an action at this moment is provably covered by the lease or by deferrals."""
        now = now_us()
        return self.version > 0 and (now < self.renewed_until or now < self.deferred_until)

    @property
    def valid_until(self) -> int:
        """The end of the validity that is known so far."""
        return max(self.renewed_until, self.deferred_until)

    @property
    def partitioned(self) -> bool:
        """Whether the key-value store has not responded for a third of a session lease. Deferrals
        are requested from then on."""
        return now_us() - self.last_contact_at > self.ttl_us // 3

    @property
    def store_unreachable(self) -> bool:
        """Whether the key-value store has not responded for a session lease: requests of users that
        need it are then rejected without asking it."""
        return now_us() - self.last_contact_at > self.ttl_us

    def member_record(self) -> MemberRecord:
        """The value of our member key and, while we are the leader, of the key `c/leader`."""
        return MemberRecord(self.name, self.incarnation, self.record_version)

    def precondition(self) -> Precondition:
        """The precondition of every write that depends on the lease: our member key has not changed
        since we joined."""
        return Precondition(member_key(self.name), self.version)

    def note_contact(self) -> None:
        """Record a successful response of the key-value store at this moment."""
        self.last_contact_at = now_us()

    def defer_until(self, until: int) -> None:
        """Record until when all peers have deferred our replacement."""
        self.deferred_until = until

    async def keep(self) -> None:
        """Join, renew the session lease, and rejoin whenever it is lost; never returns."""
        backoff = Backoff(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, rng)
        while True:
            try:
                if not self.version:
                    await self._join()
                    backoff.reset()
                sent = now_us()
                await self.store.renew_lease(
                    self.lease_id, min(MAX_RENEWAL_TIMEOUT_US, self.ttl_us // 4)
                )
                self.renewed_until = session_validity_end(sent, self.ttl_us)
                self.note_contact()
                backoff.reset()
                await asyncio.sleep(self.ttl_us / 6e6)
            except SessionLeaseExpired:
                log.info("session lease expired, rejoining")
                self.leave()
            except ServiceError as error:
                log.debug("session lease not renewed: %s", error)
                await backoff.wait()

    def leave(self) -> None:
        """Give up the lease: no action that depends on it is allowed any more."""
        self.version = 0
        self.renewed_until = self.deferred_until = 0
        self.incarnation = ""
        self.on_left()

    async def _join(self) -> None:
        """Create a lease and write our member key with it."""
        sent = now_us()
        lease_id = await self.store.create_lease(self.ttl_us)
        old = await self.store.get(member_key(self.name))
        incarnation = f"{rng.getrandbits(INCARNATION_BITS):012x}"
        member_record = MemberRecord(self.name, incarnation, self.record_version)
        # Conditional on the version that was read, so that a delayed copy of this request from an
        # earlier incarnation can't overwrite the record of a later one.
        version = await self.store.compare_and_swap(
            [Precondition(member_key(self.name), old.version if old else 0)],
            [Put(member_key(self.name), member_record, lease_id)],
        )
        self.lease_id, self.incarnation, self.version = lease_id, incarnation, version
        self.renewed_until = session_validity_end(sent, self.ttl_us)
        self.note_contact()
        log.info("joined as %s/%s, version %d", self.name, incarnation, self.record_version)
        self.on_joined(member_record, version)
