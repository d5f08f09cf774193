"""Whole controllers in a simulated deployment."""

import asyncio
import gc

import pytest

from basaltlead.clients.rate_limiter import RateLimiter
from basaltlead.clients.workers import WorkerClient
from basaltlead.errors import RequestFailed
from basaltlead.net.http.client import ConnectionPool
from basaltlead.net.http.messages import Request, Response
from basaltlead.net.http.server import Server
from basaltlead.wire.workers import DirectCommand, WorkerCommand
from tests.builders import job_refs
from tests.fakes import Deployment, FakeWorker
from tests.simulation import Loop, simulated


@simulated
async def test_arrays_and_gangs_run_to_completion_without_faults(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()

    assert await deployment.submit(deployment.job(1, Pieces=12)) == 201
    assert await deployment.submit(deployment.job(2, Shape="group", Pieces=3, Cores=4.0)) == 201
    assert await deployment.submit(deployment.job(1, Pieces=12)) == 200
    await deployment.wait_until_done("req-000001", "req-000002")
    assert await deployment.submit(deployment.job(1, Pieces=12)) == 200
    deployment.assert_no_violation()


@simulated
async def test_tasks_keep_running_when_the_shard_leader_crashes(loop: Loop) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 30.0)
    starts = deployment.rule_checker.starts

    await deployment.restart(shard_leader, 1.0)

    await deployment.wait_until_done("req-000001")
    assert deployment.rule_checker.starts == starts  # no task was restarted
    deployment.assert_no_violation()


