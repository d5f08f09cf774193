"""A stand-in for the state service, as PROTOCOL describes it.

Each controller has a port of its own, so that the link of one controller can be cut.
"""

import asyncio
import contextlib
import json
import time
from collections import deque
from typing import Any

from review.world.http import Answer, Dropped, Request, serve, wait_while

LATENCY_S = 0.005
KEPT_CHANGES = 10_000
MAX_ROWS = 1000
MAX_PAGE_BYTES = 512 * 1024


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.left = rate
        self.at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Take an amount; return whether the limit allows it."""
        now = time.monotonic()
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


class Store:
    """Keys with versions, transactions, leases and watches."""

    def __init__(self, limits: dict[str, float]) -> None:
        self.limits = limits
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: deque[dict[str, Any]] = deque(maxlen=KEPT_CHANGES)
        self.leases: dict[int, tuple[float, float]] = {}  # TTL and end by number
        self.last_lease = 0
        self.cut: set[str] = set()  # controllers whose link is cut
        self.changed = asyncio.Event()
        self.ports: dict[str, int] = {}

    async def start(self, nodes: list[str]) -> None:
        """Listen on one port for each controller."""
        for node in nodes:
            _, self.ports[node] = await serve(self._handler_for(node))
        self.expiry = asyncio.create_task(self._expire())

    def _handler_for(self, node: str) -> Any:
        async def handle(request: Request) -> Answer:
            await asyncio.sleep(LATENCY_S)
            await self._pass_cut(node)
            answer = await self._route(node, request)
            await self._pass_cut(node)
            return answer

        return handle

    async def _pass_cut(self, node: str) -> None:
        """While the link is cut nothing comes through; afterwards the connection is reset."""
        if node in self.cut:
            await wait_while(lambda: node in self.cut)
            raise Dropped

    async def _route(self, node: str, request: Request) -> Answer:
        path = request.path
        if not self.requests.take(1):
            return 429, {"error": "too many"}
        if path == "/changes":
            return await self._watch(node, request.query)
        if path == "/kv":
            return self._list(request.query)
        if path.startswith("/kv/"):
            return self._get(path[4:])
        if path == "/multi":
            return self._transact(request.json())
        return self._lease(request)

    # Leases

    def _lease(self, request: Request) -> Answer:
        if request.path == "/holds":
            ttl = request.json()["TtlMs"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"Permit": self.last_lease}
        number = int(request.path.split("/")[2])
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        if request.method == "DELETE":
            self._end_lease(number)
            return 200, {}
        ttl = self.leases[number][0]
        self.leases[number] = (ttl, time.monotonic() + ttl)
        return 200, {}

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [n for n, (_, end) in self.leases.items() if now > end]:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self.leases[number]
        attached = [key for key, (_, _, permit) in self.keys.items() if permit == number]
        if attached:
            self._apply([{"Drop": key} for key in attached])

    # Keys

    def _get(self, key: str) -> Answer:
        if key not in self.keys:
            return 404, {"Ledger": self.revision}
        value, stamp, permit = self.keys[key]
        return 200, {"Path": key, "V": value, "Stamp": stamp, "Permit": permit}

    def _list(self, query: dict[str, str]) -> Answer:
        since = query.get("Since", "")
        names = sorted(k for k in self.keys if k.startswith(query["Starts"]) and k > since)
        most = min(MAX_ROWS, int(query.get("Most", MAX_ROWS)))
        rows: list[dict[str, Any]] = []
        size = 0
        for name in names[:most]:
            value, stamp, _ = self.keys[name]
            size += len(json.dumps(value)) + len(name) + 50
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append({"Path": name, "V": value, "Stamp": stamp})
        more = len(rows) < len(names)
        return 200, {"Rows": rows, "HasNext": more, "Ledger": self.revision}

    def _excess(self, guards: list[Any], changes: list[Any]) -> bool:
        operations = int(self.limits["txn_ops"])
        value_bytes = self.limits["value_kb"] * 1024
        return (
            len(changes) > operations
            or len(guards) > 4 * operations
            or any(
                len(json.dumps(change["V"], separators=(",", ":"))) > value_bytes
                for change in changes
                if "Put" in change
            )
        )

    def _transact(self, body: dict[str, Any]) -> Answer:
        guards, changes = body.get("Guards") or [], body.get("Apply") or []
        if not self.writes.take(len(changes)):
            return 429, {"error": "too many"}
        if self._excess(guards, changes):
            return 400, {"error": "too large"}
        failed = [
            guard["Path"]
            for guard in guards
            if self.keys.get(guard["Path"], (None, 0, None))[1] != guard["Stamp"]
        ]
        if any(change.get("Permit") not in (None, *self.leases) for change in changes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "Ledger": self.revision}
        if changes:
            self._apply(changes)
        return 200, {"Ledger": self.revision}

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            if "Put" in change:
                key = change["Put"]
                self.keys[key] = (change["V"], self.revision, change.get("Permit"))
                self.log.append({"Put": key, "V": change["V"], "Stamp": self.revision})
            elif self.keys.pop(change["Drop"], None) is not None:
                self.log.append({"Drop": change["Drop"], "Stamp": self.revision})
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, node: str, query: dict[str, str]) -> Answer:
        since = int(query["Since"])
        end = time.monotonic() + int(query.get("HoldMs", 0)) / 1000
        if len(self.log) == KEPT_CHANGES and since < self.log[0]["Stamp"] - 1:
            return 410, {"error": "too old"}
        while True:
            found = [
                change
                for change in self.log
                if change["Stamp"] > since
                and change.get("Put", change.get("Drop")).startswith(query["Starts"])
            ]
            left = end - time.monotonic()
            if (found or left <= 0) and node not in self.cut:
                return 200, {"Ledger": self.revision, "Log": found}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.02, min(0.5, left))):
                    await self.changed.wait()
