"""Runs three real controllers on loopback, and pauses and resumes them at random.

    python3 -m tests.tools.run_loopback --seed 7 --minutes 10

The key-value store, the cloud, the workers and the users are the tests' fakes and run in this
process. Each controller is a process of its own, with duties enabled. At the end all controllers
are resumed, and then all jobs must complete and all machines must be returned. The rule checker and
the duty checker run throughout. The result is printed as JSON; the exit status is 1 if a checker
found a violation or anything is unfinished.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from basaltlead.duties.history import Action
from tests.fakes import Deployment
from tests.fakes.cloud import FakeCloud
from tests.fakes.store import FakeKeyValueStore

NETWORK = "127"
# The fakes with their hosts and ports on loopback
ADDRESSES = (
    (FakeKeyValueStore, f"{NETWORK}.2.0.1", 2379),
    (FakeCloud, f"{NETWORK}.2.0.2", 8443),
)
OPERATOR = Path(__file__).resolve().parents[2] / "deploy" / "duties.yaml"
PAUSES_S = (0.3, 2.0, 5.0, 12.0, 60.0)
FINISH_S = 240.0  # to complete all jobs and return all machines after the last controller resumes


class LoopbackNet:
    """The part of `Network` that the fakes need on loopback: it powers machines off."""

    def __init__(self, deployment: "LoopbackDeployment") -> None:
        self.deployment = deployment

    def power_off(self, host: str) -> None:
        """Close the listener of a machine's server and all its connections."""
        server = self.deployment.servers.pop(host, None)
        if server is not None and server.listener is not None:
            server.listener.close()
            for connection in list(server.connections):
                if connection.transport is not None:
                    connection.transport.abort()


class LoopbackLoop:
    """The running event loop, with the attribute `net` that the fakes expect."""

    def __init__(self, deployment: "LoopbackDeployment") -> None:
        self.real = asyncio.get_running_loop()
        self.net = LoopbackNet(deployment)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


class LoopbackDeployment(Deployment):
    """A deployment whose controllers run as separate processes."""

    NETWORK = NETWORK

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(LoopbackLoop(self), seed)  # type: ignore[arg-type]
        self.folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.paused: set[str] = set()
        self.pauses = 0

    def start_controller(self, name: str) -> None:
        self.loop.create_task(self._launch(name))

    async def _launch(self, name: str) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text(as_toml(self.settings_file(name)))
        command = ["-m", "basaltlead", "serve", "--operator", str(OPERATOR), "--config", str(path)]
        with self.log_path(name).open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, *command, stderr=log
            )

    def log_path(self, name: str) -> Path:
        """Return the path of a controller's log."""
        return self.folder / f"{name}.log"

    def pause(self, name: str) -> None:
        """Suspend a controller's process."""
        self.paused.add(name)
        self.pauses += 1
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a controller's process run again."""
        self.paused.discard(name)
        self.processes[name].send_signal(signal.SIGCONT)


def as_toml(fields: dict[str, Any]) -> str:
    """Format settings as a TOML file; strings, numbers and lists are written as in JSON."""
    return "".join(f"{key} = {_value(value)}\n" for key, value in fields.items())


def _value(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_value(field)}" for key, field in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_value, value)) + "]"
    return json.dumps(value)


async def _pause_at_random(deployment: LoopbackDeployment, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(1, 8))
        running = sorted(set(deployment.nodes) - deployment.paused)
        if len(running) < 2:
            continue
        name = rng.choice(running)
        deployment.pause(name)
        asyncio.get_running_loop().call_later(rng.choice(PAUSES_S), deployment.resume, name)


async def _submit_at_random(deployment: LoopbackDeployment, rng: random.Random) -> None:
    number = 0
    while True:
        number += 1
        job = deployment.job(
            number,
            Pieces=rng.choice([1, 3, 8]),
            Cores=rng.choice([1.0, 2.0]),
            RunS=rng.choice([1.0, 4.0, 12.0]),
            Shape=rng.choice(["batch", "batch", "group"]),
        )
        await deployment.submit(job)
        await asyncio.sleep(rng.uniform(0, 25 if number % 5 else 60))


def is_failed_task(line: str) -> bool:
    """Whether a line of a controller's log reports the failure of a background task."""
    return line.startswith("E ") and line.endswith((" failed", " failed, restarting it"))


def acquisitions(deployment: LoopbackDeployment) -> dict[str, int]:
    """Return how often each duty was acquired, from the recorded history."""
    counts: dict[str, int] = {}
    for key, (page, _, _) in deployment.store.keys.items():
        if key.startswith("history/"):
            duty = key.split("/")[1]
            acquired = sum(event["action"] == Action.ACQUIRED for event in page["events"])
            counts[duty] = counts.get(duty, 0) + acquired
    return counts


async def run(seed: int, minutes: float) -> dict[str, Any]:
    """Run for this long, wait until everything is finished, and return the result."""
    rng = random.Random(seed)
    for fake, host, port in ADDRESSES:
        fake.HOST, fake.ADDRESS = host, f"{host}:{port}"
    with tempfile.TemporaryDirectory() as folder:
        deployment = LoopbackDeployment(seed, Path(folder))
        await deployment.start()
        await asyncio.sleep(3)
        users = asyncio.create_task(_submit_at_random(deployment, rng))
        pauses = asyncio.create_task(_pause_at_random(deployment, rng))
        await asyncio.sleep(minutes * 60)
        pauses.cancel()
        users.cancel()
        for name in deployment.nodes:
            deployment.resume(name)
        unfinished = await _finish(deployment)
        for process in deployment.processes.values():
            process.kill()
        logs = "".join(deployment.log_path(name).read_text() for name in deployment.nodes)
    checker = deployment.duty_checker
    return {
        "seed": seed,
        "minutes": minutes,
        "pauses": deployment.pauses,
        "duties taken up": acquisitions(deployment),
        "jobs": len(deployment.jobs),
        "machines rented": deployment.cloud.rented_count,
        "actions checked": checker.checked_actions,
        "calls repeated": checker.repeated_calls,
        "stale": checker.violations,
        "rules broken": deployment.rule_checker.violations,
        "unfinished": unfinished,
        "failed loops": sum(map(is_failed_task, logs.splitlines())),
    }


async def _finish(deployment: LoopbackDeployment) -> list[str]:
    """Wait for all jobs and for the return of all machines; return what is left after FINISH_S."""
    try:
        async with asyncio.timeout(FINISH_S):
            accepted = [ref for ref in deployment.jobs if ref in deployment.rule_checker.last_stage]
            await deployment.wait_until_done(*accepted, seconds=FINISH_S)
            await deployment.wait_until(lambda: not deployment.cloud.machines, seconds=FINISH_S)
    except (TimeoutError, AssertionError) as fault:
        return [f"{type(fault).__name__}: {fault}", *sorted(deployment.cloud.machines)]
    return []


def main() -> int:
    """Run from the command line; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="tests.tools.run_loopback", description="Pause real controllers."
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=10.0)
    options = parser.parse_args()
    result = asyncio.run(run(options.seed, options.minutes))
    print(json.dumps(result, indent=1))
    return 1 if result["stale"] or result["rules broken"] or result["unfinished"] else 0


if __name__ == "__main__":
    sys.exit(main())
