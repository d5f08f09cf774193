"""Limits of the key-value store: at each boundary, and when they are lowered at run time."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest

from basaltlead import cli
from basaltlead.clients.codec import encode
from basaltlead.controller import max_stored_bids
from basaltlead.core.entities import JobState
from basaltlead.core.jobs import US
from basaltlead.core.market import Market, MarketParameters
from basaltlead.core.objectives import ServiceLevelObjectives
from basaltlead.errors import TransactionTooLarge
from basaltlead.scaling.machine_type_catalog import paginate_types
from basaltlead.storage.client import KeyValueStore
from basaltlead.storage.limits import TRANSACTION_BYTES, StoreLimits
from basaltlead.storage.result_rows import (
    CHUNK_SHARD_OFFSET,
    SEGMENT_TASKS,
    ProgressChunk,
    ResultLayout,
    load_results,
    parse_open_key,
)
from basaltlead.wire.cloud import MachineTypeInfo
from basaltlead.wire.store import Drop, Precondition, Put
from tests.builders import job_refs, make_job
from tests.fakes import Deployment
from tests.simulation import Loop, simulated

LIMITS = StoreLimits(rps=100.0, write_rps=50.0, value_bytes=200, operations=3)


def _limit_error(preconditions: int, values: list[int], total: int) -> str:
    return LIMITS.limit_error(preconditions, len(values), values, total)


def test_each_limit_is_exact_to_the_byte_and_to_the_operation() -> None:
    assert _limit_error(12, [200, 200, 200], TRANSACTION_BYTES) == ""
    assert "guards" in _limit_error(13, [1], 100)
    assert "operations" in _limit_error(1, [1, 1, 1, 1], 100)
    assert "201 bytes" in _limit_error(1, [200, 201], 500)
    assert f"{TRANSACTION_BYTES + 1} bytes" in _limit_error(1, [1], TRANSACTION_BYTES + 1)


def test_rows_are_batched_by_operations_and_by_bytes() -> None:
    sizes = {f"k{i}": 100 for i in range(7)}
    assert [len(batch) for batch in LIMITS.batches(sizes)] == [3, 3, 1]
    large = {f"k{i}": 30_000 for i in range(3)}

    assert [len(batch) for batch in LIMITS.batches(large)] == [1, 1, 1]
    assert list(LIMITS.batches({})) == []


@pytest.mark.parametrize(("size", "sent"), [(198, True), (199, False)], ids=["at limit", "over"])
@simulated
async def test_transaction_over_a_limit_is_never_sent(loop: Loop, size: int, sent: bool) -> None:
    """Such a transaction can't succeed; without the check it would be retried again and again."""
    deployment = Deployment(loop)
    await deployment.store.start()

    store = KeyValueStore(deployment.store.ADDRESS, LIMITS, 1, 1)
    deployment.store.value_bytes = LIMITS.value_bytes
    value = "x" * size  # encoded with two quotes
    if sent:
        await store.compare_and_swap([], [Put("k", value)])
    else:
        with pytest.raises(TransactionTooLarge):
            await store.compare_and_swap([], [Put("k", value)])
    assert deployment.store.oversized == []
    assert ("k" in deployment.store.keys) == sent
    with pytest.raises(TransactionTooLarge):
        await store.compare_and_swap([], [Drop(str(n)) for n in range(4)])
    with pytest.raises(TransactionTooLarge):
        await store.compare_and_swap([Precondition(str(n), 0) for n in range(13)], [Drop("k")])
    await store.compare_and_swap([Precondition(f"g{n}", 0) for n in range(12)], [Drop("k")])


# Results


def _job_state(tasks: int) -> JobState:
    return JobState(make_job(tasks=tasks), 5, 0, 0)


