"""A stand-in for the key-value store, by its protocol."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from basaltlead.net.http.messages import Request, Response
from basaltlead.net.http.server import Server
from tests.fakes.replies import reply
from tests.simulation import PEER, Loop


class FakeState:
    """Keys, holds and watches; can refuse everybody or single hosts, and lose its answers."""

    HOST = "10.2.0.1"
    ADDRESS = "10.2.0.1:2379"

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.holds: dict[int, tuple[float, float]] = {}
        self.next_hold = 0
        self.down = False
        self.refused: set[str] = set()  # hosts that alone get 503, as in an outage
        self.late_writes = 0.0  # that share is not answered, and carried out 2 to 12 s later
        self.late_by = (2.0, 12.0)
        self.late_keys = ""  # of which only those that put or drop something under this prefix
        self.garble: Callable[[Response], Response] | None = None  # what becomes of its answers
        self.accepting: Callable[[list[dict[str, Any]]], None] = lambda changes: None
        self.event = asyncio.Event()
        self.writes = 0
        self.requests = 0
        self.value_bytes = 8 * 1024
        self.operations = 8  # puts and deletes in one transaction
        self.oversized: list[str] = []  # what was refused for its size
        self.write_rps: float | None = None  # changes a second; None: any number
        self.write_burst_at = 0.0  # when its burst would be full again
        self.refused_writes = 0  # how many transactions were answered with 429
        self.slowness = 1.0  # how many times as long as usual its answers take
        self.chance = random.Random(1)

    async def start(self) -> None:
        server = Server(self.handle, 1000)
        await server.start(self.ADDRESS)
        self.loop.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.down:
                continue
            for hold, (until, _) in list(self.holds.items()):
                if self.loop.time() > until:
                    self._end(hold)

    def _end(self, hold: int) -> None:
        self.holds.pop(hold, None)
        gone = [key for key, (_, _, on) in self.keys.items() if on == hold]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append({"Drop": key, "Stamp": self.revision})
            self._tell()

    def _tell(self) -> None:
        self.event.set()
        self.event = asyncio.Event()

    def away(self, host: str) -> bool:
        """Is there an outage, for all or for this one alone?"""
        return self.down or host in self.refused

    def _is_late(self, body: dict[str, Any]) -> bool:
        keys = [change.get("Put", change.get("Drop")) for change in body.get("Apply", [])]
        named = any(key.startswith(self.late_keys) for key in keys)
        return named and self.chance.random() < self.late_writes

    def outage_over(self) -> None:
        self.down = False
        now = self.loop.time()
        self.holds = {hold: (now + ttl, ttl) for hold, (_, ttl) in self.holds.items()}

    async def handle(self, request: Request) -> Response:
        answer = await self._answer(request)
        return answer if self.garble is None else self.garble(answer)

    async def _answer(self, request: Request) -> Response:
        rare = 0.2 if self.chance.random() < 0.01 else 0.002
        await asyncio.sleep((rare if self.slowness > 1 else 0.002) * self.slowness)
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        path = request.path
        self.requests += 1
        if path == "/changes":
            return await self._changes(query, PEER.get())
        if self.away(PEER.get()):
            return reply(503, {"error": "trouble"})
        body = json.loads(request.body) if request.body else {}
        if path == "/kv":
            return self._list(query)
        if path.startswith("/kv/"):
            found = self.keys.get(path[4:])
            if found is None:
                return reply(404, {"Ledger": self.revision})
            return reply(200, {"Path": path[4:], "V": found[0], "Stamp": found[1]})
        if path == "/multi":
            if self._is_late(body):
                await asyncio.sleep(self.chance.uniform(*self.late_by))
                self._multi(body)
                await asyncio.sleep(60)  # nobody waits for an answer any more
            return self._multi(body)
        if path == "/holds":
            self.next_hold += 1
            ttl = body["TtlMs"] / 1000
            self.holds[self.next_hold] = (self.loop.time() + ttl, ttl)
            return reply(200, {"Permit": self.next_hold})
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return reply(404, {"error": "no such lease"})
        ttl = self.holds[hold][1]
        self.holds[hold] = (self.loop.time() + ttl, ttl)
        return reply(200, {})

    def _list(self, query: dict[str, str]) -> Response:
        most = int(query.get("Most", "1000"))
        names = sorted(
            k for k in self.keys if k.startswith(query["Starts"]) and k > query.get("Since", "")
        )
        rows = [{"Path": k, "V": self.keys[k][0], "Stamp": self.keys[k][1]} for k in names[:most]]
        return reply(200, {"Rows": rows, "HasNext": len(names) > most, "Ledger": self.revision})

    def _within_rate(self, changes: int) -> bool:
        """Above the rate, with a burst of a second's worth, changes are refused."""
        if self.write_rps is None:
            return True
        full_at = max(self.write_burst_at, self.loop.time()) + changes / self.write_rps
        if full_at - self.loop.time() > 1.0:
            return False
        self.write_burst_at = full_at
        return True

    def _excess(self, body: dict[str, Any]) -> str:
        """Which limit a transaction breaks."""
        changes = body.get("Apply", [])
        values = [json.dumps(c["V"], separators=(",", ":")) for c in changes if "Put" in c]
        if max(map(len, values), default=0) > self.value_bytes:
            return f"value of {max(map(len, values))} bytes: {[c.get('Put') for c in changes]}"
        if len(changes) > self.operations or len(body.get("Guards", [])) > 4 * self.operations:
            return f"{len(changes)} changes, {len(body.get('Guards', []))} guards"
        return "over 64 KiB" if len(json.dumps(body)) > 64 * 1024 else ""

    def _multi(self, body: dict[str, Any]) -> Response:
        if not self._within_rate(len(body.get("Apply", []))):
            self.refused_writes += 1
            return reply(429, {"error": "too many"})
        excess = self._excess(body)
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
            self.accepting(changes)
        for change in changes:
            if change.get("Permit") is not None and change["Permit"] not in self.holds:
                return reply(400, {"error": "no such lease"})
        if changes:
            self.revision += 1
        for change in changes:
            self.writes += 1
            if "Put" in change:
                entry = (change["V"], self.revision, change.get("Permit"))
                self.keys[change["Put"]] = entry
                self.log.append({"Put": change["Put"], "V": change["V"], "Stamp": self.revision})
            elif self.keys.pop(change["Drop"], None) is not None:
                self.log.append({"Drop": change["Drop"], "Stamp": self.revision})
        self._tell()
        return reply(200, {"Ledger": self.revision})

    async def _changes(self, query: dict[str, str], host: str) -> Response:
        end = self.loop.time() + int(query.get("HoldMs", "0")) / 1000
        since = int(query["Since"])
        if self.away(host):
            return reply(503, {"error": "trouble"})
        while True:
            if not self.away(host):
                log = [
                    change
                    for change in self.log
                    if change["Stamp"] > since
                    and change.get("Put", change.get("Drop")).startswith(query["Starts"])
                ]
                if log or self.loop.time() >= end:
                    return reply(200, {"Ledger": self.revision, "Log": log})
            try:
                async with asyncio.timeout(max(0.01, min(0.5, end - self.loop.time()))):
                    await self.event.wait()
            except TimeoutError:
                pass
