"""Communication with the other controllers."""

from collections.abc import Awaitable, Callable

from basaltlead.cluster.cancellation_exchange import CancellationExchange
from basaltlead.cluster.lease_extension import LeaseExtension
from basaltlead.cluster.membership import Membership
from basaltlead.cluster.peer_link import MessageReader
from basaltlead.cluster.peer_server import PeerServer
from basaltlead.config.settings import Settings
from basaltlead.wire.peers import CancellationNotice, OperatorRequest, OperatorResponse


class Peers:
    """The connections to and from all other controllers."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        exchange: CancellationExchange,
        respond_to_operator: Callable[[OperatorRequest], Awaitable[OperatorResponse]],
    ) -> None:
        """`respond_to_operator` returns the response to a request of an operator."""
        reader = MessageReader()
        self.server = PeerServer(settings, membership, reader, exchange, respond_to_operator)
        self.extension = LeaseExtension(settings.known, reader, membership.session, exchange)

    async def serve(self) -> None:
        """Start listening for other controllers and operators."""
        await self.server.serve()

    async def request_deferrals(self) -> None:
        """Request deferrals while the session lease can't be renewed; never returns."""
        await self.extension.request_deferrals()

    def all_peers_partitioned(self) -> bool:
        """Whether some peers have responded recently, and all of them have lost the key-value
        store."""
        return self.extension.all_peers_partitioned()

    def announce_cancellation(self, ref: str) -> None:
        """Announce a cancellation just before it is confirmed to a user.

        This lets a shard leader that can't read the key-value store stop starting tasks of the job.
        Delivery is not guaranteed.
        """
        for link in self.extension.links:
            link.send(CancellationNotice([ref]))
