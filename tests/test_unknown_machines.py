"""Unusual load and faults: jobs that always fail, faulty machines, many small jobs of one team, a
frozen controller, and corrupt replies."""

import asyncio
import logging
from collections.abc import Callable

import pytest

from basaltlead.net.http.messages import Response
from basaltlead.runtime.logs import log
from tests.builders import job_refs
from tests.fakes import Deployment
from tests.simulation import Loop, run_scenario, simulated


@simulated
async def test_job_that_fails_everywhere_backs_off_and_drains_no_machine(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=30, RunS=1.0, Broken=True))

    for number in range(2, 8):
        await deployment.submit(deployment.job(number, Pieces=4, RunS=10.0))
    await deployment.wait_until_done(*job_refs(2, 7), seconds=60)
    rented = set(deployment.cloud.machines)
    for _ in range(8):
        for name in deployment.nodes:
            assert await deployment.poll("req-000001", name) in ("pending", "running")
        await asyncio.sleep(15)
    assert deployment.rule_checker.starts_of("req-000001") < 90  # of 30 tasks, in three minutes
    shard_leader = deployment.acting_shard_leader()
    machines = deployment.controllers[shard_leader].shard_leaders[0].shard.machines.values()
    assert not any(machine.faulty for machine in machines)
    assert deployment.cloud.rented_count <= len(rented) + 4  # no machine was replaced
    assert await deployment.cancel("req-000001") == "withdrawn"
    await asyncio.sleep(3)

    assert deployment.running_tasks("req-000001") == []
    deployment.assert_no_violation()


@simulated
async def test_two_jobs_that_fail_everywhere_drain_no_machine_of_a_small_fleet(loop: Loop) -> None:
    """There is no third machine on which the jobs could be tried. Their failures on both machines
    must not mark these as faulty."""
    deployment = Deployment(loop)
    deployment.cloud.capacity = 2
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=8, RunS=150.0, Grades=["small"]))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) > 4)
    rented = set(deployment.cloud.machines)

    for number in (2, 3):
        await deployment.submit(
            deployment.job(number, Pieces=4, Rank="high", RunS=1.0, Broken=True)
        )
    await asyncio.sleep(150)
    assert set(deployment.cloud.machines) == rented
    starts = deployment.rule_checker.starts_of("req-000002") + deployment.rule_checker.starts_of(
        "req-000003"
    )
    assert starts < 60
    for ref in ("req-000002", "req-000003"):
        assert await deployment.cancel(ref) == "withdrawn"

    deployment.assert_no_violation()


@simulated
async def test_machine_on_which_every_job_fails_is_replaced(loop: Loop) -> None:
    deployment = Deployment(loop)
    deployment.cloud.capacity = 2
    await deployment.start_with_running_job(4, 20.0)
    await deployment.submit(deployment.job(9, Pieces=2, RunS=2.0, Broken=True))
    refs = job_refs(2, 5)

    for ref in refs:  # both machines are needed all the time
        await deployment.submit(deployment.job(int(ref[4:]), Pieces=40, RunS=4.0))
    await deployment.wait_until(lambda: len(deployment.cloud.machines) == 2)
    faulty = next(iter(deployment.cloud.machines.values()))
    faulty.faulty = True
    await deployment.wait_until(lambda: faulty.name not in deployment.cloud.machines, seconds=75)
    unfinished = [ref for ref in refs if await deployment.poll(ref) != "done"]

    assert unfinished  # so it was not returned for being idle
    await deployment.wait_until_done("req-000001", *refs, seconds=200)
    assert await deployment.cancel("req-000009") == "withdrawn"
    deployment.assert_no_violation()


@simulated
async def test_best_effort_jobs_use_the_remaining_room_and_make_progress(loop: Loop) -> None:
    """The fleet is too small for one huge array and many tiny jobs."""
    deployment = Deployment(loop)
    deployment.cloud.capacity = 4
    await deployment.start()
    await deployment.submit(
        deployment.job(500, Crew="blue", Rank="best_effort", Pieces=2000, RunS=4.0)
    )

    started_at = loop.time()
    small_jobs = [
        deployment.job(500 + number, Crew="blue", Rank="best_effort", Cores=0.5, RunS=1.0)
        for number in range(1, 41)
    ]
    await asyncio.gather(*(deployment.submit(job) for job in small_jobs))
    high_rank_refs = job_refs(1, 8)
    for ref in high_rank_refs:
        number = int(ref[4:])
        await deployment.submit(deployment.job(number, Pieces=4, Rank="high", RunS=3.0))
        await deployment.wait_until(
            lambda ref=ref: deployment.rule_checker.starts_of(ref) > 0, seconds=15
        )
        await asyncio.sleep(2)

    await deployment.wait_until_done(*high_rank_refs, seconds=40)
    await deployment.wait_until_done(
        *(job["Ref"] for job in small_jobs), seconds=240 - (loop.time() - started_at)
    )
    # The huge array makes progress too
    assert deployment.rule_checker.starts_of("req-000500") > 100
    deployment.assert_no_violation()


