"""Three controllers, everything around them, and their users."""

import asyncio
import json
import random
from typing import Any

from basaltlead.net.http.client import Pool
from basaltlead.net.http.server import Server
from tests.fakes.cloud import FakeCloud
from tests.fakes.duty_checker import DutyChecker
from tests.fakes.old_version import OldController
from tests.fakes.rule_checker import RuleChecker
from tests.fakes.store import FakeState
from tests.fakes.worker import FakeWorker
from tests.simulation import Loop, on_host


class World:
    """Three controllers and everything around them."""

    CANCEL = 20.0  # s: `cancel_s`
    NETWORK = "10"  # first part of all addresses

    def __init__(
        self,
        loop: Loop,
        seed: int = 1,
        nodes: int = 3,
        limits: dict[str, float] | None = None,
        operator: dict[str, Any] | None = None,
        lease: float = FakeWorker.LEASE,
        cancel: float = CANCEL,
        later: dict[str, float] | None = None,
    ) -> None:
        self.loop = loop
        self.net = loop.net
        self.lease = lease
        self.cancel_s = cancel
        self.chance = random.Random(seed)
        self.limits = limits or {}
        self.nodes = [f"node-{i}" for i in range(nodes)]
        self.operator = operator or {}
        self.later = later  # what the key-value store will limit to from some moment on
        self.old: set[str] = set()  # controllers that start in the version before services
        self.write_rps = 200.0  # changes a second that the key-value store takes
        self.copies = 0.0  # how many of the workers' reports arrive a second time, late
        self.store = FakeState(loop)
        self.cloud = FakeCloud(self)
        self.rule_checker = RuleChecker(self)
        self.duty_checker = DutyChecker(self.store, self.cloud)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.asked_cancel: dict[str, bool] = {}
        self.running: dict[str, asyncio.Task[Any]] = {}
        self.servers: dict[str, Server] = {}  # of the workers, by host
        self.parts: dict[str, Any] = {}

    def fronts(self) -> list[tuple[str, str]]:
        return [(name, f"{self.host(name)}:8080") for name in self.nodes]

    def host(self, name: str) -> str:
        return f"{self.NETWORK}.0.0.{self.nodes.index(name) + 1}"

    async def start(self) -> None:
        await self.store.start()
        await self.cloud.start()
        for name in self.nodes:
            self.boot(name)

    def settings(self, name: str) -> Any:
        from basaltlead.config.loader import convert
        from basaltlead.config.settings import Settings

        return convert(self.settings_file(name), Settings, "test")

    def settings_file(self, name: str) -> dict[str, Any]:
        """What the platform tells a controller."""
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
            "services": {"state": FakeState.ADDRESS, "cloud": FakeCloud.ADDRESS},
            "operator": {"idle_share": 3.0} | self.operator,
            "facts": {
                "nodes": len(self.nodes),
                "zones": ["a", "b"],
                "teams": [
                    {"name": team, "cpus_max": float(self.limits.get(team, 0))}
                    for team in ("red", "blue")
                ],
                "workers": {
                    "report_s": FakeWorker.REPORT,
                    "lease_s": self.lease,
                    "gang_wait_s": 20.0,
                    "gang_peer_s": 4.0,
                    "cancel_s": self.cancel_s,
                },
                "state": {
                    "rps": 500.0,
                    "write_rps": self.write_rps,
                    "value_kb": 8.0,
                    "txn_ops": 8,
                }
                | ({"next": self.later} if self.later is not None else {}),
                "cloud": {"rps": 10.0, "list_lag_s": 2.0},
            },
        }

    def boot(self, name: str) -> None:
        from basaltlead.controller import Controller

        async def run() -> None:
            node = (OldController if name in self.old else Controller)(self.settings(name))
            self.parts[name] = node
            await node.run()

        self.running[name] = on_host(self.host(name), run())

    def lower_limits(self) -> None:
        """The announced limits hold from now on."""
        assert self.later is not None
        if "value_kb" in self.later:
            self.store.value_bytes = int(self.later["value_kb"] * 1024)
        self.store.write_rps = self.later.get("write_rps")
        self.store.operations = int(self.later.get("txn_ops", self.store.operations))

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
        """All troubles end at once: from now on the rule checker wants every job served."""
        for name in self.nodes:
            self.thaw(name)
            self.rejoin(name)
            if name not in self.running:
                self.boot(name)
        for machine in self.cloud.machines.values():
            machine.hung = machine.deaf = machine.mute = machine.answers_lost = False
        self.store.refused.clear()
        self.store.late_writes = 0.0
        self.store.garble = self.cloud.garble = None
        self.cloud.trouble = 0
        self.cloud.slowness = 0.02
        self.store.slowness = 1.0
        self.net.slow.clear()
        self.net.refusing.clear()
        if self.store.down:
            self.store.outage_over()
        self.rule_checker.calm()

    def isolate(self, name: str, store: bool = True, cloud: bool = True) -> None:
        """Cut a controller off from everybody, or from all but some."""
        for host in self._around(name, store, cloud):
            self.net.cut(self.host(name), host)

    def rejoin(self, name: str, deliver: bool = True) -> None:
        for host in self._around(name, True, True):
            self.net.heal(self.host(name), host, deliver)

    def estrange(self, name: str) -> None:
        """Cut a controller off from the key-value store and the other controllers, but not from
        its workers."""
        for host in self._betters(name):
            self.net.cut(self.host(name), host)

    def reconcile(self, name: str, deliver: bool = True) -> None:
        for host in self._betters(name):
            self.net.heal(self.host(name), host, deliver)

    def _betters(self, name: str) -> list[str]:
        return [self.host(n) for n in self.nodes if n != name] + [FakeState.HOST]

    def _around(self, name: str, store: bool, cloud: bool) -> list[str]:
        out = [self.host(n) for n in self.nodes if n != name]
        out += [f"10.1.{i // 250}.{i % 250}" for i in range(1000)]
        out += ["10.9.9.9"]
        return out + [FakeState.HOST] * store + [FakeCloud.HOST] * cloud

    def shard_leader(self, shard: int = 0) -> str | None:
        """The node that acts for a shard, if one does; never two."""
        acting = [
            name
            for name, node in self.parts.items()
            if shard in node.shard_leaders and node.shard_leaders[shard].holds_valid_lease
        ]
        assert len(acting) <= 1, acting
        return acting[0] if acting else None

    def holder(self, duty: str) -> str | None:
        """The node that acts for a duty, if one does; never two."""
        acting = [
            name
            for name, node in self.parts.items()
            for one, holder in node.duties.holders.items()
            if one == duty and holder.holds_valid_lease
        ]
        assert len(acting) <= 1, acting
        return acting[0] if acting else None

    def other_node(self, *names: str | None) -> str:
        """A controller that is none of these."""
        return next(name for name in self.nodes if name not in names)

    async def busy(self, pieces: int, run_s: float) -> str:
        """Start, and have job 1 run with all its tasks; who owns the shard."""
        await self.start()
        await self.submit(self.job(1, Pieces=pieces, RunS=run_s))
        await self.until(lambda: len(self.on("req-000001")) == pieces)
        shard_leader = self.shard_leader()
        assert shard_leader is not None
        return shard_leader

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
                self.rule_checker.completed(key[0])
            if not worker.hung:
                worker.finish(key, "done" if whole else "peers")

    # Users

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
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

    def service(self, number: int, **fields: Any) -> dict[str, Any]:
        """A service of three replicas."""
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
        """Until it is accepted, at any node."""
        self.jobs[job["Ref"]] = job
        while True:
            name = node or self.chance.choice(self.nodes)
            before = self.rule_checker.told.get(job["Ref"])
            status, body = await self.ask(name, "POST", "/api/jobs", job)
            self.rule_checker.answered(job["Ref"], "submit", status, body, before)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1)

    async def poll(self, ref: str, node: str | None = None) -> str:
        name = node or self.chance.choice(self.nodes)
        before = self.rule_checker.told.get(ref)
        status, body = await self.ask(name, "GET", f"/api/jobs/{ref}")
        self.rule_checker.answered(ref, "poll", status, body, before)
        return str(body.get("Stage", status))

    async def cancel(self, ref: str, node: str | None = None) -> str:
        self.asked_cancel[ref] = True
        while True:
            name = node or self.chance.choice(self.nodes)
            before = self.rule_checker.told.get(ref)
            status, body = await self.ask(name, "POST", f"/api/jobs/{ref}/cancel")
            self.rule_checker.answered(ref, "cancel", status, body, before)
            if status in (200, 404):
                return str(body.get("Stage", status))
            await asyncio.sleep(1)

    async def until(self, what: Any, seconds: float = 60.0) -> None:
        end = self.loop.time() + seconds
        while not what():
            assert self.loop.time() < end, "waited in vain"
            self.rule_checker.check()
            await asyncio.sleep(0.1)

    async def until_done(self, *refs: str, seconds: float = 90.0) -> None:
        end = self.loop.time() + seconds
        left = set(refs)
        while left:
            assert self.loop.time() < end, f"never done: {left}"
            self.rule_checker.check()
            left = {ref for ref in left if await self.poll(ref) != "done"}
            await asyncio.sleep(1)

    async def until_served(self, *refs: str, seconds: float = 60.0) -> None:
        """Until all replicas of these services run."""
        await self.until(
            lambda: all(len(self.on(ref)) == self.jobs[ref]["Pieces"] for ref in refs), seconds
        )

    def on(self, ref: str) -> list[str]:
        return [task for task in self.rule_checker.on if task.partition("/")[0] == ref]

    def verdict(self) -> None:
        self.rule_checker.check()
        assert not self.rule_checker.broken, "; ".join(self.rule_checker.broken)
        assert not self.store.oversized, self.store.oversized[:3]
        assert not self.duty_checker.stale, self.duty_checker.stale[:3]
        assert self.rule_checker.starts > 0