@simulated
async def test_shard_leader_without_heartbeats_hands_over_before_worker_leases_expire(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    first = await deployment.start_with_running_job(8, 40.0)

    deployment.isolate(first, store=False)  # it still reaches the key-value store
    await deployment.wait_until(
        lambda: deployment.shard_leader() not in (None, first), seconds=FakeWorker.LEASE_S
    )
    await deployment.wait_until_done("req-000001")
    deployment.rejoin(first)

    deployment.assert_no_violation()


@simulated
async def test_isolated_shard_leader_stops_acting_and_no_task_runs_twice(loop: Loop) -> None:
    deployment = Deployment(loop)
    first = await deployment.start_with_running_job(8, 20.0)

    deployment.isolate(first)
    await deployment.wait_until(lambda: deployment.shard_leader() not in (None, first))
    await asyncio.sleep(5)
    deployment.rejoin(first)

    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_accepted_jobs_run_after_all_controllers_crash(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()

    for number in range(1, 6):
        await deployment.submit(deployment.job(number, Pieces=4, RunS=8.0))
    await deployment.wait_until(lambda: deployment.rule_checker.starts >= 10)
    for name in deployment.nodes:
        deployment.crash(name)
    await asyncio.sleep(2)
    for name in deployment.nodes:
        deployment.start_controller(name)

    await deployment.wait_until_done(*job_refs(1, 5))
    deployment.assert_no_violation()


@simulated
async def test_cancellation_takes_effect_in_time_when_the_shard_leader_can_not_read_it(
    loop: Loop,
) -> None:
    deployment = Deployment(loop)
    shard_leader = await deployment.start_with_running_job(6, 500.0)
    other = deployment.other_node(shard_leader)

    deployment.net.cut(deployment.host(shard_leader), deployment.store.HOST)
    assert await deployment.cancel("req-000001", other) == "withdrawn"
    await asyncio.sleep(Deployment.CANCEL_S + 0.1)

    assert deployment.running_tasks("req-000001") == []
    assert await deployment.poll("req-000001", other) == "withdrawn"
    deployment.assert_no_violation()


@simulated
async def test_store_outage_shorter_than_a_session_lease_stops_no_task(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start_with_running_job(6, 30.0)
    starts = deployment.rule_checker.starts

    deployment.store.down = True
    await asyncio.sleep(8)
    status, _ = await deployment.request("node-0", "GET", "/api/jobs/req-000001")
    assert status == 503  # unknown without the key-value store
    deployment.store.end_outage()

    await deployment.wait_until_done("req-000001")
    assert deployment.rule_checker.starts == starts
    deployment.assert_no_violation()


@simulated
async def test_team_never_uses_more_than_its_limit(loop: Loop) -> None:
    deployment = Deployment(loop, team_cpus_max={"red": 5})
    await deployment.start()

    for number in range(1, 5):
        await deployment.submit(deployment.job(number, Pieces=5, Cores=2.0))
    assert await deployment.submit(deployment.job(9, Cores=6.0)) == 422
    assert await deployment.submit(deployment.job(8, Shape="group", Pieces=3, Cores=2.0)) == 422
    await deployment.wait_until(lambda: deployment.rule_checker.starts >= 3)
    shard_leader = deployment.acting_shard_leader()
    deployment.crash(shard_leader)
    deployment.start_controller(shard_leader)

    await deployment.wait_until_done(*job_refs(1, 4))
    deployment.assert_no_violation()


@simulated
async def test_placement_constraints_are_kept(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=9, Apart=True))
    await deployment.submit(deployment.job(2, Pieces=6, OneZone=True, Shape="group", Cores=2.0))
    await deployment.submit(deployment.job(3, Pieces=4, Grades=["large"], Yard="b", Loaners=False))
    await deployment.submit(deployment.job(4, Pieces=4, OneZone=True, Cores=3.0))
    await deployment.submit(deployment.job(5, Pieces=2, Gpus=1.0))

    assert await deployment.submit(deployment.job(6, Gpus=3.0)) == 422
    assert await deployment.submit(deployment.job(7, Crew="nobody")) == 422
    await deployment.wait_until_done(*job_refs(1, 5), seconds=150)
    deployment.assert_no_violation()


@simulated
async def test_bad_requests_are_refused_and_change_nothing(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start()
    await deployment.wait_until(lambda: deployment.shard_leader() is not None)

    await asyncio.sleep(1)

    async def status(method: str, path: str, body: object = None) -> int:
        return (await deployment.request("node-1", method, path, body))[0]

    good = deployment.job(1)
    assert await status("POST", "/api/jobs", b"{") == 400
    assert await status("POST", "/api/jobs", b"[]") == 400
    for field, value in (
        ("Ref", "job-1"),
        ("Ref", "req-000001\n"),
        ("Pieces", 0),
        ("Pieces", 100_001),
        ("Cores", -1.0),
        ("Cores", "1"),
        ("GuessS", None),
        ("Shape", "ring"),
        ("Rank", "top"),
        ("OneZone", 1),
        ("Grades", [1]),
        ("Mould", 7),
    ):
        assert await status("POST", "/api/jobs", good | {field: value}) == 400, field
    assert await status("POST", "/api/jobs", b'{"Cores": 1e999}') == 400
    assert await status("POST", "/api/jobs", {k: good[k] for k in good if k != "Crew"}) == 400
    assert await status("POST", "/api/jobs", b"x" * 70_000) == 413
    assert await status("GET", "/api/jobs/req-000777") == 404
    assert await status("GET", "/api/jobs/nonsense") == 404
    assert await status("POST", "/api/jobs/req-000777/cancel") == 404
    assert await status("GET", "/nowhere") == 404
    assert await status("GET", "/api/jobs") == 405
    assert await status("POST", "/healthz") == 405
    assert await status("POST", "/agent/beat", b"{}") == 400
    assert await status("GET", "/" + "x" * 20_000) == 431
    assert await status("GET", "/healthz") == 200
    without_nulls = {k: v for k, v in good.items() if v is not None} | {"Extra": 1}
    deployment.jobs["req-000001"] = good

    assert await status("POST", "/api/jobs", without_nulls) == 201
    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_shard_leader_stays_active_with_short_session_leases(loop: Loop) -> None:
    """A watch must not be held open for longer than the session lease that it renews; otherwise the
    shard leader becomes inactive."""
    deployment = Deployment(loop, cancel=8.5)
    assert deployment.settings("node-0").session_lease_us < 1_300_000

    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=4))
    await asyncio.sleep(8)
    for _ in range(20):
        assert deployment.shard_leader() is not None
        await asyncio.sleep(0.3)

    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_several_shards_share_an_array_and_each_controller_leads_one(loop: Loop) -> None:
    deployment = Deployment(loop, operator={"blocks": 3})
    await deployment.start()
    await deployment.submit(deployment.job(1, Pieces=24, RunS=6.0))
    await deployment.submit(deployment.job(2, Pieces=3, Shape="group", Cores=2.0, RunS=6.0))
    await deployment.submit(deployment.job(3, Pieces=4, Apart=True))
    await deployment.wait_until(
        lambda: len({deployment.shard_leader(shard) for shard in range(3)} - {None}) == 3
    )

    await deployment.wait_until_done("req-000001", "req-000002", "req-000003")

    deployment.assert_no_violation()


@simulated
async def test_shard_of_a_crashed_controller_fails_over_and_returns(loop: Loop) -> None:
    deployment = Deployment(loop, operator={"blocks": 3})
    await deployment.start()
    await deployment.wait_until(
        lambda: len({deployment.shard_leader(shard) for shard in range(3)} - {None}) == 3
    )
    await deployment.submit(deployment.job(1, Pieces=24, RunS=25.0))
    await deployment.wait_until(lambda: len(deployment.running_tasks("req-000001")) >= 12)

    victim = deployment.shard_leader(1)
    assert victim is not None
    deployment.crash(victim)
    await deployment.wait_until(lambda: deployment.shard_leader(1) not in (None, victim), seconds=8)
    deployment.start_controller(victim)
    await deployment.wait_until(
        lambda: len({deployment.shard_leader(shard) for shard in range(3)} - {None}) == 3
    )

    await deployment.wait_until_done("req-000001")
    deployment.assert_no_violation()


@simulated
async def test_controller_waits_for_a_port_in_use(loop: Loop) -> None:
    deployment = Deployment(loop)

    deployment.net.ports_in_use.add(("10.0.0.2", 8081))
    await deployment.start()
    await asyncio.sleep(3)
    assert (await deployment.request("node-1", "GET", "/healthz"))[0] == 503
    deployment.net.ports_in_use.clear()
    await asyncio.sleep(3)

    assert (await deployment.request("node-1", "GET", "/healthz"))[0] == 200


@simulated
async def test_overloaded_requests_are_refused_at_once_with_retry_after(loop: Loop) -> None:
    """First the controller's share of the key-value store's request rate is used up, then the store
    does not respond."""
    deployment = Deployment(loop)
    await deployment.start_with_running_job(1, 60.0)
    user_api = deployment.controllers["node-0"].user_api

    user_api.store.request_limiter.full_at = loop.time() + 60.0
    bad = await user_api.handle(Request("POST", "/api/jobs", "", b"[]"))
    assert bad.status == 400  # told apart from overload, so that users don't retry it
    pool = ConnectionPool(dict(deployment.front_addresses())["node-0"], 1)
    asked_at = loop.time()
    status, _ = await pool.request("GET", "/api/jobs/req-000001")
    assert status == 503
    assert loop.time() - asked_at < 0.1
    user_api.store.request_limiter.full_at = 0.0
    answer = await user_api.handle(Request("GET", "/api/jobs/req-000001", "", b""))
    assert answer.status == 200
    # Connections hang: they are neither answered nor refused
    deployment.cut_from_store_and_peers("node-0")
    asked_at = loop.time()
    answer = await user_api.handle(Request("GET", "/api/jobs/req-000001", "", b""))
    assert answer.status == 503
    assert "Retry-After" in answer.headers
    assert loop.time() - asked_at < 2.0  # no user waits longer
    await asyncio.sleep(3)
    asked_at = loop.time()
    answer = await user_api.handle(Request("GET", "/api/jobs/req-000001", "", b""))

    assert answer.status == 503
    assert loop.time() == asked_at
    deployment.assert_no_violation()


@simulated
async def test_calls_to_workers_stay_within_the_socket_limit(loop: Loop) -> None:
    deployment = Deployment(loop)
    await deployment.start_with_running_job(1, 60.0)
    machine = next(iter(deployment.cloud.machines.values()))

    addresses = [f"10.1.1.{number}:9000" for number in range(12)]
    for address in addresses:
        await Server(machine.handle, 100).start(address)
    workers = WorkerClient(max_connections=4)
    command = DirectCommand(0, 1, [])
    calls = [workers.command(address, command) for address in addresses]
    answers = await asyncio.gather(*calls)

    assert all(heartbeat.machine == machine.name for _, heartbeat in answers)
    assert len(workers.pools) <= 4


@simulated
async def test_background_writes_wait_for_user_writes(loop: Loop) -> None:
    """The records of hundreds of machines and results alone can use up the write rate."""
    limiter = RateLimiter(rate=20.0)
    background_writes = [loop.create_task(limiter.take_low_priority(4)) for _ in range(50)]
    for _ in range(10):
        await asyncio.sleep(0.5)
        asked_at = loop.time()
        await limiter.take()  # a submission
        assert loop.time() - asked_at < 0.1
    assert 15 <= sum(write.done() for write in background_writes) < 50  # and they do make progress
    await asyncio.gather(*background_writes)


@simulated
async def test_idle_connections_are_closed_before_a_client_is_refused(loop: Loop) -> None:
    """Connections to workers and connections from clients share one limit on sockets."""
    deployment = Deployment(loop)
    await deployment.start_with_running_job(1, 60.0)
    machine = next(iter(deployment.cloud.machines.values()))

    workers = WorkerClient(max_connections=4)

    def handle(request: Request) -> Response:
        return Response(200, b"{}")

    server = Server(handle, 6, lambda: len(workers.pools), workers.close_idle)
    await server.start("10.0.0.9:80")
    for number in range(4):
        address = f"10.1.1.{number}:9000"
        await Server(machine.handle, 100).start(address)
        await workers.command(address, DirectCommand(0, 1, []))
    assert len(workers.pools) == 4
    clients = [ConnectionPool("10.0.0.9:80", 1) for _ in range(6)]
    for client in clients:
        assert (await client.request("GET", "/"))[0] == 200
    assert len(workers.pools) == 0
    assert len(server.connections) == 6
    assert all(client.idle for client in clients)  # no client was disconnected
    extra_client = ConnectionPool("10.0.0.9:80", 1)
    # The connection that was idle longest is closed for it.
    assert (await extra_client.request("GET", "/"))[0] == 200
    await asyncio.sleep(0.1)

    assert [bool(client.idle) for client in clients] == [False] + [True] * 5


@simulated
async def test_queued_command_is_not_sent_after_the_session_lease_has_ended(loop: Loop) -> None:
    """It may have waited for a socket, or the controller may have been frozen meanwhile."""
    deployment = Deployment(loop)
    name = await deployment.start_with_running_job(1, 60.0)
    shard_leader = deployment.controllers[name].shard_leaders[0]

    (machine,) = [m for m in shard_leader.shard.machines.values() if m.attempts]
    (attempt,) = machine.attempts.values()
    halt = WorkerCommand("halt", "req-000001/0", attempt.attempt_number, 0.0)
    workers = WorkerClient(max_connections=1)
    async with workers.call_slots:
        command = DirectCommand(shard_leader.lease.fencing_token, machine.epoch, [halt])
        call = loop.create_task(
            workers.command(machine.address, command, lambda: shard_leader.holds_valid_lease)
        )
        await asyncio.sleep(0.1)
        shard_leader.lease.stepped_down = True

    with pytest.raises(RequestFailed) as caught:
        await call
    assert not caught.value.sent
    assert deployment.running_tasks("req-000001") == ["req-000001/0"]
    deployment.assert_no_violation()


@simulated
async def test_best_effort_array_does_not_starve_on_an_overloaded_fleet(loop: Loop) -> None:
    """A best-effort array of 1,000 tasks starts within four minutes, and keeps making progress."""
    deployment = Deployment(loop)
    deployment.cloud.capacity = 4
    await deployment.start()
    await deployment.submit(
        deployment.job(1, Pieces=1000, Rank="best_effort", RunS=4.0, DueS=3000.0)
    )

    async def stream() -> None:
        for number in range(2, 200):
            await deployment.submit(
                deployment.job(number, Pieces=8, RunS=4.0, GuessS=4.0, DueS=60.0)
            )
            await asyncio.sleep(4.0)

    async def gangs() -> None:
        for number in range(300, 400):
            await deployment.submit(
                deployment.job(number, Shape="group", Pieces=2, Cores=2.0, Rank="high", RunS=8.0)
            )
            await asyncio.sleep(25.0)

    submitters = [loop.create_task(stream()), loop.create_task(gangs())]
    await deployment.wait_until(
        lambda: any(task.startswith("req-000001/") for task in deployment.rule_checker.running_on),
        seconds=240,
    )
    await asyncio.sleep(300)
    for submitter in submitters:
        submitter.cancel()
    done = sum(1 for task in deployment.rule_checker.results if task.startswith("req-000001/"))

    assert done > 50
    deployment.assert_no_violation()


@simulated
async def test_withdrawn_request_leaves_no_unretrieved_reply(loop: Loop) -> None:
    """A request is withdrawn before it is sent, and its connection is closed. The reply, which
    nothing awaits, was reported by asyncio as an exception that was never retrieved."""

    async def answer(request: Request) -> Response:
        return Response(200, b"{}")

    await Server(answer, 10).start("10.0.0.1:8080")
    pool = ConnectionPool("10.0.0.1:8080", 1)
    with pytest.raises(RequestFailed) as failed:
        await pool.request("POST", "/", may_send=lambda: False)
    assert not failed.value.sent
    await asyncio.sleep(0.1)
    del failed, pool  # drop the last references to the reply
    loop.net.transports.clear()
    gc.collect()