@pytest.mark.parametrize("value_bytes", [300, 2048, 8192, 32_768])
@pytest.mark.parametrize("tasks", [1, 1200, 24_576, 24_577, 100_000])
def test_results_of_any_job_fit_into_values_and_are_read_back(value_bytes: int, tasks: int) -> None:
    layout = ResultLayout(value_bytes)
    job_state = _job_state(tasks)
    expected = set(range(0, tasks, 7)) | {tasks - 1}

    for index in expected:
        job_state.finish(index)
    rows = layout.unstored(job_state, 0)
    loaded = _job_state(tasks)
    for row in rows:
        raw = encode(row.value)
        assert len(raw) <= value_bytes
        _, part = parse_open_key(row.key)
        assert part is not None
        load_results(loaded, 0, *part, msgspec.Raw(raw), layout)

    assert {index for index in range(tasks) if loaded.is_done(index)} == expected
    assert {index for row in rows for index in row.tasks} == expected
    assert {row.key for row in rows} <= set(layout.keys(job_state.job.ref, tasks, [0]))
    assert 1 + len(layout.keys(job_state.job.ref, tasks, [0])) <= 1 + layout.max_rows(tasks, 1)
    assert sum(row.value.count for row in rows) == len(expected)


def test_results_stored_under_larger_limits_are_read_and_not_rewritten() -> None:
    before, after = ResultLayout(32_768), ResultLayout(2048)
    old = _job_state(SEGMENT_TASKS)

    for index in range(0, 20_000, 3):
        old.finish(index)
    (row,) = before.unstored(old, 0)
    assert len(encode(row.value)) > 2048
    job_state = _job_state(SEGMENT_TASKS)
    load_results(job_state, 0, 0, 0, msgspec.Raw(encode(row.value)), after)
    assert job_state.done_count == old.done_count
    job_state.finish(1)
    (new,) = after.unstored(job_state, 0)

    assert isinstance(new.value, ProgressChunk)
    assert new.value.count == 1  # what the old row holds is not counted twice
    assert parse_open_key(new.key) == ("req-000001", (CHUNK_SHARD_OFFSET, 0))


def test_budgets_and_machine_types_fit_into_values_however_many_there_are() -> None:
    value_bytes = 2048

    parameters = MarketParameters(10 * US, 300 * US, 1e8, 0.01, 0.05, max_stored_bids(value_bytes))
    market = Market(parameters, ["red"], ServiceLevelObjectives())
    job_states = {}
    for number in range(500):
        job_state = JobState(make_job(ref=f"req-{number:015d}"), 5, 0, 0)
        job_state.bid = 99_999_999.9999
        job_states[job_state.job.ref] = job_state
    assert len(encode(market.team_record("red", job_states))) <= value_bytes
    types = [
        MachineTypeInfo(f"type-{n}", 4.0, 0.0, 16.0, 0.123456, 40.0, ["zone-a", "zone-b", "zone-c"])
        for n in range(50)
    ]
    pages = paginate_types(types, value_bytes)

    assert [one for page in pages for one in page] == types
    assert len(pages) > 1
    assert all(len(encode({"Grades": page, "pages": 99})) <= value_bytes for page in pages)


# Whole controllers


