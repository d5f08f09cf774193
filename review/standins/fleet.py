"""A stand-in of the cloud, and of the workers on the machines that it rents out."""

import asyncio
import random
from typing import Any

from review.standins.record import Record
from review.standins.web import Call, Reply, WebServer, send

REPORT_TIMEOUT_S = 4.0
RETRY_S = 1.0
MIN_REPORT_GAP_S = 0.5
TICK_S = 0.05


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, job: dict[str, Any], name: str, attempt: int) -> None:
        self.job = job
        self.name = name
        self.attempt = attempt
        self.stage = "fetching"
        self.why: str | None = None
        self.next_at = 0.0  # when the present stage ends by itself

    def status(self) -> dict[str, Any]:
        """The task as a report lists it."""
        listed = {"Piece": self.name, "Try": self.attempt, "Stage": self.stage}
        if self.stage == "ended":
            listed |= {"Cause": self.why, "Saved": False}
        return listed


class Worker:
    """A machine and its worker, which keeps the rules of tokens, sessions and leases."""

    def __init__(self, cloud: "Cloud", name: str, kind: dict[str, Any], rent: dict) -> None:
        self.cloud = cloud
        self.name = name
        self.kind = kind
        self.rent = rent
        self.loop = asyncio.get_running_loop()
        self.born_at = self.loop.time()
        self.server = WebServer(self._handle, closes=cloud.workers_close)
        self.up = False
        self.held = False  # nothing passes between the machine and the controllers
        self.shift, self.tick, self.baton = 1, 0, 0
        self.lease_from = self.born_at
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.changed = asyncio.Event()
        self.runs = [asyncio.create_task(self._live())]

    def stop(self) -> None:
        """End the machine with all that is on it."""
        for run in self.runs:
            run.cancel()
        self.server.stop()
        self._kill_all("machine gone")

    def row(self) -> dict[str, Any]:
        """The machine as the cloud lists it."""
        return {
            "Ref": self.name,
            "Addr": self.server.address,
            "Grade": self.kind["Label"],
            "Yard": self.rent["Yard"],
            "Loaners": self.rent["Loaners"],
            "Stage": "running" if self.up else "starting",
            "HeldS": self.loop.time() - self.born_at,
        }

    def free_cores(self) -> float:
        """The cores that no task on the machine takes."""
        return self.kind["Cores"] - sum(task.job["Cores"] for task in self._active())

    def _active(self) -> list[Task]:
        return [task for task in self.tasks.values() if task.stage != "ended"]

    async def _live(self) -> None:
        await self.server.start()
        await asyncio.sleep(self.cloud.boot_s)
        self.up = True
        self.lease_from = self.loop.time()
        self.cloud.record.line(f"machine {self.name} is up")
        self.runs.append(asyncio.create_task(self._advance()))
        await self._report_forever()

    # Reports

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.tick += 1
        return {
            "Anvil": self.name,
            "Addr": self.server.address,
            "Grade": self.kind["Label"],
            "Yard": self.rent["Yard"],
            "Loaners": self.rent["Loaners"],
            "Shift": self.shift,
            "Tick": self.tick,
            "Baton": self.baton,
            "RecallS": None,
            "Pieces": [task.status() for task in self.tasks.values()],
        }

    async def _report_forever(self) -> None:
        nodes = list(self.cloud.fronts)
        at = 0
        while True:
            node = nodes[at % len(nodes)]
            sent_at, shift = self.loop.time(), self.shift
            if self.held:
                await asyncio.sleep(REPORT_TIMEOUT_S)
                status, body = 0, {}
            else:
                status, body = await send(
                    self.cloud.fronts[node], "POST", "/agent/beat", self.report(), REPORT_TIMEOUT_S
                )
            if status == 200:
                self._take_response(body, sent_at, shift)
                await self._pause()
            elif status == 421 and body.get("Foreman") in nodes and body["Foreman"] != node:
                at = nodes.index(body["Foreman"])
            else:
                at += 1
                await asyncio.sleep(RETRY_S)

    async def _pause(self) -> None:
        await asyncio.sleep(MIN_REPORT_GAP_S)
        try:
            pause_s = self.cloud.report_s * random.uniform(0.75, 1.25) - MIN_REPORT_GAP_S
            async with asyncio.timeout(max(0.01, pause_s)):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    def _take_response(self, body: dict[str, Any], sent_at: float, shift: int) -> None:
        if shift != self.shift or body.get("Baton", -1) < self.baton:
            return
        self._see_token(body["Baton"])
        self.lease_from = sent_at
        self._execute(body["Orders"], "answer to a report")

    def _see_token(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self.changed.set()

    # Commands

    async def _handle(self, call: Call) -> Reply:
        if call.path == "/status":
            return Reply(200, self.report())
        if "Baton" not in call.body or "Shift" not in call.body:
            return Reply(400, {})
        if not self.up or call.body["Baton"] < self.baton or call.body["Shift"] != self.shift:
            return Reply(409, self.report())
        self._see_token(call.body["Baton"])
        self._execute(call.body["Orders"], "direct command")
        return Reply(200, self.report())

    def _execute(self, orders: list[dict[str, Any]], how: str) -> None:
        for order in orders:
            key = (order["Piece"], order["Try"])
            self.cloud.record.line(
                f"{self.name} got {order['Verb']} {key[0]} try {key[1]} by {how}"
            )
            task = self.tasks.get(key)
            if order["Verb"] == "run" and task is None:
                self._start(key)
            elif order["Verb"] == "forget" and task is not None and task.stage == "ended":
                del self.tasks[key]
                self.changed.set()
            elif order["Verb"] == "halt" and task is not None and task.stage != "ended":
                self._end(task, "stopped")

    def _start(self, key: tuple[str, int]) -> None:
        self.changed.set()
        job = self.cloud.jobs.get(key[0].partition("/")[0], {"Cores": 0.0})
        task = self.tasks[key] = Task(job, *key)
        others = [other for other in self._active() if other is not task]
        if "Ref" not in job:
            task.stage, task.why = "ended", "no_such"
        elif any(other.name == task.name for other in others):
            task.stage, task.why = "ended", "in_use"
        elif sum(other.job["Cores"] for other in others) + job["Cores"] > self.kind["Cores"]:
            task.stage, task.why = "ended", "full"
        else:
            fetch_s = 0.0 if job["Mould"] in self.images else self.cloud.fetch_s
            task.next_at = self.loop.time() + fetch_s

    # Tasks

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self.loop.time()
            if now - self.lease_from > self.cloud.lease_s:
                self.cloud.record.line(f"{self.name}: the lease has expired")
                self._kill_all("lease expired")
                self.shift, self.tick = self.shift + 1, 0
                self.lease_from = now
                self.changed.set()
            for task in list(self.tasks.values()):
                self._advance_task(task, now)

    def _advance_task(self, task: Task, now: float) -> None:
        if task.stage == "fetching" and now >= task.next_at:
            self.images.add(task.job["Mould"])
            is_gang = task.job["Shape"] == "group" and task.job["Pieces"] > 1
            task.stage = "gathering" if is_gang else "running"
            task.next_at = now + self.cloud.run_s(task.job)
            self.cloud.task_on(task, self)
            self.changed.set()
        elif task.stage == "running" and now >= task.next_at:
            self._end(task, "done")

    def _end(self, task: Task, why: str) -> None:
        was_on = task.stage != "fetching"
        task.stage, task.why = "ended", why
        if was_on:
            self.cloud.task_off(task, self, why)
        self.changed.set()

    def _kill_all(self, why: str) -> None:
        for task in self._active():
            self._end(task, why)
        self.tasks.clear()


class Cloud:
    """Rents out machines up to its capacity, and knows which task is on which machine."""

    def __init__(self, record: Record, kinds: list[dict[str, Any]], settings: dict) -> None:
        """`settings` are `facts.workers` of the controllers' settings."""
        self.record = record
        self.kinds = {kind["Label"]: kind for kind in kinds}
        self.report_s = float(settings["report_s"])
        self.lease_s = float(settings["lease_s"])
        self.boot_s = 2.0
        self.fetch_s = 0.5
        self.workers_close = False  # whether workers close the connection after each response
        self.capacity = 10  # machines at a time
        self.fronts: dict[str, str] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_times_s: dict[str, float] = {}
        self.machines: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.on_machine: dict[str, list[str]] = {}  # machines by task
        self.starts: list[tuple[float, str, str]] = []  # when, task, machine
        self.server = WebServer(self._handle)

    def run_s(self, job: dict[str, Any]) -> float:
        """How long a task of the job runs; a replica runs until it is stopped."""
        return 1e9 if job["Shape"] == "service" else self.run_times_s[job["Ref"]]

    def task_on(self, task: Task, worker: Worker) -> None:
        """Note that a task is on a machine from now on."""
        self.on_machine.setdefault(task.name, []).append(worker.name)
        self.starts.append((asyncio.get_running_loop().time(), task.name, worker.name))
        self.record.line(f"task {task.name} try {task.attempt} is on {worker.name}")

    def task_off(self, task: Task, worker: Worker, why: str) -> None:
        """Note that a task is on a machine no longer."""
        self.on_machine[task.name].remove(worker.name)
        self.record.line(f"task {task.name} try {task.attempt} left {worker.name}: {why}")

    def tasks_of(self, ref: str) -> list[str]:
        """The tasks of a job that are on a machine now."""
        return [
            task for task, on in self.on_machine.items() if on and task.partition("/")[0] == ref
        ]

    async def _handle(self, call: Call) -> Reply:
        await asyncio.sleep(0.02)
        if call.path == "/machine_types":
            return Reply(200, {"Grades": list(self.kinds.values())})
        if call.path == "/machines" and call.method == "GET":
            return self._list(call.query)
        if call.path == "/machines/delete":
            for name in call.body["Anvils"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    self.record.line(f"machine {name} deleted")
                    worker.stop()
            return Reply(200, {})
        return self._rent(call.body)

    def _list(self, query: dict[str, str]) -> Reply:
        names = sorted(name for name in self.machines if name > query.get("Since", ""))
        page = names[: int(query.get("Most", "500"))]
        rows = [self.machines[name].row() for name in page]
        return Reply(200, {"Anvils": rows, "HasNext": len(names) > len(page)})

    def _rent(self, body: dict[str, Any]) -> Reply:
        if body["Hire"] not in self.hires:
            count = min(body["Number"], self.capacity - len(self.machines))
            if count <= 0:
                return Reply(503, {"error": "no capacity"})
            first = sum(map(len, self.hires.values()))
            names = [f"m-{first + number:06d}" for number in range(count)]
            for name in names:
                self.machines[name] = Worker(self, name, self.kinds[body["Grade"]], body)
            self.hires[body["Hire"]] = names
            self.record.line(f"rented {names} of {body['Grade']} in {body['Yard']}")
        return Reply(200, {"Anvils": self.hires[body["Hire"]]})
