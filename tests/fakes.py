"""Stand-ins for the state service, the cloud, the workers and the users, by their protocols."""

import asyncio
import json
import random
from typing import Any
from urllib.parse import parse_qs

from basaltlead.net.http import Pool, Request, Response, Server
from tests.world import PEER, Loop, on_host


def reply(status: int, value: Any) -> Response:
    return Response(status, json.dumps(value).encode())


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
        self.event = asyncio.Event()
        self.writes = 0
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
        rare = 0.2 if self.chance.random() < 0.01 else 0.002
        await asyncio.sleep((rare if self.slowness > 1 else 0.002) * self.slowness)
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        path = request.path
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

    def _multi(self, body: dict[str, Any]) -> Response:
        failed = [
            guard["Path"] for guard in body.get("Guards", [])
            if self.keys.get(guard["Path"], (None, 0, None))[1] != guard["Stamp"]
        ]  # fmt: skip
        if failed:
            return reply(409, {"failed": failed, "Ledger": self.revision})
        changes = body.get("Apply", [])
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
                    change for change in self.log
                    if change["Stamp"] > since
                    and change.get("Put", change.get("Drop")).startswith(query["Starts"])
                ]  # fmt: skip
                if log or self.loop.time() >= end:
                    return reply(200, {"Ledger": self.revision, "Log": log})
            try:
                async with asyncio.timeout(max(0.01, min(0.5, end - self.loop.time()))):
                    await self.event.wait()
            except TimeoutError:
                pass


