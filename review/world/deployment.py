"""Three real controllers with stand-ins around them, and what is seen from outside.

The controllers are started by the `run` command of deploy/service.toml. Each reaches the state
service, the cloud and the other controllers through ports of its own, so that links can be cut.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, TextIO

from review.world.cloud import Cloud
from review.world.http import HOST, call, wait_while
from review.world.machine import ENDED, Machine, Task
from review.world.store import Store

ROOT = Path(__file__).resolve().parents[2]
NODES = ["anvil-0", "anvil-1", "anvil-2"]
WORKERS = {
    "report_s": 1.0,
    "lease_s": 10.0,
    "gang_wait_s": 40.0,
    "gang_peer_s": 4.0,
    "cancel_s": 35.0,
}
STATE = {"rps": 250.0, "write_rps": 50.0, "value_kb": 32.0, "txn_ops": 16}
CLOUD = {"rps": 3.0, "list_lag_s": 8.0}


def free_ports(count: int) -> list[int]:
    """Return free ports below those that the system gives to outgoing connections: one of these
    could take them before the controllers do."""
    ports: list[int] = []
    for port in random.sample(range(15_000, 32_000), 1000):
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind((HOST, port))
            ports.append(port)
        if len(ports) == count:
            break
    return ports


def toml_of(value: Any) -> str:
    """Format a value as an inline TOML value."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml_of(part)}" for key, part in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_of, value)) + "]"
    return json.dumps(value)


