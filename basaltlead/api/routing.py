"""Routes requests to the parts of a controller."""

from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from basaltlead.api.responses import error_response
from basaltlead.api.users import JOBS_PATH, UserApi
from basaltlead.clients.codec import encode
from basaltlead.cluster.membership import Membership
from basaltlead.net.http.messages import GET, POST, Request, Response
from basaltlead.runtime.clock import now_us
from basaltlead.runtime.logs import LogRateLimiter, log
from basaltlead.shard.assignment import ShardAssigner
from basaltlead.shard.registry import ShardRegistry
from basaltlead.wire.workers import Heartbeat, Redirect

HEARTBEAT_PATH = "/agent/beat"
HEALTH_PATH = "/healthz"

heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


class HeartbeatApi:
    """Passes heartbeats to the leader of the worker's shard, or redirects the worker to it."""

    def __init__(
        self, registry: ShardRegistry, assigner: ShardAssigner, membership: Membership
    ) -> None:
        self.registry = registry
        self.assigner = assigner
        self.membership = membership
        self._log_limiter = LogRateLimiter()

    def handle(self, body: bytes) -> Response:
        """Respond to a heartbeat with 200 from the local shard leader, 421 with the name of the
        leader's controller, or 503 if the leader is not known."""
        try:
            heartbeat = heartbeat_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            if self._log_limiter.allow(now_us()):
                log.info("rejected a malformed heartbeat: %s", error)
            return error_response(400, "malformed report")
        number = self.assigner.shard_of(heartbeat.machine) or 0
        leader = self.registry.leaders.get(number)
        if leader is not None:
            response = leader.heartbeat(heartbeat)
            if response is not None:
                return response
        other = self.membership.shard_leader(number)
        if other is None or other == self.membership.name:
            return error_response(503, "no owner known")
        return Response(421, encode(Redirect(other)))


class Router:
    """Routes requests to the users' interface, the heartbeat interface and the health check."""

    def __init__(
        self, user_api: UserApi, heartbeat_api: HeartbeatApi, is_healthy: Callable[[], bool]
    ) -> None:
        self.user_api = user_api
        self.heartbeat_api = heartbeat_api
        self.is_healthy = is_healthy

    def handle(self, request: Request) -> "Response | Coroutine[Any, Any, Response]":
        """Handle any request."""
        path = request.path
        if path == HEARTBEAT_PATH:
            if request.method != POST:
                return error_response(405, "use POST")
            return self.heartbeat_api.handle(request.body)
        if path == HEALTH_PATH:
            if request.method != GET:
                return error_response(405, "use GET")
            return Response(200, b"{}") if self.is_healthy() else error_response(503, "not ready")
        if path == JOBS_PATH or path.startswith(f"{JOBS_PATH}/"):
            return self.user_api.handle(request)
        return error_response(404, "no such path")