@simulated
async def test_controller_frozen_for_long_acts_on_no_outdated_state(loop: Loop) -> None:
    """Its late commands and writes change nothing, and learned run times stay plausible."""
    deployment = Deployment(loop)
    old_leader = await deployment.start_with_running_job(6, 30.0)
    await deployment.submit(deployment.job(2, Pieces=6, RunS=5.0))

    deployment.freeze(old_leader)
    await asyncio.sleep(75)
    new_leader = deployment.shard_leader()
    assert new_leader not in (None, old_leader)
    await deployment.wait_until_done("req-000001", "req-000002")
    keys_before = dict(deployment.store.keys)
    starts_before = deployment.rule_checker.starts
    deployment.thaw(old_leader)
    await asyncio.sleep(3)
    assert deployment.shard_leader() == new_leader
    assert deployment.rule_checker.starts == starts_before
    stored_keys = [key for key in keys_before if key.startswith(("over/", "c/block/"))]
    assert all(deployment.store.keys[key] == keys_before[key] for key in stored_keys)
    # The new shard leader is frozen while its tasks run: no run time is learned from that.
    await deployment.submit(deployment.job(3, Pieces=4, RunS=4.0, GuessS=4.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000003")) == 4)
    assert new_leader is not None
    deployment.freeze(new_leader)
    await asyncio.sleep(1.0)
    deployment.thaw(new_leader)
    await deployment.wait_until_done("req-000003")
    current_leader = deployment.acting_shard_leader()
    ratio = (
        deployment.controllers[current_leader]
        .shard_leaders[0]
        .shard.class_ratios.get("reports", 1.0)
    )

    assert 0.3 < ratio < 3.0
    deployment.assert_no_violation()


CORRUPTIONS: dict[str, Callable[[Response], Response]] = {
    "cut off": lambda answer: Response(answer.status, answer.body[: len(answer.body) // 2]),
    "empty": lambda answer: Response(answer.status, b""),
    "not JSON": lambda answer: Response(answer.status, b"<html>gateway</html>"),
    "not UTF-8": lambda answer: Response(answer.status, b'{"Ledger":"\xff"}'),
    "another type": lambda answer: Response(answer.status, b"[1, 2]"),
    "nested": lambda answer: Response(answer.status, b"[" * 100_000),
    "fault": lambda answer: Response(500, b"{}"),
    "too large": lambda answer: Response(answer.status, b" " * (17 * 1024 * 1024)),
}


@pytest.mark.parametrize("service_name", ["state", "cloud"])
@pytest.mark.parametrize("corruption", list(CORRUPTIONS))
def test_corrupt_replies_count_as_unanswered(
    corruption: str, service_name: str, caplog: pytest.LogCaptureFixture
) -> None:
    """The request may have been executed all the same. No controller may stop on such a reply."""

    async def scenario(loop: Loop) -> None:
        deployment = Deployment(loop)
        await deployment.start_with_running_job(4, 30.0)
        service = deployment.store if service_name == "state" else deployment.cloud
        service.corrupt_reply = CORRUPTIONS[corruption]
        submitting = loop.create_task(deployment.submit(deployment.job(2, Pieces=3, RunS=2.0)))
        if service_name == "state":
            status, _ = await deployment.request(deployment.nodes[0], "GET", "/api/jobs/req-000001")
            assert status == 503  # no stage is reported that could not be read
        end = loop.time() + 6.0
        while loop.time() < end:
            deployment.rule_checker.check()
            deployment.shard_leader()  # fails if two act
            await asyncio.sleep(0.1)
        deployment.end_all_faults()
        await submitting
        await deployment.wait_until_done("req-000001", "req-000002", seconds=120)
        assert not any(task.done() for task in deployment.controller_tasks.values())
        deployment.assert_no_violation()

    log.addHandler(caplog.handler)
    try:
        run_scenario(scenario)
    finally:
        log.removeHandler(caplog.handler)

    assert [r.getMessage() for r in caplog.records if r.levelno >= logging.ERROR] == []