class FakeCloud:
    """Rents FakeWorkers; its list lags."""

    HOST = "10.2.0.2"
    ADDRESS = "10.2.0.2:8443"
    TYPES = (
        {"Label": "small", "Cores": 4, "Gpus": 0, "MemoryGb": 16, "LocalGb": 50, "Rate": 0.2,
         "PullGbPerS": 1.0, "MarketPrice": 0.1, "ReadyS": 5, "Yards": ["a", "b"]},
        {"Label": "large", "Cores": 16, "Gpus": 2, "MemoryGb": 64, "LocalGb": 50, "Rate": 0.9,
         "PullGbPerS": 1.0, "MarketPrice": 0.4, "ReadyS": 5, "Yards": ["a", "b"]},
    )  # fmt: skip

    def __init__(self, world: "World") -> None:
        self.world = world
        self.hires: dict[str, list[str]] = {}
        self.machines: dict[str, FakeWorker] = {}
        self.count = 0
        self.capacity = 12
        self.page = 500  # rows of a page of the list at most
        self.lag = 2.0  # how old a page of the list is, at least; some are twice that old
        self.mute = 0  # that many hires will be executed without an answer
        self.past: dict[str, tuple[float, float, dict[str, Any]]] = {}  # born, gone, row

    async def start(self) -> None:
        await Server(self.handle, 1000).start(self.ADDRESS)

    async def handle(self, request: Request) -> Response:
        await asyncio.sleep(0.02)
        path = request.path
        if path == "/machine_types":
            return reply(200, {"Grades": list(self.TYPES)})
        if path == "/machines" and request.method == "GET":
            return self._list({k: v[0] for k, v in parse_qs(request.query).items()})
        body = json.loads(request.body)
        if path == "/machines/delete":
            for name in body["Anvils"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    self.past[name] = (worker.born, self.world.loop.time(), worker.listed())
                    worker.stop()
            return reply(200, {})
        if body["Hire"] not in self.hires:
            free = min(body["Number"], self.capacity - len(self.machines))
            if free <= 0:
                return reply(503, {"error": "no capacity"})
            names = []
            for _ in range(free):
                name = f"m-{self.count:06d}"
                self.count += 1
                kind = next(t for t in self.TYPES if t["Label"] == body["Grade"])
                self.machines[name] = FakeWorker(
                    self.world, name, kind, body["Yard"], body["Loaners"]
                )
                names.append(name)
            self.hires[body["Hire"]] = names
        if self.mute:
            self.mute -= 1
            await asyncio.sleep(30)
        return reply(200, {"Anvils": self.hires[body["Hire"]]})

    def _list(self, query: dict[str, str]) -> Response:
        """Each page shows the machines of a moment of its own: new ones are missing, and those
        that are gone still stand there."""
        at = self.world.loop.time() - self.lag * self.world.chance.uniform(1.0, 2.0)
        rows = {name: w.listed() for name, w in self.machines.items() if w.born <= at}
        rows |= {name: row for name, (born, gone, row) in self.past.items() if born <= at < gone}
        names = sorted(name for name in rows if name > query.get("Since", ""))
        shown = names[: min(self.page, int(query.get("Most", "500")))]
        return reply(200, {"Anvils": [rows[n] for n in shown], "HasNext": len(names) > len(shown)})


class FakeWorker:
    """A machine: boots, reports, runs tasks, obeys tokens and its lease."""

    REPORT = 1.0
    LEASE = 6.0

    def __init__(
        self, world: "World", name: str, kind: dict[str, Any], zone: str, spot: bool
    ) -> None:
        self.world = world
        self.loop = world.loop
        self.name = name
        self.kind = kind
        self.zone = zone
        self.spot = spot
        number = int(name[2:])
        self.host = f"10.1.{number // 250 % 4}.{number % 250}"
        self.address = f"{self.host}:9000"
        self.born = self.loop.time()
        self.session = 1
        self.tick = 0
        self.fencing_token = 0
        self.recall: float | None = None
        self.up = False
        self.hung = False
        self.deaf = False  # its reports arrive, but answers and commands don't reach it
        self.faulty = False  # all that runs on it fails
        self.answers_lost = False  # direct commands are executed, and their answers lost
        self.mute = False  # it reaches no controller, while direct commands reach it
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.change = asyncio.Event()
        self.lease_from = self.born
        self.work = on_host(self.host, self._live())

    def age(self) -> float:
        return self.loop.time() - self.born

    def listed(self) -> dict[str, Any]:
        return {
            "Ref": self.name, "Addr": self.address, "Grade": self.kind["Label"],
            "Yard": self.zone, "Loaners": self.spot, "HeldS": self.age(),
            "Stage": "running" if self.up else "starting",
        }  # fmt: skip

    def stop(self) -> None:
        self.work.cancel()
        self._kill_all()
        self.world.net.power_off(self.host)

    def _kill_all(self) -> None:
        for (task, _), entry in self.tasks.items():
            if entry["Stage"] != "ended":
                self.world.referee.left(task, self)
        self.tasks.clear()

    async def _live(self) -> None:
        await asyncio.sleep(self.kind["ReadyS"])
        await Server(self.handle, 100).start(self.address)
        self.up = True
        self.lease_from = self.loop.time()
        clockwork = self.loop.create_task(self._run())
        try:
            await self._report()
        finally:
            clockwork.cancel()

    async def _report(self) -> None:
        nodes = self.world.fronts()
        at = self.world.chance.randrange(len(nodes))
        pools: dict[str, Pool] = {}
        while True:
            while self.hung:  # it says nothing either
                await asyncio.sleep(0.1)
            _, address = nodes[at % len(nodes)]
            pool = pools.setdefault(address, Pool(address, 2))
            sent, session = self.loop.time(), self.session
            if self.mute:
                pool.close()
                at += 1
                await asyncio.sleep(1)
                continue
            body = json.dumps(self.report()).encode()
            if self.world.chance.random() < self.world.copies:
                on_host(self.host, self._copy(body))
            try:
                status, answer = await pool.request("POST", "/agent/beat", body, 4_000_000)
            except Exception:
                status, answer = 0, b""
            if self.deaf:
                pool.close()
                await asyncio.sleep(max(0.0, sent + 4 - self.loop.time()))
                status = 0
            if status == 200:
                self._obey(json.loads(answer), sent, session)
                await self._pause()
            elif status == 421:
                pool.close()
                owner = json.loads(answer).get("Foreman")
                found = [i for i, node in enumerate(nodes) if node[0] == owner]
                if found and found[0] != at % len(nodes):
                    at = found[0]
                    await asyncio.sleep(self.world.chance.uniform(0, 0.5))
                else:
                    at += 1
                    await asyncio.sleep(1)
            else:
                at += 1
                await asyncio.sleep(1)

    async def _copy(self, body: bytes) -> None:
        """A copy of a report comes late, at any node, whatever has become of the machine."""
        await asyncio.sleep(self.world.chance.uniform(0.5, 2.5 * self.world.lease))
        _, address = self.world.chance.choice(self.world.fronts())
        pool = Pool(address, 1)
        try:
            await pool.request("POST", "/agent/beat", body, 4_000_000)
        except Exception:
            pass
        finally:
            pool.close()

    async def _pause(self) -> None:
        self.change.clear()
        await asyncio.sleep(0.5)
        try:
            async with asyncio.timeout(self.REPORT * self.world.chance.uniform(0.75, 1.25) - 0.5):
                await self.change.wait()
        except TimeoutError:
            pass

    def report(self) -> dict[str, Any]:
        self.tick += 1
        tasks = [
            {"Piece": task, "Try": token, "Stage": e["Stage"]}
            | ({"Cause": e["Cause"], "Saved": False} if e["Stage"] == "ended" else {})
            for (task, token), e in self.tasks.items()
        ]
        recall = None if self.recall is None else max(0.0, self.recall - self.loop.time())
        return {
            "Anvil": self.name, "Addr": self.address, "Grade": self.kind["Label"],
            "Yard": self.zone, "Loaners": self.spot, "Shift": self.session, "Tick": self.tick,
            "Baton": self.fencing_token, "RecallS": recall, "Pieces": tasks,
        }  # fmt: skip

    def _obey(self, answer: dict[str, Any], sent: float, session: int) -> None:
        if session != self.session or answer.get("Baton", -1) < self.fencing_token or self.hung:
            return
        if answer["Baton"] > self.fencing_token:
            self.fencing_token = answer["Baton"]
            self.change.set()
        self.lease_from = sent
        self._orders(answer["Orders"])

    def _orders(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["Piece"], order["Try"])
            if order["Verb"] == "run":
                self._start(key)
            elif order["Verb"] == "forget":
                entry = self.tasks.get(key)
                if entry is not None and entry["Stage"] == "ended":
                    del self.tasks[key]
            elif key in self.tasks and self.tasks[key]["Stage"] != "ended":
                self._end(key, "stopped")
        if orders:
            self.change.set()

    def _start(self, key: tuple[str, int]) -> None:
        if key in self.tasks:
            return
        job = self.world.jobs.get(key[0].partition("/")[0])
        if job is None:
            self.tasks[key] = {"Stage": "ended", "Cause": "no_such"}
            return
        on = [t for (t, _), e in self.tasks.items() if e["Stage"] != "ended"]
        if key[0] in on:
            self.tasks[key] = {"Stage": "ended", "Cause": "in_use"}
            return
        used = sum(self.world.jobs[t.partition("/")[0]]["Cores"] for t in on)
        if used + job["Cores"] > self.kind["Cores"] + 1e-9:
            self.tasks[key] = {"Stage": "ended", "Cause": "full"}
            return
        self.tasks[key] = {"Stage": "fetching", "at": self.loop.time() + 0.5}

    def holds(self, job: dict[str, Any]) -> bool:
        """Might a task of the job be started here now?"""
        if job["Grades"] is not None and self.kind["Label"] not in job["Grades"]:
            return False
        if job["Yard"] not in (None, self.zone) or (self.spot and not job["Loaners"]):
            return False
        if job["OneZone"] or job["Apart"]:
            return False  # where it may be depends on its other tasks
        on = [t for (t, _), e in self.tasks.items() if e["Stage"] != "ended"]
        used = [self.world.jobs[t.partition("/")[0]] for t in on]
        return all(
            sum(other[what] for other in used) + job[what] <= self.kind[what] + 1e-9
            for what in ("Cores", "Gpus", "MemoryGb")
        )

    def finish(self, key: tuple[str, int], why: str) -> None:
        self._end(key, why)

    def _end(self, key: tuple[str, int], why: str) -> None:
        if self.tasks[key]["Stage"] != "fetching":
            self.world.referee.left(key[0], self)
        self.tasks[key] = {"Stage": "ended", "Cause": why}
        self.change.set()

    async def _run(self) -> None:
        """Tasks go on, and the lease runs out, unless the machine hangs."""
        while True:
            await asyncio.sleep(0.1)
            now = self.loop.time()
            if now - self.lease_from > self.world.lease:
                self._kill_all()
                self.session += 1
                self.tick = 0
                self.lease_from = now
                self.change.set()
            for key, entry in list(self.tasks.items()):
                if self.hung:
                    entry["at"] = entry.get("at", now) + 0.1
                    continue
                task = key[0]
                job = self.world.jobs[task.partition("/")[0]]
                if entry["Stage"] == "fetching" and now >= entry["at"]:
                    self.world.referee.entered(task, self, key[1])
                    whole = job["Shape"] == "group"
                    entry["Stage"] = "gathering" if whole else "running"
                    entry["at"] = now + job["RunS"]
                    self.change.set()
                if entry["Stage"] == "gathering" and self.world.gang_complete(task, key[1]):
                    entry["Stage"] = "running"
                    entry["at"] = now + job["RunS"]
                    self.change.set()
                if entry["Stage"] == "running" and now >= entry["at"]:
                    if job["Shape"] == "group":
                        self.world.end_gang(task, key[1])
                    elif self.faulty or job.get("Broken"):
                        self._end(key, "error")
                    else:
                        self.world.referee.completed(task)
                        self._end(key, "done")

    async def handle(self, request: Request) -> Response:
        while self.hung or self.deaf:
            await asyncio.sleep(0.2)
        if request.path == "/status":
            return reply(200, self.report())
        body = json.loads(request.body)
        if body["Baton"] < self.fencing_token or body["Shift"] != self.session:
            return reply(409, self.report())
        if body["Baton"] > self.fencing_token:
            self.fencing_token = body["Baton"]
            self.change.set()
        self._orders(body["Orders"])
        while self.answers_lost and body["Orders"]:
            await asyncio.sleep(0.2)
        return reply(200, self.report())


class Referee:
    """Watches the rules from outside: by what workers, users and the cloud see."""

    FORGOTTEN = 75.0  # s without an answered question, once all troubles are over
    WAITED = 90.0  # s beside room on a machine that fits
    FIELDS = (
        "Ref", "Lane", "Crew", "Shape", "Rank", "Pieces", "Cores", "Gpus", "MemoryGb", "Mould",
        "PullGb", "OneZone", "Apart", "Loaners", "GuessS", "MarkEveryS", "MarkS",
    )  # fmt: skip

    def __init__(self, world: "World") -> None:
        self.world = world
        self.calm_at: float | None = None  # since when there is no trouble any more
        self.answered_at: dict[str, float] = {}
        self.idle_from: dict[str, float] = {}  # since when a job waits beside room
        self.looked_at = 0.0
        self.started_cancelled: list[tuple[str, float]] = []  # and how long after the user knew
        self.on: dict[str, FakeWorker] = {}
        self.results: set[str] = set()
        self.told: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.starts = 0
        self.started: list[str] = []
        self.broken: list[str] = []

    def say(self, text: str) -> None:
        self.broken.append(f"{self.world.loop.time():.2f} {text}")

    def entered(self, task: str, worker: FakeWorker, token: int) -> None:
        self.starts += 1
        self.started.append(task)
        ref = task.partition("/")[0]
        job = self.world.jobs[ref]
        if task in self.on:
            self.say(f"ran_twice {task}: {self.on[task].name} and {worker.name}")
        self.on[task] = worker
        self._places(ref, job, worker)
        team = [t for t in self.on if self.world.jobs[t.partition("/")[0]]["Crew"] == job["Crew"]]
        used = sum(self.world.jobs[t.partition("/")[0]]["Cores"] for t in team)
        most = self.world.limits.get(job["Crew"], 0)
        if most and used > most + 1e-9:
            self.say(f"quota {job['Crew']}: {used}")
        if ref in self.cancelled_at:
            late = self.world.loop.time() - self.cancelled_at[ref]
            self.started_cancelled.append((task, late))
            self._late(task)

    def _places(self, ref: str, job: dict[str, Any], worker: FakeWorker) -> None:
        if job["Grades"] is not None and worker.kind["Label"] not in job["Grades"]:
            self.say(f"wrong_place {ref}: type {worker.kind['Label']}")
        if job["Yard"] is not None and worker.zone != job["Yard"]:
            self.say(f"wrong_place {ref}: zone {worker.zone}")
        if worker.spot and not job["Loaners"]:
            self.say(f"wrong_place {ref}: spot")
        zones = [w.zone for t, w in self.on.items() if t.partition("/")[0] == ref]
        if job["OneZone"] and len(set(zones)) > 1:
            self.say(f"wrong_place {ref}: several zones")
        if job["Apart"] and zones.count(worker.zone) > (job["Pieces"] + 1) // 2:
            self.say(f"wrong_place {ref}: too many in {worker.zone}")

    def _late(self, task: str) -> None:
        ref = task.partition("/")[0]
        if self.world.loop.time() > self.cancelled_at[ref] + self.world.cancel_s:
            self.say(f"ran_cancelled {task}")

    def left(self, task: str, worker: FakeWorker) -> None:
        if self.on.get(task) is worker:
            del self.on[task]

    def starts_of(self, ref: str) -> int:
        return sum(task.partition("/")[0] == ref for task in self.started)

    def completed(self, task: str) -> None:
        self.results.add(task)

    def check(self) -> None:
        for task in self.on:
            if task.partition("/")[0] in self.cancelled_at:
                self._late(task)
        now = self.world.loop.time()
        if self.calm_at is not None and now >= self.looked_at + 1:
            self.looked_at = now
            self._waiting(now)

    def calm(self) -> None:
        """All troubles are over."""
        self.calm_at = self.world.loop.time()
        self.idle_from.clear()

    def _waiting(self, now: float) -> None:
        """No job waits for long while a machine that fits has room and its team may use it."""
        jobs = self.world.jobs
        running = {task.partition("/")[0] for task in self.on}
        for ref, told in self.told.items():
            waits = (
                told not in ("done", "withdrawn")
                and ref not in running
                and not self.world.asked_cancel.get(ref)
                and any(f"{ref}/{i}" not in self.results for i in range(jobs[ref]["Pieces"]))
                and jobs[ref]["Shape"] != "group"
                and self._has_room(jobs[ref])
            )
            if not waits:
                self.idle_from.pop(ref, None)
            elif now - self.idle_from.setdefault(ref, now) > self.WAITED:
                self.say(f"waited {ref}")
                self.idle_from[ref] = now

    def _has_room(self, job: dict[str, Any]) -> bool:
        most = self.world.limits.get(job["Crew"], 0)
        team = [t for t in self.on if self.world.jobs[t.partition("/")[0]]["Crew"] == job["Crew"]]
        used = sum(self.world.jobs[t.partition("/")[0]]["Cores"] for t in team)
        if most and used + job["Cores"] > most + 1e-9:
            return False
        return any(
            worker.up and worker.recall is None and worker.holds(job)
            for worker in self.world.cloud.machines.values()
        )

    def _may_run(self, job: dict[str, Any]) -> bool:
        """Lacks it no field, and can it run at all?"""
        if any(job.get(field) is None for field in self.FIELDS):
            return False
        most = self.world.limits.get(job["Crew"], 0)
        count = job["Pieces"] if job["Shape"] == "group" else 1
        return (not most or job["Cores"] * count <= most + 1e-9) and any(
            job["Cores"] <= kind["Cores"] and job["Gpus"] <= kind["Gpus"]
            and job["MemoryGb"] <= kind["MemoryGb"]
            and (job["Grades"] is None or kind["Label"] in job["Grades"])
            and (job["Yard"] is None or job["Yard"] in kind["Yards"])
            for kind in self.world.cloud.TYPES
        )  # fmt: skip

    def answered(
        self, ref: str, verb: str, status: int, body: dict[str, Any], before: str | None
    ) -> None:
        """Something was told to a user, who knew `before` when asking: of two questions asked
        at the same time either answer may come first."""
        if status == 404 and before is not None:
            self.say(f"forgotten {ref}")
        if status in (400, 422) and before is not None:
            self.say(f"forgotten {ref}: {status}")
        now = self.world.loop.time()
        if status not in (200, 201):
            known = max(self.calm_at or now, self.answered_at.get(ref, 0.0))
            if before is not None and now - known > self.FORGOTTEN:
                self.say(f"forgotten {ref}: no answer")
            return
        self.answered_at[ref] = now
        if ref not in self.world.jobs:
            self.say(f"invented {ref}")
            return
        if verb == "submit" and not self._may_run(self.world.jobs[ref]):
            self.say(f"bad job accepted {ref}")
        stage = body["Stage"]
        if before in ("done", "withdrawn") and stage != before:
            self.say(f"went_back {ref}: {before}, then {stage}")
        if self.told.get(ref) not in ("done", "withdrawn"):
            self.told[ref] = stage
        elif stage in ("done", "withdrawn") and stage != self.told[ref]:
            self.say(f"went_back {ref}: {self.told[ref]} and {stage}")
        if stage == "withdrawn":
            if not self.world.asked_cancel.get(ref):
                self.say(f"went_back {ref}: nobody cancelled it")
            self.cancelled_at.setdefault(ref, self.world.loop.time())
        if stage == "done":
            pieces = self.world.jobs[ref]["Pieces"]
            if any(f"{ref}/{i}" not in self.results for i in range(pieces)):
                self.say(f"not_done {ref}")


class World:
    """Three controllers and everything around them."""

    CANCEL = 20.0  # s: `cancel_s`

    def __init__(
        self, loop: Loop, seed: int = 1, nodes: int = 3, limits: dict[str, float] | None = None,
        operator: dict[str, Any] | None = None, lease: float = FakeWorker.LEASE,
        cancel: float = CANCEL,
    ) -> None:  # fmt: skip
        self.loop = loop
        self.net = loop.net
        self.lease = lease
        self.cancel_s = cancel
        self.chance = random.Random(seed)
        self.limits = limits or {}
        self.nodes = [f"node-{i}" for i in range(nodes)]
        self.operator = operator or {}
        self.write_rps = 200.0  # changes a second that the state service takes
        self.copies = 0.0  # how many of the workers' reports arrive a second time, late
        self.state = FakeState(loop)
        self.cloud = FakeCloud(self)
        self.referee = Referee(self)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.asked_cancel: dict[str, bool] = {}
        self.running: dict[str, asyncio.Task[Any]] = {}
        self.parts: dict[str, Any] = {}

    def fronts(self) -> list[tuple[str, str]]:
        return [(name, f"10.0.0.{i + 1}:8080") for i, name in enumerate(self.nodes)]

    def host(self, name: str) -> str:
        return f"10.0.0.{self.nodes.index(name) + 1}"

    async def start(self) -> None:
        await self.state.start()
        await self.cloud.start()
        for name in self.nodes:
            self.boot(name)

    def settings(self, name: str) -> Any:
        from basaltlead.settings import Settings, _convert

        host = self.host(name)
        return _convert(
            {
                "member": name, "location": "a",
                "front": f"{host}:8080", "internal_addr": f"{host}:8081",
                "known": [
                    {"member": n, "location": "a", "address": f"{self.host(n)}:8081"}
                    for n in self.nodes if n != name
                ],
                "services": {"state": FakeState.ADDRESS, "cloud": FakeCloud.ADDRESS},
                "operator": {"idle_share": 3.0} | self.operator,
                "facts": {
                    "nodes": len(self.nodes), "zones": ["a", "b"],
                    "teams": [
                        {"name": team, "cpus_max": float(self.limits.get(team, 0))}
                        for team in ("red", "blue")
                    ],
                    "workers": {
                        "report_s": FakeWorker.REPORT, "lease_s": self.lease,
                        "gang_wait_s": 20.0, "gang_peer_s": 4.0, "cancel_s": self.cancel_s,
                    },
                    "state": {
                        "rps": 500.0, "write_rps": self.write_rps, "value_kb": 8.0, "txn_ops": 8,
                    },
                    "cloud": {"rps": 10.0, "list_lag_s": 2.0},
                },
            },
            Settings, "test",
        )  # fmt: skip

    def boot(self, name: str) -> None:
        from basaltlead.node import Node

        async def run() -> None:
            node = Node(self.settings(name))
            self.parts[name] = node
            await node.run()

        self.running[name] = on_host(self.host(name), run())

    def crash(self, name: str) -> None:
        """The process ends without a word."""
        node = self.parts.pop(name, None)
        self.running.pop(name).cancel()
        if node is not None:
            for task in node.every_task():
                task.cancel()
        self.net.power_off(self.host(name))

    def freeze(self, name: str) -> None:
        """The controller stands still; its clocks run on."""
        self.loop.freeze(self.host(name))

    def thaw(self, name: str) -> None:
        self.loop.thaw(self.host(name))

    def heal(self) -> None:
        """All troubles end at once: from now on the referee wants every job served."""
        for name in self.nodes:
            self.thaw(name)
            self.rejoin(name)
            if name not in self.running:
                self.boot(name)
        for machine in self.cloud.machines.values():
            machine.hung = machine.deaf = machine.mute = machine.answers_lost = False
        self.state.refused.clear()
        self.state.late_writes = 0.0
        self.state.slowness = 1.0
        self.net.slow.clear()
        self.net.refusing.clear()
        if self.state.down:
            self.state.outage_over()
        self.referee.calm()

    def isolate(self, name: str, state: bool = True, cloud: bool = True) -> None:
        """Cut a controller off from everybody, or from all but some."""
        for host in self._around(name, state, cloud):
            self.net.cut(self.host(name), host)

    def rejoin(self, name: str, deliver: bool = True) -> None:
        for host in self._around(name, True, True):
            self.net.heal(self.host(name), host, deliver)

    def estrange(self, name: str) -> None:
        """Cut a controller off from the state service and the other controllers, but not from
        its workers."""
        for host in self._betters(name):
            self.net.cut(self.host(name), host)

    def reconcile(self, name: str, deliver: bool = True) -> None:
        for host in self._betters(name):
            self.net.heal(self.host(name), host, deliver)

    def _betters(self, name: str) -> list[str]:
        return [self.host(n) for n in self.nodes if n != name] + [FakeState.HOST]

    def _around(self, name: str, state: bool, cloud: bool) -> list[str]:
        out = [self.host(n) for n in self.nodes if n != name]
        out += [f"10.1.{i // 250}.{i % 250}" for i in range(1000)]
        out += ["10.9.9.9"]
        return out + [FakeState.HOST] * state + [FakeCloud.HOST] * cloud

    def owner(self, block: int = 0) -> str | None:
        """The node that acts for a block, if one does; never two."""
        acting = [
            name
            for name, node in self.parts.items()
            if block in node.owners and node.owners[block].acts
        ]
        assert len(acting) <= 1, acting
        return acting[0] if acting else None

    async def busy(self, pieces: int, run_s: float) -> str:
        """Start, and have job 1 run with all its tasks; who owns the block."""
        await self.start()
        await self.submit(self.job(1, Pieces=pieces, RunS=run_s))
        await self.until(lambda: len(self.on("req-000001")) == pieces)
        owner = self.owner()
        assert owner is not None
        return owner

    def gang_complete(self, task: str, token: int) -> bool:
        ref = task.partition("/")[0]
        pieces = self.jobs[ref]["Pieces"]
        ready = 0
        for worker in self.cloud.machines.values():
            for (one, number), entry in worker.tasks.items():
                if one.partition("/")[0] == ref and number == token:
                    ready += entry["Stage"] in ("gathering", "running")
        return ready == pieces

    def end_gang(self, task: str, token: int) -> None:
        """A gang's tasks complete together, or notice that one of them is missing."""
        ref = task.partition("/")[0]
        found = [
            (worker, key)
            for worker in list(self.cloud.machines.values())
            for key, entry in list(worker.tasks.items())
            if key[0].partition("/")[0] == ref
            and key[1] == token
            and entry["Stage"] in ("gathering", "running")
        ]
        whole = len(found) == self.jobs[ref]["Pieces"] and not any(w.hung for w, _ in found)
        for worker, key in found:
            if whole:
                self.referee.completed(key[0])
            if not worker.hung:
                worker.finish(key, "done" if whole else "peers")

    # Users

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
        job = {
            "Ref": f"req-{number:06d}", "Lane": "reports", "Crew": "red", "Shape": "batch",
            "Rank": "standard", "Pieces": 1, "Cores": 1.0, "Gpus": 0.0, "MemoryGb": 1.0,
            "Mould": "img", "PullGb": 0.1, "Grades": None, "Yard": None, "OneZone": False,
            "Apart": False, "Loaners": True, "GuessS": 3.0, "MarkEveryS": 0.0, "MarkS": 0.0,
            "DueS": None, "RunS": 3.0,
        }  # fmt: skip
        return job | fields

    async def ask(
        self, node: str, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        raw = (
            b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        )
        pool = Pool(dict(self.fronts())[node], 1)
        try:
            status, answer = await pool.request(method, path, raw, 5_000_000)
        except Exception:
            return 0, {}
        finally:
            pool.close()
        return status, json.loads(answer)

    async def submit(self, job: dict[str, Any], node: str | None = None) -> int:
        """Until it is accepted, at any node."""
        self.jobs[job["Ref"]] = job
        while True:
            name = node or self.chance.choice(self.nodes)
            before = self.referee.told.get(job["Ref"])
            status, body = await self.ask(name, "POST", "/api/jobs", job)
            self.referee.answered(job["Ref"], "submit", status, body, before)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1)

    async def poll(self, ref: str, node: str | None = None) -> str:
        name = node or self.chance.choice(self.nodes)
        before = self.referee.told.get(ref)
        status, body = await self.ask(name, "GET", f"/api/jobs/{ref}")
        self.referee.answered(ref, "poll", status, body, before)
        return str(body.get("Stage", status))

    async def cancel(self, ref: str, node: str | None = None) -> str:
        self.asked_cancel[ref] = True
        while True:
            name = node or self.chance.choice(self.nodes)
            before = self.referee.told.get(ref)
            status, body = await self.ask(name, "POST", f"/api/jobs/{ref}/cancel")
            self.referee.answered(ref, "cancel", status, body, before)
            if status in (200, 404):
                return str(body.get("Stage", status))
            await asyncio.sleep(1)

    async def until(self, what: Any, seconds: float = 60.0) -> None:
        end = self.loop.time() + seconds
        while not what():
            assert self.loop.time() < end, "waited in vain"
            self.referee.check()
            await asyncio.sleep(0.1)

    async def until_done(self, *refs: str, seconds: float = 90.0) -> None:
        end = self.loop.time() + seconds
        left = set(refs)
        while left:
            assert self.loop.time() < end, f"never done: {left}"
            self.referee.check()
            left = {ref for ref in left if await self.poll(ref) != "done"}
            await asyncio.sleep(1)

    def on(self, ref: str) -> list[str]:
        return [task for task in self.referee.on if task.partition("/")[0] == ref]

    def verdict(self) -> None:
        self.referee.check()
        assert not self.referee.broken, "; ".join(self.referee.broken)
        assert self.referee.starts > 0
