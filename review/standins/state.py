"""A stand-in of the state service: keys, leases, transactions and watches, in memory."""

import asyncio
from collections.abc import Callable
from typing import Any

from review.standins.web import Call, Reply, WebServer

USUAL_LATENCY_S = 0.005


def usual_latency_s(_node: str, _call: Call) -> float:
    """How long an answer usually takes."""
    return USUAL_LATENCY_S


class StateService:
    """One store, with a port for each controller, so that one controller alone can be cut off."""

    def __init__(self, nodes: list[str]) -> None:
        self.servers = {node: WebServer(self._handler(node)) for node in nodes}
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, version, lease
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end and duration in seconds
        self.revision = 0
        self.last_lease = 0
        # How long an answer takes; the request may decide.
        self.latency_s: Callable[[str, Call], float] = usual_latency_s
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Start all ports and the expiry of leases."""
        for server in self.servers.values():
            await server.start()
        self.expiry = asyncio.create_task(self._expire())

    def _handler(self, node: str) -> Callable[[Call], Any]:
        async def handle(call: Call) -> Reply:
            await asyncio.sleep(self.latency_s(node, call))
            return await self._handle(call)

        return handle

    async def _handle(self, call: Call) -> Reply:
        if call.path == "/changes":
            return await self._watch(call.query)
        if call.path == "/kv":
            return self._list(call.query)
        if call.path.startswith("/kv/"):
            return self._get(call.path.removeprefix("/kv/"))
        if call.path == "/multi":
            return self._transact(call.body)
        if call.path.startswith("/holds"):
            return self._hold(call)
        return Reply(404, {"error": "no such path"})

    def _get(self, key: str) -> Reply:
        if key not in self.keys:
            return Reply(404, {"Ledger": self.revision})
        value, version, lease = self.keys[key]
        return Reply(200, {"Path": key, "V": value, "Stamp": version, "Permit": lease})

    def _list(self, query: dict[str, str]) -> Reply:
        since, most = query.get("Since", ""), int(query.get("Most", "1000"))
        names = sorted(key for key in self.keys if key.startswith(query["Starts"]) and key > since)
        rows = [
            {"Path": key, "V": self.keys[key][0], "Stamp": self.keys[key][1]}
            for key in names[:most]
        ]
        return Reply(200, {"Rows": rows, "HasNext": len(names) > most, "Ledger": self.revision})

    def _transact(self, body: dict[str, Any]) -> Reply:
        for change in body.get("Apply", []):
            lease = change.get("Permit")
            if "Put" in change and lease is not None and lease not in self.leases:
                return Reply(400, {"error": "no such lease"})
        failed = [
            guard["Path"]
            for guard in body.get("Guards", [])
            if (self.keys[guard["Path"]][1] if guard["Path"] in self.keys else 0) != guard["Stamp"]
        ]
        if failed:
            return Reply(409, {"failed": failed, "Ledger": self.revision})
        if body.get("Apply"):
            self._apply(body["Apply"])
        return Reply(200, {"Ledger": self.revision})

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            if "Put" in change:
                self.keys[change["Put"]] = (change["V"], self.revision, change.get("Permit"))
                entry = {"Put": change["Put"], "V": change["V"], "Stamp": self.revision}
            else:
                if self.keys.pop(change["Drop"], None) is None:
                    continue
                entry = {"Drop": change["Drop"], "Stamp": self.revision}
            self.changes.append(entry)
        self.changed.set()
        self.changed = asyncio.Event()

    def _hold(self, call: Call) -> Reply:
        now = asyncio.get_running_loop().time()
        if call.path == "/holds":
            self.last_lease += 1
            span_s = call.body["TtlMs"] / 1000
            self.leases[self.last_lease] = (now + span_s, span_s)
            return Reply(200, {"Permit": self.last_lease})
        lease = int(call.path.split("/")[2])
        if lease not in self.leases:
            return Reply(404, {"error": "no such lease"})
        if call.method == "DELETE":
            self._end_lease(lease)
        else:
            span_s = self.leases[lease][1]
            self.leases[lease] = (now + span_s, span_s)
        return Reply(200, {})

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            for lease, (end, _) in list(self.leases.items()):
                if now > end:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, (_, _, attached) in self.keys.items() if attached == lease]
        if keys:
            self._apply([{"Drop": key} for key in keys])

    async def _watch(self, query: dict[str, str]) -> Reply:
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("HoldMs", "0")) / 1000
        since = int(query["Since"])
        while True:
            found = [
                change
                for change in self.changes
                if change["Stamp"] > since
                and str(change.get("Put", change.get("Drop"))).startswith(query["Starts"])
            ]
            left = end - loop.time()
            if found or left <= 0:
                return Reply(200, {"Ledger": self.revision, "Log": found})
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue
