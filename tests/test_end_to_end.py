"""Stories of whole controllers in a world in memory."""

import asyncio
import gc

import pytest

from basaltlead.clients.rate_budget import RateBudget
from basaltlead.clients.workers import Workers
from basaltlead.errors import RequestFailed
from basaltlead.net.http.client import Pool
from basaltlead.net.http.messages import Request, Response
from basaltlead.net.http.server import Server
from basaltlead.wire.workers import DirectCommand, WorkerCommand
from tests.fakes import FakeWorker, World
from tests.simulation import Loop, play


def test_a_quiet_day_runs_arrays_and_gangs_to_their_end() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        assert await world.submit(world.job(1, Pieces=12)) == 201
        assert await world.submit(world.job(2, Shape="group", Pieces=3, Cores=4.0)) == 201
        assert await world.submit(world.job(1, Pieces=12)) == 200
        await world.until_done("req-000001", "req-000002")
        assert await world.submit(world.job(1, Pieces=12)) == 200
        world.verdict()

    play(story)


def test_the_owner_crashes_and_its_tasks_live_on() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 30.0)
        starts = world.rule_checker.starts
        world.crash(shard_leader)
        await asyncio.sleep(1.0)
        world.boot(shard_leader)
        await world.until_done("req-000001")
        assert world.rule_checker.starts == starts  # nothing had to be started again
        world.verdict()

    play(story)


def test_an_owner_that_no_longer_hears_its_machines_hands_over_before_their_leases_end() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        first = await world.busy(8, 40.0)
        world.isolate(first, store=False)  # it still reaches the key-value store
        await world.until(
            lambda: world.shard_leader() not in (None, first), seconds=FakeWorker.LEASE
        )
        await world.until_done("req-000001")
        world.rejoin(first)
        world.verdict()

    play(story)


def test_a_cut_off_owner_stops_by_itself_and_nothing_runs_twice() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        first = await world.busy(8, 20.0)
        world.isolate(first)
        await world.until(lambda: world.shard_leader() not in (None, first))
        await asyncio.sleep(5)
        world.rejoin(first)
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_all_controllers_crash_at_once_and_every_accepted_job_still_runs() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        for number in range(1, 6):
            await world.submit(world.job(number, Pieces=4, RunS=8.0))
        await world.until(lambda: world.rule_checker.starts >= 10)
        for name in world.nodes:
            world.crash(name)
        await asyncio.sleep(2)
        for name in world.nodes:
            world.boot(name)
        await world.until_done(*[f"req-{n:06d}" for n in range(1, 6)])
        world.verdict()

    play(story)


def test_cancelled_means_gone_in_time_even_when_the_owner_can_not_hear_of_it() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        shard_leader = await world.busy(6, 500.0)
        other = next(name for name in world.nodes if name != shard_leader)
        world.net.cut(world.host(shard_leader), world.store.HOST)
        assert await world.cancel("req-000001", other) == "withdrawn"
        await asyncio.sleep(World.CANCEL + 0.1)
        assert world.on("req-000001") == []
        assert await world.poll("req-000001", other) == "withdrawn"
        world.verdict()

    play(story)


def test_a_state_outage_stops_no_task_that_its_right_can_carry_over_it() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(6, 30.0)
        starts = world.rule_checker.starts
        world.store.down = True
        await asyncio.sleep(8)
        status, _ = await world.ask("node-0", "GET", "/api/jobs/req-000001")
        assert status == 503  # unsure
        world.store.outage_over()
        await world.until_done("req-000001")
        assert world.rule_checker.starts == starts
        world.verdict()

    play(story)


def test_a_team_never_uses_more_than_its_limit() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, limits={"red": 5})
        await world.start()
        for number in range(1, 5):
            await world.submit(world.job(number, Pieces=5, Cores=2.0))
        assert await world.submit(world.job(9, Cores=6.0)) == 422
        assert await world.submit(world.job(8, Shape="group", Pieces=3, Cores=2.0)) == 422
        await world.until(lambda: world.rule_checker.starts >= 3)
        shard_leader = world.shard_leader()
        assert shard_leader is not None
        world.crash(shard_leader)
        world.boot(shard_leader)
        await world.until_done(*[f"req-{n:06d}" for n in range(1, 5)])
        world.verdict()

    play(story)


def test_places_are_kept() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.submit(world.job(1, Pieces=9, Apart=True))
        await world.submit(world.job(2, Pieces=6, OneZone=True, Shape="group", Cores=2.0))
        await world.submit(world.job(3, Pieces=4, Grades=["large"], Yard="b", Loaners=False))
        await world.submit(world.job(4, Pieces=4, OneZone=True, Cores=3.0))
        await world.submit(world.job(5, Pieces=2, Gpus=1.0))
        assert await world.submit(world.job(6, Gpus=3.0)) == 422
        assert await world.submit(world.job(7, Crew="nobody")) == 422
        await world.until_done(*[f"req-{n:06d}" for n in range(1, 6)], seconds=150)
        world.verdict()

    play(story)


def test_bad_input_is_refused_and_changes_nothing() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.until(lambda: world.shard_leader() is not None)
        await asyncio.sleep(1)

        async def status(method: str, path: str, body: object = None) -> int:
            return (await world.ask("node-1", method, path, body))[0]

        good = world.job(1)
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
        nulls = {k: v for k, v in good.items() if v is not None} | {"Extra": 1}
        world.jobs["req-000001"] = good
        assert await status("POST", "/api/jobs", nulls) == 201
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_short_leases_leave_short_rights_and_the_service_still_acts() -> None:
    """A watch that lasted longer than the right it renews once left a shard leader mute."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.CANCEL = 11.0
        await world.start()
        await world.submit(world.job(1, Pieces=4))
        await asyncio.sleep(8)
        for _ in range(20):
            assert world.shard_leader() is not None
            await asyncio.sleep(0.3)
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_several_blocks_share_an_array_and_every_controller_owns_one() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, operator={"blocks": 3})
        await world.start()
        await world.submit(world.job(1, Pieces=24, RunS=6.0))
        await world.submit(world.job(2, Pieces=3, Shape="group", Cores=2.0, RunS=6.0))
        await world.submit(world.job(3, Pieces=4, Apart=True))
        await world.until(lambda: len({world.shard_leader(b) for b in range(3)} - {None}) == 3)
        await world.until_done("req-000001", "req-000002", "req-000003")
        world.verdict()

    play(story)


def test_a_crashed_controllers_block_is_served_by_another_and_comes_back() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop, operator={"blocks": 3})
        await world.start()
        await world.until(lambda: len({world.shard_leader(b) for b in range(3)} - {None}) == 3)
        await world.submit(world.job(1, Pieces=24, RunS=25.0))
        await world.until(lambda: len(world.on("req-000001")) >= 12)
        victim = world.shard_leader(1)
        assert victim is not None
        world.crash(victim)
        await world.until(lambda: world.shard_leader(1) not in (None, victim), seconds=8)
        world.boot(victim)
        await world.until(lambda: len({world.shard_leader(b) for b in range(3)} - {None}) == 3)
        await world.until_done("req-000001")
        world.verdict()

    play(story)


def test_a_port_in_use_for_a_moment_ends_no_controller() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        world.net.taken.add(("10.0.0.2", 8081))
        await world.start()
        await asyncio.sleep(3)
        assert (await world.ask("node-1", "GET", "/healthz"))[0] == 503
        world.net.taken.clear()
        await asyncio.sleep(3)
        assert (await world.ask("node-1", "GET", "/healthz"))[0] == 200

    play(story)


def test_what_can_not_be_taken_is_refused_at_once_with_when_to_come_back() -> None:
    """More is asked than the key-value store's share allows, then it falls silent."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(1, 60.0)
        desk = world.parts["node-0"].user_api
        desk.store.requests.full_at = loop.time() + 60.0
        bad = await desk.handle(Request("POST", "/api/jobs", "", b"[]"))
        assert bad.status == 400  # malformed is told apart, and not asked again
        pool = Pool(dict(world.fronts())["node-0"], 1)
        asked = loop.time()
        status, _ = await pool.request("GET", "/api/jobs/req-000001")
        assert status == 503 and loop.time() - asked < 0.1
        desk.store.requests.full_at = 0.0
        answer = await desk.handle(Request("GET", "/api/jobs/req-000001", "", b""))
        assert answer.status == 200
        world.estrange("node-0")  # connections hang: nobody answers, nobody refuses
        asked = loop.time()
        answer = await desk.handle(Request("GET", "/api/jobs/req-000001", "", b""))
        assert answer.status == 503 and "Retry-After" in answer.headers
        assert loop.time() - asked < 2.0  # users wait no longer
        await asyncio.sleep(3)
        asked = loop.time()
        answer = await desk.handle(Request("GET", "/api/jobs/req-000001", "", b""))
        assert answer.status == 503 and loop.time() == asked
        world.verdict()

    play(story)


def test_calls_to_workers_keep_within_their_sockets() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(1, 60.0)
        machine = next(iter(world.cloud.machines.values()))
        addresses = [f"10.1.1.{number}:9000" for number in range(12)]
        for address in addresses:
            await Server(machine.handle, 100).start(address)
        workers = Workers(most=4)
        command = DirectCommand(0, 1, [])
        asked = [workers.command(address, command) for address in addresses]
        answers = await asyncio.gather(*asked)
        assert all(heartbeat.machine == machine.name for _, heartbeat in answers)
        assert len(workers.pools) <= 4

    play(story)


