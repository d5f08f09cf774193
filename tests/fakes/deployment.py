"""A simulated deployment: controllers, the services that they use, and their users."""

import asyncio
import json
import random
from typing import Any

from basaltlead.errors import RequestFailed
from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.server import Server
from tests.fakes.cloud import FakeCloud
from tests.fakes.duty_checker import DutyChecker
from tests.fakes.old_version import OldController
from tests.fakes.rule_checker import RuleChecker
from tests.fakes.store import FakeKeyValueStore
from tests.fakes.worker import FakeWorker
from tests.simulation import Loop, on_host


class Deployment:
    """Three controllers, the key-value store, the cloud with its workers, and the users."""

    CANCEL_S = 20.0  # default of the setting `cancel_s`
    NETWORK = "10"  # first octet of all addresses

    def __init__(
        self,
        loop: Loop,
        seed: int = 1,
        nodes: int = 3,
        team_cpus_max: dict[str, float] | None = None,
        operator: dict[str, Any] | None = None,
        lease: float = FakeWorker.LEASE_S,
        cancel: float = CANCEL_S,
        announced_limits: dict[str, float] | None = None,
    ) -> None:
        self.loop = loop
        self.net = loop.net
        self.lease = lease
        self.cancel_s = cancel
        self.rng = random.Random(seed)
        self.team_cpus_max = team_cpus_max or {}
        self.nodes = [f"node-{i}" for i in range(nodes)]
        self.operator = operator or {}
        self.announced_limits = announced_limits  # in force after `apply_announced_limits`
        self.old_version_nodes: set[str] = set()  # they run the last version without services
        self.write_rps = 200.0  # changes per second that the settings allow
        self.heartbeat_copy_rate = 0.0  # share of heartbeats that arrive a second time, late
        # Share of pushed commands that arrive a second time, late by this span in s
        self.command_copy_share = 0.0
        self.command_copy_span_s = (0.1, 2.0 * lease)
        self.copy_rng = random.Random(seed)  # of its own: other draws don't depend on copies
        self.caches_images = False  # whether a task starts at once if its machine has its image
        self.store = FakeKeyValueStore(loop)
        self.cloud = FakeCloud(self)
        self.rule_checker = RuleChecker(self)
        self.duty_checker = DutyChecker(self.store, self.cloud)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancel_requested: dict[str, bool] = {}
        self.controller_tasks: dict[str, asyncio.Task[Any]] = {}
        self.servers: dict[str, Server] = {}  # of the workers, by host
        self.controllers: dict[str, Any] = {}
        # The last count for `gang_complete`: gang, attempt number and time, and ready tasks
        self._gang_counted: tuple[tuple[str, int, float], int] = (("", 0, 0.0), 0)

    def front_addresses(self) -> list[tuple[str, str]]:
        """Return each controller's name, and the address that users and workers call."""
        return [(name, f"{self.host(name)}:8080") for name in self.nodes]

    def host(self, name: str) -> str:
        """Return the host of a controller."""
        return f"{self.NETWORK}.0.0.{self.nodes.index(name) + 1}"

    async def start(self) -> None:
        """Start the key-value store, the cloud and all controllers."""
        await self.store.start()
        await self.cloud.start()
        for name in self.nodes:
            self.start_controller(name)

    def settings(self, name: str) -> Any:
        """Return the settings of a controller, as it loads them."""
        from basaltlead.config.loader import convert
        from basaltlead.config.settings import Settings

        return convert(self.settings_file(name), Settings, "test")

    def settings_file(self, name: str) -> dict[str, Any]:
        """Return the contents of the settings file that the platform provides to a controller."""
        host = self.host(name)
        return {
            "member": name,
            "location": "a",
            "front": f"{host}:8080",
            "internal_addr": f"{host}:8081",
            "known": [
                {"member": n, "location": "a", "address": f"{self.host(n)}:8081"}
                for n in self.nodes
                if n != name
            ],
            "services": {"state": FakeKeyValueStore.ADDRESS, "cloud": FakeCloud.ADDRESS},
            "operator": {"idle_share": 3.0} | self.operator,
            "facts": {
                "nodes": len(self.nodes),
                "zones": ["a", "b"],
                "teams": [
                    {"name": team, "cpus_max": float(self.team_cpus_max.get(team, 0))}
                    for team in ("red", "blue")
                ],
                "workers": {
                    "report_s": FakeWorker.HEARTBEAT_INTERVAL_S,
                    "lease_s": self.lease,
                    "gang_wait_s": FakeWorker.GANG_WAIT_S,
                    "gang_peer_s": 4.0,
                    "cancel_s": self.cancel_s,
                },
                "state": {
                    "rps": 500.0,
                    "write_rps": self.write_rps,
                    "value_kb": 8.0,
                    "txn_ops": 8,
                }
                | ({"next": self.announced_limits} if self.announced_limits is not None else {}),
                "cloud": {"rps": 10.0, "list_lag_s": 2.0},
            },
        }

    def start_controller(self, name: str) -> None:
        """Start a controller's process."""
        from basaltlead.controller import Controller

        async def run() -> None:
            node = (OldController if name in self.old_version_nodes else Controller)(
                self.settings(name)
            )
            self.controllers[name] = node
            await node.run()

        self.controller_tasks[name] = on_host(self.host(name), run())

    def apply_announced_limits(self) -> None:
        """Put the announced limits of the key-value store into force."""
        assert self.announced_limits is not None
        if "value_kb" in self.announced_limits:
            self.store.value_bytes = int(self.announced_limits["value_kb"] * 1024)
        self.store.write_rps = self.announced_limits.get("write_rps")
        self.store.max_operations = int(
            self.announced_limits.get("txn_ops", self.store.max_operations)
        )

    def crash(self, name: str) -> None:
        """End a controller's process at once, without releasing leases or duties."""
        node = self.controllers.pop(name, None)
        self.controller_tasks.pop(name).cancel()
        if node is not None:
            for task in node.all_tasks():
                task.cancel()
        self.net.power_off(self.host(name))

    async def restart(self, name: str, downtime_s: float) -> None:
        """Crash a controller, and start it again after its downtime."""
        self.crash(name)
        await asyncio.sleep(downtime_s)
        self.start_controller(name)

    def freeze(self, name: str) -> None:
        """Suspend a controller; its clocks run on."""
        self.loop.freeze(self.host(name))

    def thaw(self, name: str) -> None:
        """Resume a frozen controller, with all callbacks that became due in the meantime."""
        self.loop.thaw(self.host(name))

    def end_all_faults(self) -> None:
        """End all faults. From now on the rule checker also requires that jobs start in time and
        users get responses in time."""
        for name in self.nodes:
            self.thaw(name)
            self.rejoin(name)
            if name not in self.controller_tasks:
                self.start_controller(name)
        for machine in self.cloud.machines.values():
            machine.hung = machine.unreachable = machine.sends_no_heartbeats = (
                machine.answers_lost
            ) = False
        self.store.refused_hosts.clear()
        self.command_copy_share = 0.0
        self.store.late_write_share = 0.0
        self.store.corrupt_reply = self.cloud.corrupt_reply = None
        self.cloud.error_status = 0
        self.cloud.answer_delay_s = 0.02
        self.store.latency_factor = 1.0
        self.net.slow.clear()
        self.net.refusing_addresses.clear()
        if self.store.down:
            self.store.end_outage()
        self.rule_checker.start_time_limit_checks()

    def isolate(self, name: str, store: bool = True, cloud: bool = True) -> None:
        """Cut a controller off from all hosts; the store and the cloud are optional."""
        for host in self._other_hosts(name, store, cloud):
            self.net.cut(self.host(name), host)

    def rejoin(self, name: str, deliver: bool = True) -> None:
        """End `isolate`. What was sent in the meantime is delivered late, or lost if `deliver` is
        false."""
        for host in self._other_hosts(name, True, True):
            self.net.heal(self.host(name), host, deliver)

    def cut_from_store_and_peers(self, name: str) -> None:
        """Cut a controller off from the key-value store and the other controllers, but not from
        its workers."""
        for host in self._store_and_peers(name):
            self.net.cut(self.host(name), host)

    def rejoin_store_and_peers(self, name: str, deliver: bool = True) -> None:
        """End `cut_from_store_and_peers`."""
        for host in self._store_and_peers(name):
            self.net.heal(self.host(name), host, deliver)

    def _store_and_peers(self, name: str) -> list[str]:
        return [self.host(n) for n in self.nodes if n != name] + [FakeKeyValueStore.HOST]

    def _other_hosts(self, name: str, include_store: bool, include_cloud: bool) -> list[str]:
        hosts = [self.host(n) for n in self.nodes if n != name]
        hosts += [f"10.1.{i // 250}.{i % 250}" for i in range(1000)]
        hosts += ["10.9.9.9"]
        return hosts + [FakeKeyValueStore.HOST] * include_store + [FakeCloud.HOST] * include_cloud

    def shard_leader(self, shard: int = 0) -> str | None:
        """Return the controller that acts for a shard, or None; fails if there are two."""
        acting = [
            name
            for name, node in self.controllers.items()
            if shard in node.shard_leaders and node.shard_leaders[shard].holds_valid_lease
        ]
        assert len(acting) <= 1, acting
        return acting[0] if acting else None

    def acting_shard_leader(self, shard: int = 0) -> str:
        """Return the controller that acts for a shard; fails if there is none."""
        name = self.shard_leader(shard)
        assert name is not None, f"no controller acts for shard {shard}"
        return name

    def holder(self, duty: str) -> str | None:
        """Return the controller that acts for a duty, or None; fails if there are two."""
        acting = [
            name
            for name, node in self.controllers.items()
            for held_duty, holder in node.duties.holders.items()
            if held_duty == duty and holder.holds_valid_lease
        ]
        assert len(acting) <= 1, acting
        return acting[0] if acting else None

    def acting_holder(self, duty: str) -> str:
        """Return the controller that acts for a duty; fails if there is none."""
        name = self.holder(duty)
        assert name is not None, f"no controller acts for duty {duty}"
        return name

    def other_nodes(self, *names: str | None) -> list[str]:
        """Return all controllers except these, in order."""
        return [name for name in self.nodes if name not in names]

    def other_node(self, *names: str | None) -> str:
        """Return the first controller that is not one of these."""
        return self.other_nodes(*names)[0]

    async def start_with_running_job(self, pieces: int, run_s: float) -> str:
        """Start, wait until all tasks of job 1 run, and return the shard leader's name."""
        await self.start()
        await self.submit(self.job(1, Pieces=pieces, RunS=run_s))
        await self.wait_until(lambda: len(self.running_tasks("req-000001")) == pieces)
        return self.acting_shard_leader()

    def gang_complete(self, task: str, attempt_number: int) -> bool:
        """Whether all tasks of the gang with this attempt number are on their machines. Counted
        once at a time for all its tasks that ask."""
        ref = task.partition("/")[0]
        key = (ref, attempt_number, self.loop.time())
        if self._gang_counted[0] != key:
            self._gang_counted = (key, self._ready_count(ref, attempt_number))
        pieces: int = self.jobs[ref]["Pieces"]
        return self._gang_counted[1] == pieces

    def _ready_count(self, ref: str, attempt_number: int) -> int:
        return sum(
            entry["Stage"] in ("gathering", "running")
            for worker in self.cloud.machines.values()
            for (task, number), entry in worker.tasks.items()
            if number == attempt_number and task.partition("/")[0] == ref
        )

    def end_gang(self, task: str, attempt_number: int) -> None:
        """End the tasks of the gang with this attempt number. They complete together, or fail if
        any of them is missing or on a hung machine."""
        ref = task.partition("/")[0]
        attempts = [
            (worker, key)
            for worker in list(self.cloud.machines.values())
            for key, entry in list(worker.tasks.items())
            if key[0].partition("/")[0] == ref
            and key[1] == attempt_number
            and entry["Stage"] in ("gathering", "running")
        ]
        complete = len(attempts) == self.jobs[ref]["Pieces"] and not any(
            w.hung for w, _ in attempts
        )
        for worker, key in attempts:
            if complete:
                self.rule_checker.task_completed(key[0])
            if not worker.hung:
                worker.finish(key, "done" if complete else "peers")

    # Users

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
        """Return a submission as it is sent: a small array; `fields` override its values."""
        job = {
            "Ref": f"req-{number:06d}",
            "Lane": "reports",
            "Crew": "red",
            "Shape": "batch",
            "Rank": "standard",
            "Pieces": 1,
            "Cores": 1.0,
            "Gpus": 0.0,
            "MemoryGb": 1.0,
            "Mould": "img",
            "PullGb": 0.1,
            "Grades": None,
            "Yard": None,
            "OneZone": False,
            "Apart": False,
            "Loaners": True,
            "GuessS": 3.0,
            "MarkEveryS": 0.0,
            "MarkS": 0.0,
            "DueS": None,
            "RunS": 3.0,
        }
        return job | fields

    async def request(
        self, node: str, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a user's request to a controller; return the status and the body of the response, or
        (0, {}) if there is none."""
        raw = (
            b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        )
        pool = ConnectionPool(dict(self.front_addresses())[node], 1)
        try:
            status, answer = await pool.request(method, path, raw, 5_000_000)
        except RequestFailed:
            return 0, {}
        finally:
            pool.close()
        return status, json.loads(answer)

    def service(self, number: int, **fields: Any) -> dict[str, Any]:
        """Return the submission of a service with three replicas."""
        values = {
            "Shape": "service",
            "Rank": "production",
            "Pieces": 3,
            "GuessS": 0.0,
            "Loaners": False,
            "Lane": "desk",
        }
        return self.job(number, **(values | fields))

    async def submit(self, job: dict[str, Any], node: str | None = None) -> int:
        """Submit a job, by default to any controller, until it is accepted or rejected; return the
        status."""
        self.jobs[job["Ref"]] = job
        while True:
            name = node or self.rng.choice(self.nodes)
            known_stage = self.rule_checker.last_stage.get(job["Ref"])
            status, body = await self.request(name, "POST", "/api/jobs", job)
            self.rule_checker.user_answered(job["Ref"], "submit", status, body, known_stage)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1)

    async def poll(self, ref: str, node: str | None = None) -> str:
        """Request a job's stage, by default from any controller; return the stage, or the status of
        a response without one."""
        name = node or self.rng.choice(self.nodes)
        known_stage = self.rule_checker.last_stage.get(ref)
        status, body = await self.request(name, "GET", f"/api/jobs/{ref}")
        self.rule_checker.user_answered(ref, "poll", status, body, known_stage)
        return str(body.get("Stage", status))

    async def cancel(self, ref: str, node: str | None = None) -> str:
        """Request a job's cancellation, by default from any controller, until there is a final
        response; return the stage or the status."""
        self.cancel_requested[ref] = True
        while True:
            name = node or self.rng.choice(self.nodes)
            known_stage = self.rule_checker.last_stage.get(ref)
            status, body = await self.request(name, "POST", f"/api/jobs/{ref}/cancel")
            self.rule_checker.user_answered(ref, "cancel", status, body, known_stage)
            if status in (200, 404):
                return str(body.get("Stage", status))
            await asyncio.sleep(1)

    async def wait_until(self, condition: Any, seconds: float = 60.0) -> None:
        """Wait for a condition while the rule checker runs; fails after `seconds`."""
        deadline = self.loop.time() + seconds
        while not condition():
            assert self.loop.time() < deadline, "the condition did not hold in time"
            self.rule_checker.check()
            await asyncio.sleep(0.1)

    async def wait_until_done(self, *refs: str, seconds: float = 90.0) -> None:
        """Poll jobs until all are done; fails after `seconds`."""
        deadline = self.loop.time() + seconds
        unfinished = set(refs)
        while unfinished:
            assert self.loop.time() < deadline, f"not done in time: {unfinished}"
            self.rule_checker.check()
            unfinished = {ref for ref in unfinished if await self.poll(ref) != "done"}
            await asyncio.sleep(1)

    async def wait_until_served(self, *refs: str, seconds: float = 60.0) -> None:
        """Wait until all replicas of these services run; fails after `seconds`."""
        await self.wait_until(
            lambda: all(len(self.running_tasks(ref)) == self.jobs[ref]["Pieces"] for ref in refs),
            seconds,
        )

    def running_tasks(self, ref: str) -> list[str]:
        """Return the tasks of a job that are running now."""
        return [task for task in self.rule_checker.running_on if task.partition("/")[0] == ref]

    def assert_no_violation(self) -> None:
        """Check that no rule was violated, no size limit exceeded, no stale holder acted, and that
        at least one task ran."""
        self.rule_checker.check()
        assert not self.rule_checker.violations, "; ".join(self.rule_checker.violations)
        assert not self.store.oversized, self.store.oversized[:3]
        assert not self.duty_checker.violations, self.duty_checker.violations[:3]
        assert self.rule_checker.starts > 0
