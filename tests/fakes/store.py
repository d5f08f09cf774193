"""A fake of the key-value store: serves its protocol from memory."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from basaltlead.net.http.messages import Request, Response
from basaltlead.net.http.server import Server
from tests.fakes.replies import key_of, reply
from tests.simulation import PEER, Loop


class FakeKeyValueStore:
    """Keys, leases and watches, with injected faults.

    It can refuse all hosts or some, delay writes and lose their responses, and limit the rate and
    size of writes.
    """

    HOST = "10.2.0.1"
    ADDRESS = "10.2.0.1:2379"

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, version, lease
        self.change_log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # when it expires, and its TTL, in s
        self.next_lease = 0
        self.down = False
        self.refused_hosts: set[str] = set()  # only these hosts get 503, as in an outage
        # Lists of these prefixes, and reads of keys that begin so, get 503.
        self.unreadable_prefixes: set[str] = set()
        self.refused_reads = 0  # reads answered so
        # By prefix, in s: so much later come the answers to its lists, which are as old then, and
        # those to transactions whose first change is under it.
        self.list_delay_s: dict[str, float] = {}
        self.transaction_delay_s: dict[str, float] = {}
        # This share of the transactions is applied with a delay, and their responses are lost;
        # only transactions that change a key with the prefix are affected.
        self.late_write_share = 0.0
        self.late_by_s = (2.0, 12.0)  # minimum and maximum of the delay
        self.late_key_prefix = ""
        self.corrupt_reply: Callable[[Response], Response] | None = None
        self.on_accept: Callable[[list[dict[str, Any]]], None] = lambda changes: None
        self.keys_changed = asyncio.Event()
        self.writes = 0  # changes applied
        self.requests = 0
        self.value_bytes = 8 * 1024  # maximum size of a value
        self.max_operations = 8  # puts and deletes in one transaction
        self.oversized: list[str] = []  # transactions refused because they exceeded a size limit
        self.write_rps: float | None = None  # changes per second; None for no limit
        self.write_burst_restored_at = 0.0  # when the whole burst is available again
        self.refused_writes = 0  # transactions answered with 429
        self.latency_factor = 1.0  # multiplies the usual latency
        self.rng = random.Random(1)

    async def start(self) -> None:
        """Start the server and the expiry of leases."""
        server = Server(self.handle, 1000)
        await server.start(self.ADDRESS)
        self.loop.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.down:
                continue
            for lease, (until, _) in list(self.leases.items()):
                if self.loop.time() > until:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        expired = [key for key, (_, _, key_lease) in self.keys.items() if key_lease == lease]
        if expired:
            self.revision += 1
            for key in expired:
                del self.keys[key]
                self.change_log.append({"Drop": key, "Stamp": self.revision})
            self._notify_watches()

    def _notify_watches(self) -> None:
        self.keys_changed.set()
        self.keys_changed = asyncio.Event()

    def is_unavailable_to(self, host: str) -> bool:
        """Whether the store is down for all hosts or refuses this one."""
        return self.down or host in self.refused_hosts

    def _is_late(self, body: dict[str, Any]) -> bool:
        keys = [key_of(change) for change in body.get("Apply", [])]
        matches = any(key.startswith(self.late_key_prefix) for key in keys)
        return matches and self.rng.random() < self.late_write_share

    def put(self, key: str, value: Any) -> None:
        """Write a key, as another controller would."""
        self._transact({"Apply": [{"Put": key, "V": value}]})

    def drop(self, *keys: str) -> None:
        """Delete keys in one transaction, as another controller would."""
        self._transact({"Apply": [{"Drop": key} for key in keys]})

    def end_outage(self) -> None:
        """End the outage; all leases restart with their full TTL."""
        self.down = False
        now = self.loop.time()
        self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}

    async def handle(self, request: Request) -> Response:
        """Handle a request; the response is corrupted if a test has set `corrupt_reply`."""
        response = await self._handle(request)
        return response if self.corrupt_reply is None else self.corrupt_reply(response)

    async def _handle(self, request: Request) -> Response:
        latency_s = 0.2 if self.rng.random() < 0.01 else 0.002
        await asyncio.sleep((latency_s if self.latency_factor > 1 else 0.002) * self.latency_factor)
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        path = request.path
        self.requests += 1
        if path == "/changes":
            return await self._watch(query, PEER.get())
        if self.is_unavailable_to(PEER.get()):
            return reply(503, {"error": "trouble"})
        body = json.loads(request.body) if request.body else {}
        if path == "/kv":
            if self._is_unreadable(query["Starts"]):
                return reply(503, {"error": "trouble"})
            listed = self._list(query)
            await asyncio.sleep(self.list_delay_s.get(query["Starts"], 0.0))
            return listed
        if path.startswith("/kv/"):
            if self._is_unreadable(path[4:]):
                return reply(503, {"error": "trouble"})
            found = self.keys.get(path[4:])
            if found is None:
                return reply(404, {"Ledger": self.revision})
            return reply(200, {"Path": path[4:], "V": found[0], "Stamp": found[1]})
        if path == "/multi":
            if self._is_late(body):
                await asyncio.sleep(self.rng.uniform(*self.late_by_s))
                self._transact(body)
                await asyncio.sleep(60)  # past the client's timeout
            answer = self._transact(body)
            await asyncio.sleep(self._delay_of(body))
            return answer
        if path == "/holds":
            self.next_lease += 1
            ttl = body["TtlMs"] / 1000
            self.leases[self.next_lease] = (self.loop.time() + ttl, ttl)
            return reply(200, {"Permit": self.next_lease})
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return reply(404, {"error": "no such lease"})
        ttl = self.leases[lease][1]
        self.leases[lease] = (self.loop.time() + ttl, ttl)
        return reply(200, {})

    def _is_unreadable(self, key: str) -> bool:
        refused = key.startswith(tuple(self.unreadable_prefixes))
        self.refused_reads += refused
        return refused

    def _delay_of(self, body: dict[str, Any]) -> float:
        changes = body.get("Apply", [])
        prefix = key_of(changes[0]).partition("/")[0] + "/" if changes else ""
        return self.transaction_delay_s.get(prefix, 0.0)

    def _list(self, query: dict[str, str]) -> Response:
        limit = int(query.get("Most", "1000"))
        names = sorted(
            k for k in self.keys if k.startswith(query["Starts"]) and k > query.get("Since", "")
        )
        rows = [{"Path": k, "V": self.keys[k][0], "Stamp": self.keys[k][1]} for k in names[:limit]]
        return reply(200, {"Rows": rows, "HasNext": len(names) > limit, "Ledger": self.revision})

    def _within_rate(self, changes: int) -> bool:
        """Whether so many changes are within `write_rps`, with a burst of one second's changes."""
        if self.write_rps is None:
            return True
        restored_at = max(self.write_burst_restored_at, self.loop.time()) + changes / self.write_rps
        if restored_at - self.loop.time() > 1.0:
            return False
        self.write_burst_restored_at = restored_at
        return True

    def _exceeded_limit(self, body: dict[str, Any]) -> str:
        """Return the size limit that a transaction exceeds, or an empty string."""
        changes = body.get("Apply", [])
        values = [json.dumps(c["V"], separators=(",", ":")) for c in changes if "Put" in c]
        if max(map(len, values), default=0) > self.value_bytes:
            return f"value of {max(map(len, values))} bytes: {[c.get('Put') for c in changes]}"
        if (
            len(changes) > self.max_operations
            or len(body.get("Guards", [])) > 4 * self.max_operations
        ):
            return f"{len(changes)} changes, {len(body.get('Guards', []))} guards"
        return "over 64 KiB" if len(json.dumps(body)) > 64 * 1024 else ""

    def _transact(self, body: dict[str, Any]) -> Response:
        if not self._within_rate(len(body.get("Apply", []))):
            self.refused_writes += 1
            return reply(429, {"error": "too many"})
        excess = self._exceeded_limit(body)
        if excess:
            self.oversized.append(excess)
            return reply(400, {"error": excess})
        failed = [
            precondition["Path"]
            for precondition in body.get("Guards", [])
            if self.keys.get(precondition["Path"], (None, 0, None))[1] != precondition["Stamp"]
        ]
        if failed:
            return reply(409, {"failed": failed, "Ledger": self.revision})
        changes = body.get("Apply", [])
        if changes:
            self.on_accept(changes)
        for change in changes:
            if change.get("Permit") is not None and change["Permit"] not in self.leases:
                return reply(400, {"error": "no such lease"})
        if changes:
            self.revision += 1
        for change in changes:
            self.writes += 1
            if "Put" in change:
                entry = (change["V"], self.revision, change.get("Permit"))
                self.keys[change["Put"]] = entry
                self.change_log.append(
                    {"Put": change["Put"], "V": change["V"], "Stamp": self.revision}
                )
            elif self.keys.pop(change["Drop"], None) is not None:
                self.change_log.append({"Drop": change["Drop"], "Stamp": self.revision})
        self._notify_watches()
        return reply(200, {"Ledger": self.revision})

    async def _watch(self, query: dict[str, str], host: str) -> Response:
        deadline = self.loop.time() + int(query.get("HoldMs", "0")) / 1000
        since = int(query["Since"])
        if self.is_unavailable_to(host):
            return reply(503, {"error": "trouble"})
        while True:
            if not self.is_unavailable_to(host):
                change_log = [
                    change
                    for change in self.change_log
                    if change["Stamp"] > since and key_of(change).startswith(query["Starts"])
                ]
                if change_log or self.loop.time() >= deadline:
                    return reply(200, {"Ledger": self.revision, "Log": change_log})
            try:
                async with asyncio.timeout(max(0.01, min(0.5, deadline - self.loop.time()))):
                    await self.keys_changed.wait()
            except TimeoutError:
                pass
