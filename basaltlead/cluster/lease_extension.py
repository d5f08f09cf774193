"""Extension of the session lease by failover deferrals during an outage of the key-value store.

A shard leader that can't renew its session lease asks every other controller not to replace it for
a short time. Only a controller that has lost the key-value store too grants that, so a shard
leader that alone is partitioned from the store is replaced as usual. A deferral counts from when it
was requested, on the requester's clock, and extends only a lease that is still valid: after the
lease has expired, another controller may lead the shard. A controller that has just started may
have forgotten a deferral, so it waits as long as the longest deferral lasts before it replaces a
shard leader whose lease has expired (see failover_deferrals).
"""

import asyncio
from collections.abc import Iterable

from basaltlead.cluster.cancellation_exchange import MAX_ROUND_TRIP_US, CancellationExchange
from basaltlead.cluster.peer_link import ConfirmedSpan, MessageReader, PeerLink, SentRequest
from basaltlead.cluster.session_lease import SessionLeaseKeeper
from basaltlead.config.settings import Peer
from basaltlead.runtime.clock import now_us
from basaltlead.wire.peers import DeferralRequest, FailoverDeferral


class LeaseExtension:
    """Requests deferrals from all peers, and extends the session lease by what they grant."""

    def __init__(
        self,
        peers: Iterable[Peer],
        reader: MessageReader,
        session: SessionLeaseKeeper,
        exchange: CancellationExchange,
    ) -> None:
        self.session = session
        self.exchange = exchange
        self.links = [PeerLink(peer, reader, self._on_response) for peer in peers]
        self.sequence = 0  # of the last request

    async def request_deferrals(self) -> None:
        """Request deferrals while the session lease can't be renewed; never returns.

        A shard leader needs them to continue. The other controllers request them to stay healthy:
        while the key-value store is unavailable to all, no controller is better than another, and
        the load balancer is slow to use one again that has reported itself unhealthy.
        """
        while True:
            await asyncio.sleep(self.session.ttl_us / 10e6)
            if self.session.partitioned:
                calls = [self._request(link) for link in self.links]
            else:  # keep connections open, so that cancellations can be announced
                calls = [link.connect() for link in self.links]
            await asyncio.gather(*calls, return_exceptions=True)

    def all_peers_partitioned(self) -> bool:
        """Whether some peers have responded recently, and all of them have lost the key-value
        store."""
        recent = now_us() - self.session.ttl_us
        states = [link.state for link in self.links if link.state.answered_at > recent]
        return bool(states) and all(state.partitioned for state in states)

    async def _request(self, link: PeerLink) -> None:
        await link.connect()
        if not link.connected:
            return
        self.sequence += 1
        now, cancellations_as_of = now_us(), self.exchange.cancellations_as_of()
        link.state.note_request(self.sequence, SentRequest(now, cancellations_as_of))
        link.send(
            DeferralRequest(
                self.sequence,
                self.session.name,
                self.session.incarnation,
                span_us=self.session.ttl_us,
                unconfirmed_us=None
                if cancellations_as_of is None
                else max(0, now - cancellations_as_of),
            )
        )

    def _on_response(self, link: PeerLink, deferral: FailoverDeferral) -> None:
        state = link.state
        state.note_response(deferral.partitioned)
        if deferral.incarnation != self.session.incarnation or not self.session.version:
            return  # the response to a request of an earlier incarnation
        request = state.requests.pop(deferral.sequence, None)
        if request is None:
            return
        if deferral.cancelled is not None and request.cancellations_as_of is not None:
            self.exchange.add_reported(deferral.cancelled)
            # A slower peer may not have counted back far enough, see cancellation_exchange.
            if now_us() - request.sent_at <= MAX_ROUND_TRIP_US:
                state.note_confirmed(ConfirmedSpan(request.cancellations_as_of, request.sent_at))
                self._merge_confirmations()
        # Deferrals extend a valid lease; after it has expired another controller may lead the shard
        # (test_deferrals_do_not_extend_an_expired_session_lease).
        if now_us() < self.session.valid_until and deferral.span_us > 0:
            state.note_deferral(request.sent_at, deferral)
            self._extend_lease()

    def _merge_confirmations(self) -> None:
        """Pass on the period for which *all* peers have reported cancellations, once each of them
        has reported for some period."""
        spans = [span for link in self.links if (span := link.state.confirmed_span) is not None]
        if spans and len(spans) == len(self.links):
            self.exchange.on_confirmed(
                max(span.since for span in spans), min(span.until for span in spans)
            )

    def _extend_lease(self) -> None:
        """Extend the lease to the earliest end of the deferrals of all peers. A peer that has
        granted none may replace us, so then the lease is not extended."""
        incarnation = self.session.incarnation
        states = [link.state for link in self.links]
        if states and all(state.deferred_incarnation == incarnation for state in states):
            self.session.defer_until(min(state.deferred_until for state in states))