class Link:
    """A link from one controller to another; while it is cut, data is held back."""

    def __init__(self, deployment: "Deployment", source: str, target: str) -> None:
        self.deployment = deployment
        self.ends = {source, target}
        self.target = target
        self.port = 0

    async def start(self) -> None:
        """Listen for connections."""
        server = await asyncio.start_server(self._connected, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _pass_cut(self) -> None:
        await wait_while(lambda: bool(self.ends & self.deployment.cut_nodes), 0.02)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(reader, writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._pass_cut()
        try:
            there = await asyncio.open_connection(HOST, self.deployment.inner[self.target])
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, there[1]), self._pump(there[0], writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._pass_cut()
                writer.write(data)
                await writer.drain()
        writer.close()


class Deployment:
    """The controllers, the stand-ins, the record of what happened, and the users' calls."""

    def __init__(
        self,
        record: Path,
        grades: list[dict[str, Any]],
        yards: list[str],
        teams: list[dict[str, Any]] | None = None,
        workers: dict[str, float] | None = None,
    ) -> None:
        self.nodes = list(NODES)
        self.yards = yards
        self.home = dict(zip(NODES, yards, strict=False))  # the zone of each controller
        self.teams = teams or [{"name": "day-crew"}, {"name": "yard-crew"}]
        self.workers = WORKERS | (workers or {})
        self.store = Store(STATE)
        self.cloud = Cloud(self, grades, CLOUD["list_lag_s"])
        self.record: TextIO = record.open("w")
        self.began_at = time.monotonic()
        ports = free_ports(2 * len(NODES))
        self.fronts = dict(zip(NODES, ports, strict=False))
        self.inner = dict(zip(NODES, ports[len(NODES) :], strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.folder = tempfile.TemporaryDirectory()
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cut_nodes: set[str] = set()  # cut off from the state service and the others
        self.cut_yards: set[str] = set()  # zones that are cut off from everything
        self.foreman = ""  # the controller whose answer a worker accepted last
        self.on_machine: dict[str, list[Machine]] = {}  # machines by task
        self.starts: list[tuple[float, str, str]] = []  # time, task and machine of each start
        self.commands: list[tuple[float, str]] = []  # time and task of each new start command
        self.done: set[str] = set()  # tasks with a result

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{self.now():7.2f} {text}\n")
        self.record.flush()

    def now(self) -> float:
        """The seconds since the beginning."""
        return time.monotonic() - self.began_at

    # Controllers

    async def __aenter__(self) -> "Deployment":
        await self.store.start(self.nodes)
        await self.cloud.start(self.nodes)
        self.links = {
            (source, target): Link(self, source, target)
            for source in NODES
            for target in NODES
            if source != target
        }
        for link in self.links.values():
            await link.start()
        for name in NODES:
            self.launch(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for machine in self.cloud.machines.values():
            machine.stop()
        self.record.close()
        self.folder.cleanup()

    def launch(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        path = Path(self.folder.name) / f"{name}.toml"
        fields = self.settings(name)
        path.write_text("".join(f"{key} = {toml_of(part)}\n" for key, part in fields.items()))
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        with (Path(self.folder.name) / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*shlex.split(command), str(path)],
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
            )
        self.note(f"{name} started")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        self.note(f"{name}: {number.name}")
        self.processes[name].send_signal(number)

    def log(self, name: str) -> list[str]:
        """Return the lines that a controller has logged so far."""
        return (Path(self.folder.name) / f"{name}.log").read_text().splitlines()

    def settings(self, name: str) -> dict[str, Any]:
        """Return the platform's settings for a controller."""
        return {
            "member": name,
            "location": self.home.get(name, self.yards[0]),
            "front": f"{HOST}:{self.fronts[name]}",
            "internal_addr": f"{HOST}:{self.inner[name]}",
            "known": [
                {
                    "member": other,
                    "location": self.home.get(other, self.yards[0]),
                    "address": f"{HOST}:{self.links[name, other].port}",
                }
                for other in NODES
                if other != name
            ],
            "services": {
                "cloud": f"{HOST}:{self.cloud.ports[name]}",
                "state": f"{HOST}:{self.store.ports[name]}",
            },
            "facts": {
                "nodes": len(NODES),
                "zones": self.yards,
                "clock_off_ms": 1000.0,
                "teams": self.teams,
                "objectives": [],
                "workers": self.workers,
                "state": STATE,
                "cloud": CLOUD,
                "quota": {"core_share": 0.288, "mem_mb": 106.0, "fd_limit": 500},
            },
        }

    async def ready(self, seconds: float = 20.0) -> bool:
        """Wait until all controllers are healthy; return whether they are in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            states = [await call(self.fronts[n], "GET", "/healthz", None, 1.0) for n in NODES]
            if all(status == 200 for status, _ in states):
                self.note("all controllers are healthy")
                return True
            await asyncio.sleep(0.3)
        return False

    # Cuts

    def cut_from_state_and_peers(self, name: str) -> None:
        """Cut a controller off from the state service and the other controllers."""
        self.note(f"{name} is cut off from the state service and the other controllers")
        self.cut_nodes.add(name)
        self.store.cut.add(name)

    def heal_state_and_peers(self, name: str) -> None:
        """End `cut_from_state_and_peers`."""
        self.note(f"{name} is connected again")
        self.cut_nodes.discard(name)
        self.store.cut.discard(name)

    def cut_yard(self, yard: str) -> None:
        """Cut a zone off from everything, with the controllers in it."""
        self.note(f"zone {yard} is cut off")
        self.cut_yards.add(yard)
        for name in self._nodes_in(yard):
            self.cut_from_state_and_peers(name)
            self.cloud.cut.add(name)

    def heal_yard(self, yard: str) -> None:
        """End `cut_yard`."""
        self.note(f"zone {yard} is connected again")
        self.cut_yards.discard(yard)
        for name in self._nodes_in(yard):
            self.heal_state_and_peers(name)
            self.cloud.cut.discard(name)

    def _nodes_in(self, yard: str) -> list[str]:
        return [name for name, home in self.home.items() if home == yard]

    def linked(self, yard: str, node: str) -> bool:
        """Whether a zone's machines and a controller reach each other."""
        home = self.home.get(node, "")
        return home == yard or not {yard, home} & self.cut_yards

    # What workers do

    def commanded(self, machine: Machine, task: Task, source: str) -> None:
        """Note a start command for a new attempt."""
        self.commands.append((self.now(), task.piece))
        self.note(f"{machine.name} is told by {source} to start {task.piece} try {task.number}")

    def started(self, machine: Machine, task: Task) -> None:
        """Note that a task is on a machine, since that has its image."""
        self.starts.append((self.now(), task.piece, machine.name))
        self.on_machine.setdefault(task.piece, []).append(machine)
        self.note(f"{task.piece} try {task.number} starts on {machine.name} in {machine.yard}")

    def left(self, machine: Machine, task: Task, why: str) -> None:
        """Note that an attempt has left a machine, and why."""
        if machine in self.on_machine.get(task.piece, []):
            self.on_machine[task.piece].remove(machine)
        if why == "done":
            self.done.add(task.piece)
        self.note(f"{task.piece} try {task.number} leaves {machine.name}: {why}")

    def count(self, job: dict[str, Any]) -> int:
        """Return how many tasks of a job are on machines."""
        return sum(
            bool(machines)
            for piece, machines in self.on_machine.items()
            if piece.partition("/")[0] == job["Ref"]
        )

    def _members(self, task: Task) -> list[Task]:
        return [
            other
            for machine in self.cloud.machines.values()
            for other in machine.tasks.values()
            if other.ref == task.ref and other.number == task.number
        ]

    def gang_ready(self, task: Task) -> bool:
        """Whether all tasks of a gang's attempt wait for each other or run."""
        stages = [other.stage for other in self._members(task)]
        return sum(s in ("gathering", "running") for s in stages) == task.job["Pieces"]

    def gang_whole(self, task: Task) -> bool:
        """Whether no task of a gang's attempt is missing."""
        present = [m for m in self._members(task) if m.stage != ENDED or m.cause == "done"]
        return len(present) == task.job["Pieces"]

    # Users

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
        """Return a submission: one small task that runs for 3 s; `fields` override its values.

        `RunS` is what the worker needs; controllers must ignore it.
        """
        job = {
            "Ref": f"req-{number:06d}",
            "Lane": "reports",
            "Crew": "day-crew",
            "Shape": "batch",
            "Rank": "standard",
            "Pieces": 1,
            "Cores": 1.0,
            "Gpus": 0.0,
            "MemoryGb": 2.0,
            "Mould": "img-01",
            "PullGb": 0.2,
            "Grades": None,
            "Yard": None,
            "OneZone": False,
            "Apart": False,
            "Loaners": False,
            "GuessS": 3.0,
            "MarkEveryS": 0.0,
            "MarkS": 0.0,
            "DueS": None,
            "RunS": 3.0,
        }
        return job | fields

    async def ask(self, node: str, method: str, path: str, value: Any = None) -> tuple[int, Any]:
        """Send a user's request to a controller, and note it with the answer."""
        sent_at = self.now()
        status, answer = await call(self.fronts[node], method, path, value)
        shown = "" if value is None else f" {json.dumps(value)}"
        self.note(f"user to {node} at {sent_at:.2f}: {method} {path}{shown}: {status} {answer}")
        return status, answer

    async def submit(self, job: dict[str, Any], node: str = NODES[0]) -> int:
        """Submit a job until it is accepted or refused; return the status."""
        self.jobs[job["Ref"]] = job
        for _ in range(30):
            status, _ = await self.ask(node, "POST", "/api/jobs", job)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return 0

    async def stage(self, ref: str, node: str = NODES[0]) -> str:
        """Ask for a job's stage; return it, or the status of another answer."""
        status, answer = await self.ask(node, "GET", f"/api/jobs/{ref}")
        return str(answer["Stage"]) if status == 200 else str(status)

    async def wait_for_stage(self, ref: str, wanted: str, until: float) -> float | None:
        """Poll a job until it is in a stage; return when that was, or None if it is not by
        `until`."""
        while self.now() < until:
            if await self.stage(ref) == wanted:
                return self.now()
            await asyncio.sleep(2.0)
        return None

    async def wait(self, holds: Any, seconds: float) -> bool:
        """Wait until a condition holds; return whether it does in time."""
        deadline = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True