@simulated
async def test_submission_one_byte_over_the_value_limit_is_refused(loop: Loop) -> None:
    deployment = Deployment(loop, announced_limits={"value_kb": 2.0})
    await deployment.start()

    await asyncio.sleep(2)
    grades = ["small", "large"]
    job = deployment.job(1, Grades=grades)
    status, _ = await deployment.request("node-0", "POST", "/api/jobs", job)
    assert status == 201
    stored = len(encode(deployment.store.keys["open/req-000001"][0]))
    grades += ["x" * 97] * ((2048 - stored) // 100)  # two quotes and a comma each
    grades.append("y" * (2048 - stored - 100 * (len(grades) - 2) - 3))
    fits, larger = dict(job), dict(job)
    fits["Ref"], larger["Ref"] = "req-000002", "req-000003"
    fits["Grades"], larger["Grades"] = grades, [*grades[:-1], grades[-1] + "y"]
    status, _ = await deployment.request("node-0", "POST", "/api/jobs", fits)
    assert status == 201
    assert len(encode(deployment.store.keys["open/req-000002"][0])) == 2048
    status, _ = await deployment.request("node-0", "POST", "/api/jobs", larger)

    assert status == 422
    assert "open/req-000003" not in deployment.store.keys
    assert deployment.store.oversized == []


@simulated
async def test_no_transaction_is_too_large_when_limits_are_lowered_at_run_time(loop: Loop) -> None:
    deployment = Deployment(
        loop, announced_limits={"value_kb": 1.0, "txn_ops": 3, "write_rps": 20.0}
    )
    await deployment.start()
    tiny: dict[str, Any] = {"Cores": 0.02, "MemoryGb": 0.01, "RunS": 1.0}
    await deployment.submit(deployment.job(1, Pieces=7000, **tiny))
    await deployment.submit(deployment.job(2, Pieces=7000, **(tiny | {"RunS": 5.0})))
    await deployment.wait_until(lambda: len(deployment.rule_checker.results) > 500)

    deployment.apply_announced_limits()
    for number in range(3, 12):
        await deployment.submit(deployment.job(number, Pieces=5, RunS=2.0))
    assert await deployment.submit(deployment.service(20)) == 201
    assert await deployment.cancel("req-000002") == "withdrawn"
    await deployment.wait_until_done("req-000001", seconds=240)
    await deployment.wait_until_done(*job_refs(3, 11))
    await deployment.cancel("req-000020")
    await asyncio.sleep(30)  # rows of jobs that are over are deleted in the background

    assert [key for key in deployment.store.keys if key.startswith("open/")] == []
    deployment.assert_no_violation()


@simulated
async def test_result_rows_left_by_an_earlier_shard_leader_are_dropped(loop: Loop) -> None:
    deployment = Deployment(loop)

    for number in range(12):
        row = {"done": "", "count": 0, "running": 0}
        deployment.store.keys[f"open/req-000009/0.{number}"] = (row, number + 1, None)
    deployment.store.revision = 12
    await deployment.start()
    await asyncio.sleep(10)

    assert not [key for key in deployment.store.keys if key.startswith("open/")]


@simulated
async def test_user_writes_and_session_leases_succeed_above_the_write_rate_with_few_retries(
    loop: Loop,
) -> None:
    """The key-value store accepts a fifth of the write rate that it announced."""
    deployment = Deployment(loop, announced_limits={"write_rps": 20.0})
    await deployment.start()

    await asyncio.sleep(3)
    members = {
        name: deployment.controllers[name].membership.incarnation for name in deployment.nodes
    }
    deployment.store.write_rps = 4.0
    for number in range(1, 30):
        await deployment.submit(deployment.job(number, Pieces=3, RunS=2.0))

    assert await deployment.cancel("req-000029") == "withdrawn"
    await deployment.wait_until_done(*job_refs(1, 28), seconds=200)
    assert {
        name: deployment.controllers[name].membership.incarnation for name in deployment.nodes
    } == members
    # Fewer than 5 refusals per second; simulated time begins at 1000 s
    assert deployment.store.refused_writes < 5 * loop.time() - 5 * 1000
    deployment.assert_no_violation()


# Settings

SETTINGS = """
member = "anvil-0"
location = "a"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
nodes = 1
zones = ["a"]
[facts.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 35.0
[facts.state]
rps = 250.0
write_rps = 50.0
value_kb = 32.0
txn_ops = 16
{next}
[facts.cloud]
rps = 3.0
list_lag_s = 8.0
"""


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("value_kb = 0", "facts.state.next.value_kb"),
        ('value_kb = "2"', "facts.state.next.value_kb"),
        ("txn_ops = 1", "facts.state.next.txn_ops"),
        ("txn_ops = 2.5", "facts.state.next.txn_ops"),
        ("write_rps = -1.0", "facts.state.next.write_rps"),
        ("rps = 0.0", "facts.state.next.rps"),
    ],
    ids=["zero", "text", "too few", "fraction", "negative", "zero rate"],
)
def test_bad_limit_is_refused_by_name(
    line: str, field: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace("{next}", f"[facts.state.next]\n{line}"))

    assert cli.main(["serve", "--config", str(path)]) == 2
    assert field in capsys.readouterr().err


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", StoreLimits(250.0, 50.0, 32_768, 16)),
        ("[facts.state.next]\nvalue_kb = 2.0", StoreLimits(250.0, 50.0, 2048, 16)),
        (
            "[facts.state.next]\nrps = 9\nwrite_rps = 35.0\nvalue_kb = 64\ntxn_ops = 5",
            StoreLimits(9.0, 35.0, 32_768, 5),
        ),
    ],
    ids=["none announced", "one announced", "all announced, one of them higher"],
)
def test_the_lower_of_both_limits_holds_from_the_start(
    text: str, expected: StoreLimits, tmp_path: Path
) -> None:
    from basaltlead.config import loader

    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace("{next}", text))

    assert loader.load(str(path)).store_limits == expected
