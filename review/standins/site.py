"""A small deployment: three controllers as processes, and stand-ins for all that is round them."""

import asyncio
import json
import os
import shlex
import signal
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins.fleet import Cloud
from review.standins.record import Record
from review.standins.state import StateService
from review.standins.web import LOOPBACK, Proxy, free_port, send

ROOT = Path(__file__).resolve().parents[2]
SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
RETRY_S = 1.0
TEAMS = ("day-crew", "yard-crew", "office-crew")
HELD, BROKEN, NOT_RUN = 0, 10, 2  # how a case ends; see run.sh
RESTART_S = 3.0  # how long a controller that has ended stays away


class CaseFailedToRun(Exception):
    """The case could not be brought about, so it says nothing of the rule."""


class Node:
    """One controller: its addresses, and its process while it runs."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.front = f"{LOOPBACK}:{free_port()}"
        self.internal = f"{LOOPBACK}:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None


class Site:
    """The deployment of one case."""

    def __init__(self, record: Record, facts: dict[str, Any], kinds: list[dict[str, Any]]) -> None:
        """`facts` is that table of the settings file, `kinds` are the machine types."""
        self.record = record
        self.facts = facts
        names = [f"anvil-{number}" for number in range(facts["nodes"])]
        self.nodes = {
            name: Node(name, zone) for name, zone in zip(names, facts["zones"], strict=True)
        }
        self.state = StateService(names)
        self.cloud = Cloud(record, kinds, facts["workers"])
        self.cloud.fronts = {name: node.front for name, node in self.nodes.items()}
        # The link by which the first controller reaches the second.
        self.links = {
            (one, other): Proxy(self.nodes[other].internal)
            for one in names
            for other in names
            if one != other
        }
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        self.command = shlex.split(deploy["run"])
        self.restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the stand-ins, then all controllers, and wait until all are healthy."""
        await self.state.start()
        await self.cloud.server.start()
        for link in self.links.values():
            await link.start()
        for name in self.nodes:
            await self.launch(name)
        for name in self.nodes:
            await self.wait_healthy(name)

    async def launch(self, name: str) -> None:
        """Start a controller's process with the command of the deploy file."""
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name), encoding="utf-8")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.nodes[name].process = await asyncio.create_subprocess_exec(
                *self.command,
                str(path),
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
            )
        self.record.line(f"{name} started")

    def _settings(self, name: str) -> str:
        node = self.nodes[name]
        known = [
            {"member": other, "location": self.nodes[other].zone, "address": link.address}
            for (one, other), link in self.links.items()
            if one == name
        ]
        services = {
            "cloud": self.cloud.server.address,
            "state": self.state.servers[name].address,
        }
        fields = {
            "member": name,
            "location": node.zone,
            "front": node.front,
            "internal_addr": node.internal,
            "known": known,
            "services": services,
            "facts": self.facts,
        }
        return "".join(f"{field} = {_toml(value)}\n" for field, value in fields.items())

    async def wait_healthy(self, name: str, seconds: float = 15.0) -> None:
        """Wait until a controller says that it can take requests."""

        async def healthy() -> bool:
            status, _ = await send(self.nodes[name].front, "GET", "/healthz", None, 1.0)
            return status == 200

        end = self.record.now_s() + seconds
        while not await healthy():
            if self.record.now_s() > end:
                raise CaseFailedToRun(f"{name} did not become healthy")
            await asyncio.sleep(0.1)

    # Troubles

    def kill(self, name: str, back: bool = True) -> None:
        """End a controller without any warning; the platform starts it again after a while."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(signal.SIGKILL)
        self.record.line(f"TROUBLE {name} killed")
        if back:
            task = asyncio.create_task(self._start_again(name))
            self.restarts.add(task)
            task.add_done_callback(self.restarts.discard)

    async def _start_again(self, name: str) -> None:
        process = self.nodes[name].process
        assert process is not None
        await process.wait()
        await asyncio.sleep(RESTART_S)
        await self.launch(name)

    def cut_from_state_and_peers(self, name: str, cut: bool) -> None:
        """Begin or end a cut of a controller's links to the state service and other controllers."""
        self.record.line(
            f"TROUBLE {name} {'loses' if cut else 'has again'} the state service and its peers"
        )
        self.state.servers[name].set_cut(cut)
        for pair, link in self.links.items():
            if name in pair:
                link.set_cut(cut)

    async def hold_workers(self, held: bool) -> None:
        """Begin or end a cut between the shard leader and the machines that holds packets back.

        Workers report to the shard leader and wait for its answer for 4 s, and only the shard
        leader sends direct commands. So in a cut of 4 s no other link would be used.
        """
        leader = self.shard_leader()
        self.record.line(f"TROUBLE {leader} {'loses' if held else 'has again'} the workers")
        for worker in self.cloud.machines.values():
            worker.held = held
            await (worker.server.hold() if held else worker.server.release())

    # Users

    async def user(
        self, name: str, method: str, path: str, body: Any = None, quiet: bool = False
    ) -> tuple[int, Any]:
        """Send one request of a user to a controller."""
        timeout_s = POLL_TIMEOUT_S if method == "GET" else SUBMIT_TIMEOUT_S
        status, answer = await send(self.nodes[name].front, method, path, body, timeout_s)
        if not quiet:
            self.record.line(f"user {method} {path} at {name}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, name: str, job: dict[str, Any], run_s: float = 5.0) -> None:
        """Submit a job, and repeat that as users do, until it is accepted."""
        self.cloud.jobs[job["Ref"]] = job
        self.cloud.run_times_s[job["Ref"]] = run_s
        for _ in range(20):
            status, _ = await self.user(name, "POST", "/api/jobs", job)
            if status in (200, 201):
                return
            await asyncio.sleep(RETRY_S)
        raise CaseFailedToRun(f"{job['Ref']} was not accepted")

    async def cancel(self, name: str, ref: str) -> float:
        """Cancel a job, repeated until confirmed; return when its user was told."""
        for _ in range(20):
            status, body = await self.user(name, "POST", f"/api/jobs/{ref}/cancel")
            if status == 200 and body["Stage"] == "withdrawn":
                return self.record.now_s()
            await asyncio.sleep(RETRY_S)
        raise CaseFailedToRun(f"{ref} was not cancelled")

    # What the platform sees

    def shard_leader(self) -> str | None:
        """The controller that the shard is granted to, by what the state service stores."""
        row = self.state.keys.get("c/block/0")
        return row[0]["name"] if row is not None and row[0]["name"] else None

    async def wait_until(self, condition: Any, seconds: float, what: str) -> None:
        """Wait for a condition; the case can't run if it does not come about in time."""
        end = self.record.now_s() + seconds
        while not condition():
            if self.record.now_s() > end:
                raise CaseFailedToRun(f"in {seconds} s not seen: {what}")
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End all processes that were started, and add their logs to the record."""
        for task in list(self.restarts):
            task.cancel()
        for node in self.nodes.values():
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for worker in list(self.cloud.machines.values()):
            worker.stop()
        for name in self.nodes:
            log = self.folder / f"{name}.log"
            if log.exists():
                text = log.read_text(encoding="utf-8", errors="replace")
                self.record.file.write(f"\n--- standard error of {name}\n{text}")
                log.unlink()
            (self.folder / f"{name}.toml").unlink(missing_ok=True)
        self.folder.rmdir()
        self.record.file.close()


async def play(site: Site, case: Callable[[], Awaitable[int]], limit_s: float) -> int:
    """Play a case; return how it ended. All processes are ended."""
    task = asyncio.ensure_future(case())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(limit_s):
            return await task
    except (CaseFailedToRun, TimeoutError, asyncio.CancelledError) as error:
        site.record.line(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await site.stop()


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(field)}" for key, field in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return json.dumps(value)


def job(number: int, **fields: Any) -> dict[str, Any]:
    """A submission of one small task; `fields` replace its values."""
    values = {
        "Ref": f"req-{number:06d}",
        "Lane": "tread-report",
        "Crew": "yard-crew",
        "Shape": "batch",
        "Rank": "standard",
        "Pieces": 1,
        "Cores": 2.0,
        "Gpus": 0.0,
        "MemoryGb": 4.0,
        "Mould": "img-01",
        "PullGb": 1.0,
        "Grades": None,
        "Yard": None,
        "OneZone": False,
        "Apart": False,
        "Loaners": False,
        "GuessS": 5.0,
        "MarkEveryS": 0.0,
        "MarkS": 0.0,
        "DueS": None,
    }
    return values | fields


def kind(label: str, cores: float, memory_gb: float, zones: list[str]) -> dict[str, Any]:
    """A machine type of the cloud."""
    return {
        "Label": label,
        "Cores": cores,
        "Gpus": 0,
        "MemoryGb": memory_gb,
        "LocalGb": 60,
        "PullGbPerS": 2.0,
        "Rate": 0.91,
        "MarketPrice": None,
        "ReadyS": 2,
        "Yards": zones,
    }


def facts(report_s: float, lease_s: float, cancel_s: float) -> dict[str, Any]:
    """The table `facts` of the settings, of a small deployment."""
    limits = {"cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
    return {
        "nodes": 3,
        "zones": ["asahikawa", "kushiro", "obihiro"],
        "clock_off_ms": 1000.0,
        "teams": [{"name": team} | limits for team in TEAMS],
        "objectives": [],
        "workers": {
            "report_s": report_s,
            "lease_s": lease_s,
            "gang_wait_s": 40.0,
            "gang_peer_s": 4.0,
            "cancel_s": cancel_s,
        },
        "state": {"rps": 250.0, "write_rps": 50.0, "value_kb": 32.0, "txn_ops": 16},
        "cloud": {"rps": 3.0, "list_lag_s": 8.0},
        "quota": {"core_share": 0.756, "mem_mb": 251.0, "fd_limit": 500},
    }