def test_bookkeeping_waits_while_users_write() -> None:
    """Hundreds of machines and results fill the limit on writes by themselves."""

    async def story(loop: Loop) -> None:
        budget = RateBudget(rate=20.0)
        records = [loop.create_task(budget.take_low_priority(4)) for _ in range(50)]
        for _ in range(10):
            await asyncio.sleep(0.5)
            asked = loop.time()
            await budget.take()  # a submission
            assert loop.time() - asked < 0.1
        assert 15 <= sum(record.done() for record in records) < 50  # and they do get their turn
        await asyncio.gather(*records)

    play(story)


def test_connections_that_rest_are_let_go_before_anybody_is_refused() -> None:
    """Direct orders and those who come to us share one limit on sockets."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.busy(1, 60.0)
        machine = next(iter(world.cloud.machines.values()))
        workers = Workers(most=4)

        def handle(request: Request) -> Response:
            return Response(200, b"{}")

        server = Server(handle, 6, lambda: len(workers.pools), workers.close_idle)
        await server.start("10.0.0.9:80")
        for number in range(4):
            address = f"10.1.1.{number}:9000"
            await Server(machine.handle, 100).start(address)
            await workers.command(address, DirectCommand(0, 1, []))
        assert len(workers.pools) == 4
        comers = [Pool("10.0.0.9:80", 1) for _ in range(6)]
        for comer in comers:
            assert (await comer.request("GET", "/"))[0] == 200
        assert len(workers.pools) == 0 and len(server.connections) == 6
        assert all(comer.idle for comer in comers)  # nobody was thrown out
        late = Pool("10.0.0.9:80", 1)
        assert (await late.request("GET", "/"))[0] == 200  # now the longest unused goes
        await asyncio.sleep(0.1)
        assert [bool(comer.idle) for comer in comers] == [False] + [True] * 5

    play(story)


def test_an_order_whose_turn_comes_after_its_right_has_ended_is_not_given() -> None:
    """It may have waited for a socket, or the whole controller stood still meanwhile."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        name = await world.busy(1, 60.0)
        shard_leader = world.parts[name].shard_leaders[0]
        (machine,) = [m for m in shard_leader.shard.machines.values() if m.attempts]
        (attempt,) = machine.attempts.values()
        halt = WorkerCommand("halt", "req-000001/0", attempt.attempt_number, 0.0)
        workers = Workers(most=1)
        async with workers.calls:
            command = DirectCommand(shard_leader.lease.fencing_token, machine.epoch, [halt])
            asked = loop.create_task(
                workers.command(machine.address, command, lambda: shard_leader.holds_valid_lease)
            )
            await asyncio.sleep(0.1)
            shard_leader.lease.stepped_down = True
        with pytest.raises(RequestFailed) as caught:
            await asked
        assert not caught.value.sent and world.on("req-000001") == ["req-000001/0"]
        world.verdict()

    play(story)


def test_nobody_starves_behind_a_stream_of_higher_work_on_a_fleet_that_is_too_small() -> None:
    """A best-effort array of 1,000 tasks begins within four minutes, and goes on."""

    async def story(loop: Loop) -> None:
        world = World(loop)
        world.cloud.capacity = 4
        await world.start()
        await world.submit(world.job(1, Pieces=1000, Rank="best_effort", RunS=4.0, DueS=3000.0))

        async def stream() -> None:
            for number in range(2, 200):
                await world.submit(world.job(number, Pieces=8, RunS=4.0, GuessS=4.0, DueS=60.0))
                await asyncio.sleep(4.0)

        async def gangs() -> None:
            for number in range(300, 400):
                await world.submit(
                    world.job(number, Shape="group", Pieces=2, Cores=2.0, Rank="high", RunS=8.0)
                )
                await asyncio.sleep(25.0)

        streams = [loop.create_task(stream()), loop.create_task(gangs())]
        await world.until(
            lambda: any(task.startswith("req-000001/") for task in world.rule_checker.on),
            seconds=240,
        )
        await asyncio.sleep(300)
        for one in streams:
            one.cancel()
        done = sum(1 for task in world.rule_checker.results if task.startswith("req-000001/"))
        assert done > 50
        world.verdict()

    play(story)


def test_a_call_that_is_no_longer_allowed_leaves_no_reply_behind() -> None:
    """Its connection is closed; a reply that nobody waits for was reported as a lost exception."""

    async def story(loop: Loop) -> None:
        async def answer(request: Request) -> Response:
            return Response(200, b"{}")

        await Server(answer, 10).start("10.0.0.1:8080")
        pool = Pool("10.0.0.1:8080", 1)
        with pytest.raises(RequestFailed) as failed:
            await pool.request("POST", "/", may_send=lambda: False)
        assert not failed.value.sent
        await asyncio.sleep(0.1)
        del failed, pool  # nothing may hold the reply any more
        loop.net.ends.clear()
        gc.collect()

    play(story)
