"""A late copy of a start, with controllers that are processes of their own on loopback."""

import asyncio
from pathlib import Path

import pytest

from basaltlead.net.http.client import ConnectionPool
from tests.fakes import FakeWorker
from tests.tools.run_loopback import ADDRESSES, LoopbackDeployment

TASK = "req-000001/0"
JOB = "req-000001"
STEP_S = 60.0  # for each step, on a busy machine
LEASE_S = 30.0
CANCEL_S = 90.0


async def _receive_again(worker: FakeWorker) -> None:
    """Send a worker the pushed starts of the task once more, as they were sent before."""
    pool = ConnectionPool(worker.address, 1)
    for request in list(worker.executed_starts):
        if TASK.encode() in request.body:
            await pool.request("POST", "/do", request.body)
    pool.close()


async def _restart_all(deployment: LoopbackDeployment) -> None:
    """Kill all controllers, and start them again at once."""
    for process in deployment.processes.values():
        process.kill()
        await process.wait()
    for name in deployment.nodes:
        deployment.start_controller(name)


async def _scenario(deployment: LoopbackDeployment) -> None:
    await deployment.start()
    await deployment.submit(deployment.job(900, Pieces=8, RunS=1.0, Grades=["small"]))
    await deployment.wait_until_done("req-000900", seconds=STEP_S)
    await deployment.submit(deployment.job(1, RunS=600.0, Grades=["small"]))
    await deployment.wait_until(lambda: bool(deployment.running_tasks(JOB)), STEP_S)
    worker = deployment.rule_checker.running_on[TASK]
    (number,) = [number for task, number in worker.tasks if task == TASK]
    assert any(TASK.encode() in request.body for request in worker.executed_starts)

    worker.finish((TASK, number), "error")
    await deployment.wait_until(lambda: (TASK, number) not in worker.tasks, STEP_S)
    await deployment.wait_until(lambda: bool(deployment.running_tasks(JOB)), STEP_S)
    await _restart_all(deployment)
    await _receive_again(worker)
    await asyncio.sleep(2 * FakeWorker.IMAGE_FETCH_S)

    assert deployment.rule_checker.running_on[TASK] is not worker
    assert await deployment.cancel(JOB) == "withdrawn"
    await _receive_again(worker)
    await deployment.wait_until(lambda: not deployment.running_tasks(JOB), STEP_S)
    deployment.assert_no_violation()


def test_copy_of_a_start_does_not_run_a_task_twice_with_real_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a task on two machines after all controllers were back within a second.
    for fake, host, port in ADDRESSES:
        monkeypatch.setattr(fake, "HOST", host)
        monkeypatch.setattr(fake, "ADDRESS", f"{host}:{port}")

    async def run() -> None:
        deployment = LoopbackDeployment(1, tmp_path)
        deployment.lease, deployment.cancel_s = LEASE_S, CANCEL_S
        try:
            await _scenario(deployment)
        finally:
            for process in deployment.processes.values():
                if process.returncode is None:
                    process.kill()
                await process.wait()

    asyncio.run(run())
