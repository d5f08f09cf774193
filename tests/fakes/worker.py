"""A fake of a machine and the worker on it, which speaks the workers' protocol."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

from basaltlead.errors import RequestFailed
from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.messages import STATUS_OK, Request, Response
from basaltlead.net.http.server import Server
from tests.fakes.replies import reply
from tests.simulation import on_host, poll_until

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment


class FakeWorker:
    """A machine: boots, sends heartbeats, runs tasks, and respects fencing tokens and its lease."""

    HEARTBEAT_INTERVAL_S = 1.0
    LEASE_S = 6.0
    IMAGE_FETCH_S = 0.5
    GANG_WAIT_S = 20.0  # how long a task of a gang waits for the others once it has its image

    def __init__(
        self,
        deployment: "Deployment",
        name: str,
        machine_type: dict[str, Any],
        zone: str,
        spot: bool,
    ) -> None:
        self.deployment = deployment
        self.loop = deployment.loop
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        number = int(name[2:])
        self.host = f"{deployment.NETWORK}.1.{number // 250 % 4}.{number % 250}"
        self.address = f"{self.host}:9000"
        self.created_at = self.loop.time()
        self.epoch = 1
        self.sequence = 0
        self.fencing_token = 0
        self.preemption_at: float | None = None
        self.up = False
        self.hung = False
        # Its heartbeats arrive, but it ignores the responses, and it handles pushed commands and
        # probes only after the fault
        self.unreachable = False
        self.faulty = False  # every task on it fails
        self.answers_lost = False  # pushed commands are executed, but answered only after the fault
        self.failed = False  # the machine has stopped by itself
        self.sends_no_heartbeats = False  # it still executes pushed commands
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}  # by task and attempt number
        self.images: set[str] = set()  # images fetched so far
        self.image_fetch_s = self.IMAGE_FETCH_S
        self.state_changed = asyncio.Event()
        self.executed_starts: list[Request] = []  # pushed, carried out and answered
        self.started: set[tuple[int, str, int]] = set()  # by epoch, task and attempt number
        self.refused_reason: str | None = None  # why every start is refused, if it is
        self.lease_started_at = self.created_at
        self.task = on_host(self.host, self._boot_and_serve())

    def age_s(self) -> float:
        """Return the seconds since the machine was rented."""
        return self.loop.time() - self.created_at

    def list_row(self) -> dict[str, Any]:
        """Return the machine's row in the cloud's list."""
        return {
            "Ref": self.name,
            "Addr": self.address,
            "Grade": self.machine_type["Label"],
            "Yard": self.zone,
            "Loaners": self.spot,
            "HeldS": self.age_s(),
            "Stage": "failed" if self.failed else "running" if self.up else "starting",
        }

    def stop(self) -> None:
        """Stop the machine, because it is deleted or crashes."""
        self.task.cancel()
        self._stop_all_tasks()
        self.deployment.net.power_off(self.host)

    def _stop_all_tasks(self) -> None:
        for (task, _), entry in self.tasks.items():
            if entry["Stage"] != "ended":
                self.deployment.rule_checker.task_stopped(task, self)
        self.tasks.clear()

    def begin_next_epoch(self) -> None:
        """End the epoch, as when the lease expires: all tasks stop."""
        self._stop_all_tasks()
        self.epoch += 1
        self.sequence = 0
        self.lease_started_at = self.loop.time()
        self.state_changed.set()

    async def _boot_and_serve(self) -> None:
        await asyncio.sleep(self.machine_type["ReadyS"])
        server = self.deployment.servers[self.host] = Server(self.handle, 100)
        await server.start(self.address)
        self.up = True
        self.lease_started_at = self.loop.time()
        task_runner = self.loop.create_task(self._advance_tasks())
        try:
            await self._send_heartbeats()
        finally:
            task_runner.cancel()

    async def _send_heartbeats(self) -> None:
        nodes = self.deployment.front_addresses()
        node_index = self.deployment.rng.randrange(len(nodes))
        pools: dict[str, ConnectionPool] = {}
        while True:
            await poll_until(lambda: not self.hung, 0.1)
            _, address = nodes[node_index % len(nodes)]
            pool = pools.setdefault(address, ConnectionPool(address, 2))
            sent_at, epoch = self.loop.time(), self.epoch
            if self.sends_no_heartbeats:
                pool.close()
                node_index += 1
                await asyncio.sleep(1)
                continue
            body = json.dumps(self.heartbeat()).encode()
            if self.deployment.rng.random() < self.deployment.heartbeat_copy_rate:
                on_host(self.host, self._send_copy(body))
            try:
                status, response = await pool.request("POST", "/agent/beat", body, 4_000_000)
            except RequestFailed:
                status, response = 0, b""
            if self.unreachable:
                pool.close()
                await asyncio.sleep(max(0.0, sent_at + 4 - self.loop.time()))
                status = 0
            if status == 200:
                self._apply_response(json.loads(response), sent_at, epoch)
                await self._wait_for_interval()
            elif status == 421:
                pool.close()
                shard_leader = json.loads(response).get("Foreman")
                matching = [i for i, node in enumerate(nodes) if node[0] == shard_leader]
                if matching and matching[0] != node_index % len(nodes):
                    node_index = matching[0]
                    await asyncio.sleep(self.deployment.rng.uniform(0, 0.5))
                else:
                    node_index += 1
                    await asyncio.sleep(1)
            else:
                node_index += 1
                await asyncio.sleep(1)

    async def _send_copy(self, body: bytes) -> None:
        """Deliver a late copy of a heartbeat to any controller, even if the machine is gone."""
        await asyncio.sleep(self.deployment.rng.uniform(0.5, 2.5 * self.deployment.lease))
        _, address = self.deployment.rng.choice(self.deployment.front_addresses())
        pool = ConnectionPool(address, 1)
        try:
            await pool.request("POST", "/agent/beat", body, 4_000_000)
        except RequestFailed:
            pass
        finally:
            pool.close()

    async def _wait_for_interval(self) -> None:
        self.state_changed.clear()
        await asyncio.sleep(0.5)
        try:
            async with asyncio.timeout(
                self.HEARTBEAT_INTERVAL_S * self.deployment.rng.uniform(0.75, 1.25) - 0.5
            ):
                await self.state_changed.wait()
        except TimeoutError:
            pass

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat, as it is sent."""
        self.sequence += 1
        tasks = [
            {"Piece": task, "Try": attempt_number, "Stage": entry["Stage"]}
            | ({"Cause": entry["Cause"], "Saved": False} if entry["Stage"] == "ended" else {})
            for (task, attempt_number), entry in self.tasks.items()
        ]
        preemption_in_s = (
            None if self.preemption_at is None else max(0.0, self.preemption_at - self.loop.time())
        )
        return {
            "Anvil": self.name,
            "Addr": self.address,
            "Grade": self.machine_type["Label"],
            "Yard": self.zone,
            "Loaners": self.spot,
            "Shift": self.epoch,
            "Tick": self.sequence,
            "Baton": self.fencing_token,
            "RecallS": preemption_in_s,
            "Pieces": tasks,
        }

    def _apply_response(self, response: dict[str, Any], sent_at: float, epoch: int) -> None:
        if epoch != self.epoch or response.get("Baton", -1) < self.fencing_token or self.hung:
            return
        if response["Baton"] > self.fencing_token:
            self.fencing_token = response["Baton"]
            self.state_changed.set()
        self.lease_started_at = sent_at
        self._execute(response["Orders"])

    def _execute(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            key = (command["Piece"], command["Try"])
            if command["Verb"] == "run":
                self._start(key)
            elif command["Verb"] == "forget":
                entry = self.tasks.get(key)
                if entry is not None and entry["Stage"] == "ended":
                    del self.tasks[key]
            elif key in self.tasks and self.tasks[key]["Stage"] != "ended":
                self._end(key, "stopped")
        if commands:
            self.state_changed.set()

    def _start(self, key: tuple[str, int]) -> None:
        if key in self.tasks:
            return
        if (self.epoch, *key) in self.started:
            self.deployment.rule_checker.add_violation(f"started again {key}: {self.name}")
        self.started.add((self.epoch, *key))
        job = self.deployment.jobs.get(key[0].partition("/")[0])
        if self.refused_reason is not None or job is None:
            self.tasks[key] = {"Stage": "ended", "Cause": self.refused_reason or "no_such"}
            return
        active = [t for (t, _), entry in self.tasks.items() if entry["Stage"] != "ended"]
        if key[0] in active:
            self.tasks[key] = {"Stage": "ended", "Cause": "in_use"}
            return
        used = sum(self.deployment.jobs[t.partition("/")[0]]["Cores"] for t in active)
        if used + job["Cores"] > self.machine_type["Cores"] + 1e-9:
            self.tasks[key] = {"Stage": "ended", "Cause": "full"}
            return
        self.tasks[key] = {"Stage": "fetching", "at": self.loop.time() + self._fetch_s(job)}

    def _fetch_s(self, job: dict[str, Any]) -> float:
        image = job["Mould"]
        if self.deployment.caches_images and image in self.images:
            return 0.0
        return self.image_fetch_s

    def has_room_for(self, job: dict[str, Any]) -> bool:
        """Whether a task of the job could be started here now; False if that is uncertain."""
        if job["Grades"] is not None and self.machine_type["Label"] not in job["Grades"]:
            return False
        if job["Yard"] not in (None, self.zone) or (self.spot and not job["Loaners"]):
            return False
        if job["OneZone"] or job["Apart"]:
            return False  # its placement depends on its other tasks
        active = [t for (t, _), entry in self.tasks.items() if entry["Stage"] != "ended"]
        used = [self.deployment.jobs[t.partition("/")[0]] for t in active]
        return all(
            sum(other[resource] for other in used) + job[resource]
            <= self.machine_type[resource] + 1e-9
            for resource in ("Cores", "Gpus", "MemoryGb")
        )

    def finish(self, key: tuple[str, int], why: str) -> None:
        """End an attempt for this reason."""
        self._end(key, why)

    def _end(self, key: tuple[str, int], why: str) -> None:
        if self.tasks[key]["Stage"] != "fetching":
            self.deployment.rule_checker.task_stopped(key[0], self)
        self.tasks[key] = {"Stage": "ended", "Cause": why}
        self.state_changed.set()

    async def _advance_tasks(self) -> None:
        """Advance the tasks and check the lease. While the machine hangs, its tasks don't advance,
        but the lease expires all the same."""
        while True:
            await asyncio.sleep(0.1)
            now = self.loop.time()
            if now - self.lease_started_at > self.deployment.lease:
                self.begin_next_epoch()
            for key, entry in list(self.tasks.items()):
                if self.hung:
                    entry["at"] = entry.get("at", now) + 0.1
                    continue
                task = key[0]
                job = self.deployment.jobs[task.partition("/")[0]]
                if entry["Stage"] == "fetching" and now >= entry["at"]:
                    self.deployment.rule_checker.task_started(task, self, key[1])
                    self.images.add(job["Mould"])
                    is_gang = job["Shape"] == "group"
                    entry["Stage"] = "gathering" if is_gang else "running"
                    entry["at"] = now + (self.GANG_WAIT_S if is_gang else self._run_s(job))
                    self.state_changed.set()
                if entry["Stage"] == "gathering" and self.deployment.gang_complete(task, key[1]):
                    entry["Stage"] = "running"
                    entry["at"] = now + job["RunS"]
                    self.state_changed.set()
                elif entry["Stage"] == "gathering" and now >= entry["at"]:
                    self._end(key, "incomplete")
                if entry["Stage"] == "running" and now >= entry["at"]:
                    if self.faulty or job.get("Broken"):
                        self._end(key, "error")
                    elif job["Shape"] == "group":
                        self.deployment.end_gang(task, key[1])
                    elif job["Shape"] == "service":
                        self._end(key, job.get("EndsWith", "error"))
                    else:
                        self.deployment.rule_checker.task_completed(task)
                        self._end(key, "done")

    def _run_s(self, job: dict[str, Any]) -> float:
        """Return the run time of a task. Replicas run forever, unless they fail or the job has
        `EndsWith`."""
        if job["Shape"] != "service" or self.faulty or job.get("Broken"):
            return float(job["RunS"])
        return float(job["RunS"]) if "EndsWith" in job else 1e9

    async def handle(self, request: Request) -> Response:
        """Handle pushed commands or a probe."""
        await poll_until(lambda: not (self.hung or self.unreachable), 0.2)
        if request.path == "/status":
            return reply(200, self.heartbeat())
        if self.deployment.copy_rng.random() < self.deployment.command_copy_share:
            on_host(self.host, self._receive_copy(request))
        response = await self._receive_commands(request)
        if response.status == STATUS_OK and b'"run"' in request.body:
            self.executed_starts.append(request)
        return response

    async def _receive_copy(self, request: Request) -> None:
        """Receive pushed commands once more, late; nobody receives the answer."""
        await asyncio.sleep(self.deployment.copy_rng.uniform(*self.deployment.command_copy_span_s))
        if self.deployment.cloud.machines.get(self.name) is self:
            await self.receive_again(request)

    async def receive_again(self, request: Request) -> None:
        """Receive a copy of pushed commands."""
        await poll_until(lambda: not self.hung, 0.2)
        await self._receive_commands(request)

    async def _receive_commands(self, request: Request) -> Response:
        body = json.loads(request.body)
        if body["Baton"] < self.fencing_token or body["Shift"] != self.epoch:
            return reply(409, self.heartbeat())
        if body["Baton"] > self.fencing_token:
            self.fencing_token = body["Baton"]
            self.state_changed.set()
        self._execute(body["Orders"])
        await poll_until(lambda: not (self.answers_lost and body["Orders"]), 0.2)
        return reply(200, self.heartbeat())
