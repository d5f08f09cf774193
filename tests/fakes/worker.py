"""A stand-in for a machine and its worker, by the protocol."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

from basaltlead.net.http.client import Pool
from basaltlead.net.http.messages import Request, Response
from basaltlead.net.http.server import Server
from tests.fakes.replies import reply
from tests.simulation import on_host

if TYPE_CHECKING:
    from tests.fakes.deployment import World


class FakeWorker:
    """A machine: boots, reports, runs tasks, obeys tokens and its lease."""

    REPORT = 1.0
    LEASE = 6.0

    def __init__(
        self, world: "World", name: str, machine_type: dict[str, Any], zone: str, spot: bool
    ) -> None:
        self.world = world
        self.loop = world.loop
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        number = int(name[2:])
        self.host = f"{world.NETWORK}.1.{number // 250 % 4}.{number % 250}"
        self.address = f"{self.host}:9000"
        self.born = self.loop.time()
        self.epoch = 1
        self.tick = 0
        self.fencing_token = 0
        self.recall: float | None = None
        self.up = False
        self.hung = False
        self.deaf = False  # its reports arrive, but answers and commands don't reach it
        self.faulty = False  # all that runs on it fails
        self.answers_lost = False  # direct commands are executed, and their answers lost
        self.failed = False  # it has stopped by itself
        self.mute = False  # it reaches no controller, while direct commands reach it
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.change = asyncio.Event()
        self.lease_from = self.born
        self.task = on_host(self.host, self._live())

    def age(self) -> float:
        return self.loop.time() - self.born

    def listed(self) -> dict[str, Any]:
        return {
            "Ref": self.name,
            "Addr": self.address,
            "Grade": self.machine_type["Label"],
            "Yard": self.zone,
            "Loaners": self.spot,
            "HeldS": self.age(),
            "Stage": "failed" if self.failed else "running" if self.up else "starting",
        }

    def stop(self) -> None:
        self.task.cancel()
        self._kill_all()
        self.world.net.power_off(self.host)

    def _kill_all(self) -> None:
        for (task, _), entry in self.tasks.items():
            if entry["Stage"] != "ended":
                self.world.rule_checker.left(task, self)
        self.tasks.clear()

    async def _live(self) -> None:
        await asyncio.sleep(self.machine_type["ReadyS"])
        server = self.world.servers[self.host] = Server(self.handle, 100)
        await server.start(self.address)
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
            sent, epoch = self.loop.time(), self.epoch
            if self.mute:
                pool.close()
                at += 1
                await asyncio.sleep(1)
                continue
            body = json.dumps(self.heartbeat()).encode()
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
                self._obey(json.loads(answer), sent, epoch)
                await self._pause()
            elif status == 421:
                pool.close()
                shard_leader = json.loads(answer).get("Foreman")
                found = [i for i, node in enumerate(nodes) if node[0] == shard_leader]
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

    def heartbeat(self) -> dict[str, Any]:
        self.tick += 1
        tasks = [
            {"Piece": task, "Try": token, "Stage": e["Stage"]}
            | ({"Cause": e["Cause"], "Saved": False} if e["Stage"] == "ended" else {})
            for (task, token), e in self.tasks.items()
        ]
        recall = None if self.recall is None else max(0.0, self.recall - self.loop.time())
        return {
            "Anvil": self.name,
            "Addr": self.address,
            "Grade": self.machine_type["Label"],
            "Yard": self.zone,
            "Loaners": self.spot,
            "Shift": self.epoch,
            "Tick": self.tick,
            "Baton": self.fencing_token,
            "RecallS": recall,
            "Pieces": tasks,
        }

    def _obey(self, answer: dict[str, Any], sent: float, epoch: int) -> None:
        if epoch != self.epoch or answer.get("Baton", -1) < self.fencing_token or self.hung:
            return
        if answer["Baton"] > self.fencing_token:
            self.fencing_token = answer["Baton"]
            self.change.set()
        self.lease_from = sent
        self._orders(answer["Orders"])

    def _orders(self, commands: list[dict[str, Any]]) -> None:
        for order in commands:
            key = (order["Piece"], order["Try"])
            if order["Verb"] == "run":
                self._start(key)
            elif order["Verb"] == "forget":
                entry = self.tasks.get(key)
                if entry is not None and entry["Stage"] == "ended":
                    del self.tasks[key]
            elif key in self.tasks and self.tasks[key]["Stage"] != "ended":
                self._end(key, "stopped")
        if commands:
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
        if used + job["Cores"] > self.machine_type["Cores"] + 1e-9:
            self.tasks[key] = {"Stage": "ended", "Cause": "full"}
            return
        self.tasks[key] = {"Stage": "fetching", "at": self.loop.time() + 0.5}

    def holds(self, job: dict[str, Any]) -> bool:
        """Might a task of the job be started here now?"""
        if job["Grades"] is not None and self.machine_type["Label"] not in job["Grades"]:
            return False
        if job["Yard"] not in (None, self.zone) or (self.spot and not job["Loaners"]):
            return False
        if job["OneZone"] or job["Apart"]:
            return False  # where it may be depends on its other tasks
        on = [t for (t, _), e in self.tasks.items() if e["Stage"] != "ended"]
        used = [self.world.jobs[t.partition("/")[0]] for t in on]
        return all(
            sum(other[what] for other in used) + job[what] <= self.machine_type[what] + 1e-9
            for what in ("Cores", "Gpus", "MemoryGb")
        )

    def finish(self, key: tuple[str, int], why: str) -> None:
        self._end(key, why)

    def _end(self, key: tuple[str, int], why: str) -> None:
        if self.tasks[key]["Stage"] != "fetching":
            self.world.rule_checker.left(key[0], self)
        self.tasks[key] = {"Stage": "ended", "Cause": why}
        self.change.set()

    async def _run(self) -> None:
        """Tasks go on, and the lease runs out, unless the machine hangs."""
        while True:
            await asyncio.sleep(0.1)
            now = self.loop.time()
            if now - self.lease_from > self.world.lease:
                self._kill_all()
                self.epoch += 1
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
                    self.world.rule_checker.entered(task, self, key[1])
                    whole = job["Shape"] == "group"
                    entry["Stage"] = "gathering" if whole else "running"
                    entry["at"] = now + self._run_s(job)
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
                    elif job["Shape"] == "service":
                        self._end(key, job["EndsWith"])
                    else:
                        self.world.rule_checker.completed(task)
                        self._end(key, "done")

    def _run_s(self, job: dict[str, Any]) -> float:
        """A replica runs for ever, but for those of a job that says otherwise."""
        if job["Shape"] != "service" or self.faulty or job.get("Broken"):
            return float(job["RunS"])
        return float(job["RunS"]) if "EndsWith" in job else 1e9

    async def handle(self, request: Request) -> Response:
        while self.hung or self.deaf:
            await asyncio.sleep(0.2)
        if request.path == "/status":
            return reply(200, self.heartbeat())
        body = json.loads(request.body)
        if body["Baton"] < self.fencing_token or body["Shift"] != self.epoch:
            return reply(409, self.heartbeat())
        if body["Baton"] > self.fencing_token:
            self.fencing_token = body["Baton"]
            self.change.set()
        self._orders(body["Orders"])
        while self.answers_lost and body["Orders"]:
            await asyncio.sleep(0.2)
        return reply(200, self.heartbeat())
