"""A stand-in for the cloud: rents out machines and lists them late."""

import asyncio
import time
from typing import TYPE_CHECKING, Any

from review.world.http import Answer, Dropped, Request, serve, wait_while
from review.world.machine import Machine

if TYPE_CHECKING:
    from review.world.deployment import Deployment

LATENCY_S = 0.12


class Cloud:
    """Machines by name, and what is known of each rental request."""

    def __init__(
        self, deployment: "Deployment", grades: list[dict[str, Any]], lag_s: float
    ) -> None:
        self.deployment = deployment
        self.grades = grades
        self.lag_s = lag_s
        self.capacity: dict[tuple[str, str, bool], int] = {}  # by grade, yard and kind; else 20
        self.machines: dict[str, Machine] = {}
        self.ended: list[tuple[Machine, float]] = []  # deleted machines and when they were deleted
        self.hires: dict[str, list[str]] = {}
        # "At times machines are up within a second or two": shorter than the stated boot time, so
        # that a case fits into its two minutes.
        self.boot_s = 2.0
        self.cut: set[str] = set()  # controllers whose link is cut
        self.ports: dict[str, int] = {}

    async def start(self, nodes: list[str]) -> None:
        """Listen on one port for each controller."""
        for node in nodes:
            _, self.ports[node] = await serve(self._handler_for(node))

    def _handler_for(self, node: str) -> Any:
        async def handle(request: Request) -> Answer:
            await asyncio.sleep(LATENCY_S)
            if node in self.cut:
                await wait_while(lambda: node in self.cut)
                raise Dropped
            return self._route(node, request)

        return handle

    def _route(self, node: str, request: Request) -> Answer:
        if request.path == "/machine_types":
            return 200, {"Grades": self.grades}
        if request.path == "/machines/delete":
            names = request.json()["Anvils"]
            self.deployment.note(f"cloud: {node} deletes {names}")
            for name in names:
                self.delete(name)
            return 200, {}
        if request.method == "GET":
            return self._list(request.query)
        return self._rent(node, request.json())

    def _rent(self, node: str, body: dict[str, Any]) -> Answer:
        hire, offer = body["Hire"], (body["Grade"], body["Yard"], bool(body["Loaners"]))
        if hire not in self.hires:
            held = sum(machine.offer == offer for machine in self.machines.values())
            count = min(int(body["Number"]), self.capacity.get(offer, 20) - held)
            self.deployment.note(f"cloud: {node} asks for {body['Number']} of {offer}: {count}")
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.hires[hire] = [self._create(offer) for _ in range(count)]
        return 200, {"Anvils": self.hires[hire]}

    def _create(self, offer: tuple[str, str, bool]) -> str:
        name = f"m-{len(self.machines) + len(self.ended):06d}"
        grade = next(grade for grade in self.grades if grade["Label"] == offer[0])
        machine = self.machines[name] = Machine(self.deployment, name, grade, offer[1], offer[2])
        machine.start()
        return name

    def delete(self, name: str) -> None:
        """Delete a machine with everything on it; unknown names are ignored."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.stop()
            self.ended.append((machine, time.monotonic()))

    def _list(self, query: dict[str, str]) -> Answer:
        at = time.monotonic() - self.lag_s
        listed = [m for m in self.machines.values() if m.created_at <= at]
        listed += [m for m, ended_at in self.ended if m.created_at <= at < ended_at]
        rows = sorted((m.row(at) for m in listed), key=lambda row: str(row["Ref"]))
        rows = [row for row in rows if str(row["Ref"]) > query.get("Since", "")]
        most = min(500, int(query.get("Most", 500)))
        return 200, {"Anvils": rows[:most], "HasNext": len(rows) > most}
