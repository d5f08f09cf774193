"""A fake of the cloud: rents out fake workers over the cloud's protocol."""

import asyncio
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from basaltlead.net.http.messages import Request, Response
from basaltlead.net.http.server import Server
from tests.fakes.replies import reply
from tests.fakes.worker import FakeWorker

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment


class FakeCloud:
    """Rents out FakeWorkers. Its list of machines is out of date, as the real cloud's is."""

    HOST = "10.2.0.2"
    ADDRESS = "10.2.0.2:8443"
    TYPES: tuple[dict[str, Any], ...] = (
        {
            "Label": "small",
            "Cores": 4,
            "Gpus": 0,
            "MemoryGb": 16,
            "LocalGb": 50,
            "Rate": 0.2,
            "PullGbPerS": 1.0,
            "MarketPrice": 0.1,
            "ReadyS": 5,
            "Yards": ["a", "b"],
        },
        {
            "Label": "large",
            "Cores": 16,
            "Gpus": 2,
            "MemoryGb": 64,
            "LocalGb": 50,
            "Rate": 0.9,
            "PullGbPerS": 1.0,
            "MarketPrice": 0.4,
            "ReadyS": 5,
            "Yards": ["a", "b"],
        },
    )

    def __init__(self, deployment: "Deployment") -> None:
        self.deployment = deployment
        self.scale_outs: dict[str, list[str]] = {}  # machine names by name of the request
        self.machines: dict[str, FakeWorker] = {}
        self.corrupt_reply: Callable[[Response], Response] | None = None
        self.rented_count = 0  # machines rented since the start
        self.capacity = 12  # machines that can be rented at the same time
        self.max_page_rows = 500  # of the list of machines
        self.list_lag_s = 2.0  # minimum age of a page of the list; the maximum is twice that
        self.unanswered_rentals = 0  # this many scale-outs are carried out without a response
        self.error_status = 0  # the status of every response, or 0 for none
        self.refused_names: set[str] = set()  # types and machines that are refused with 400
        self.answer_delay_s = 0.02  # before each response
        self.on_accept: Callable[[str, dict[str, Any]], None] = lambda path, body: None
        # By name: when a deleted machine was created, when it was deleted, and its row in the list
        self.deleted: dict[str, tuple[float, float, dict[str, Any]]] = {}

    async def start(self) -> None:
        """Start the server."""
        await Server(self.handle, 1000).start(self.ADDRESS)

    async def handle(self, request: Request) -> Response:
        """Handle a request; the response is corrupted if a test has set `corrupt_reply`."""
        response = await self._handle(request)
        return response if self.corrupt_reply is None else self.corrupt_reply(response)

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(self.answer_delay_s)
        path = request.path
        if self.error_status:
            return reply(self.error_status, {"error": "trouble"})
        if path == "/machine_types":
            return reply(200, {"Grades": list(self.TYPES)})
        if path == "/machines" and request.method == "GET":
            return self._list({k: v[0] for k, v in parse_qs(request.query).items()})
        body = json.loads(request.body)
        if self.refused_names & {body.get("Grade", ""), *body.get("Anvils", [])}:
            return reply(400, {"error": "malformed"})
        self.on_accept(path, body)
        if path == "/machines/delete":
            for name in body["Anvils"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    self.deleted[name] = (
                        worker.created_at,
                        self.deployment.loop.time(),
                        worker.list_row(),
                    )
                    worker.stop()
            return reply(200, {})
        if body["Hire"] not in self.scale_outs:
            count = min(body["Number"], self.capacity - len(self.machines))
            if count <= 0:
                return reply(503, {"error": "no capacity"})
            names = []
            for _ in range(count):
                name = f"m-{self.rented_count:06d}"
                self.rented_count += 1
                machine_type = next(t for t in self.TYPES if t["Label"] == body["Grade"])
                self.machines[name] = FakeWorker(
                    self.deployment, name, machine_type, body["Yard"], body["Loaners"]
                )
                names.append(name)
            self.scale_outs[body["Hire"]] = names
        if self.unanswered_rentals:
            self.unanswered_rentals -= 1
            await asyncio.sleep(30)
        return reply(200, {"Anvils": self.scale_outs[body["Hire"]]})

    def _list(self, query: dict[str, str]) -> Response:
        """Return a page of the list.

        Each page is a snapshot of a different time in the past: new machines are missing, and
        deleted ones are still listed.
        """
        snapshot_at = self.deployment.loop.time() - self.list_lag_s * self.deployment.rng.uniform(
            1.0, 2.0
        )
        rows = {
            name: w.list_row() for name, w in self.machines.items() if w.created_at <= snapshot_at
        }
        rows |= {
            name: row
            for name, (created_at, deleted_at, row) in self.deleted.items()
            if created_at <= snapshot_at < deleted_at
        }
        names = sorted(name for name in rows if name > query.get("Since", ""))
        page = names[: min(self.max_page_rows, int(query.get("Most", "500")))]
        return reply(200, {"Anvils": [rows[n] for n in page], "HasNext": len(names) > len(page)})
