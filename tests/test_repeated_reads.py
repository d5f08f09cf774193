"""Reads of a shard leader that fail and are repeated, in a load of its shard and afterwards."""

import json
from typing import Any

import msgspec

from basaltlead.clients.codec import encode
from basaltlead.controller import Controller
from basaltlead.core.cluster_view import Grant, Versioned
from basaltlead.core.jobs import MachineType
from basaltlead.runtime.clock import wall_us
from basaltlead.shard.leader import ShardLeader
from basaltlead.storage.client import RowList
from basaltlead.storage.records import StoredJob
from basaltlead.wire.users import Submission
from tests.builders import MACHINE_TYPE
from tests.fakes import Deployment
from tests.simulation import Loop, poll_until, simulated

FENCING_TOKEN = 7
RESULT_ROW = {"done": "", "count": 0, "running": 0}
LEASE_S, CANCEL_S = 10.0, 30.0


def _stored_job(deployment: Deployment, number: int, tasks: int = 2) -> Any:
    """Return the record of an accepted job."""
    submission = msgspec.convert(deployment.job(number, Pieces=tasks), Submission)
    return json.loads(encode(StoredJob.of(submission, wall_us())))


def _start_leader(deployment: Deployment) -> ShardLeader:
    """Start a leader of shard 0, which begins to load the shard."""
    controller = Controller(deployment.settings("node-0"))
    machine_type: MachineType = MACHINE_TYPE
    controller.machine_types[machine_type.name] = machine_type
    grant = Grant("node-0", "", FENCING_TOKEN)
    deployment.store.put("c/block/0", json.loads(encode(grant)))
    return controller._start_shard_leader(0, Versioned(grant, deployment.store.revision))


async def _fail_first_load(deployment: Deployment) -> ShardLeader:
    """Start a leader whose first load fails after it has listed the open jobs and the scale-ins."""
    deployment.store.unreadable_prefixes.add("mach/")
    leader = _start_leader(deployment)
    await poll_until(lambda: deployment.store.refused_reads > 0, 0.001)
    return leader


async def _load_again(deployment: Deployment, leader: ShardLeader) -> None:
    deployment.store.unreadable_prefixes.clear()
    await poll_until(lambda: leader.loaded, 0.001)


def _open_jobs(leader: ShardLeader) -> list[str]:
    return [ref for ref, job_state in leader.shard.job_states.items() if not job_state.closed]


@simulated
async def test_job_that_ends_between_two_loads_of_a_shard_is_closed(loop: Loop) -> None:
    # Guards against ran_cancelled: the job of a failed load stayed open, and its tasks ran on.
    deployment = Deployment(loop)
    await deployment.store.start()
    for number in (1, 2):
        deployment.store.put(f"open/req-{number:06d}", _stored_job(deployment, number))
    leader = await _fail_first_load(deployment)
    assert _open_jobs(leader) == ["req-000001", "req-000002"]

    deployment.store.drop("open/req-000001")
    await _load_again(deployment, leader)

    assert _open_jobs(leader) == ["req-000002"]


@simulated
async def test_job_of_which_only_results_are_left_is_closed_by_the_next_load(loop: Loop) -> None:
    # Guards against ran_cancelled: a cancellation leaves rows of results that did not fit into its
    # transaction, and these must not make the job count as open.
    deployment = Deployment(loop)
    await deployment.store.start()
    deployment.store.put("open/req-000001", _stored_job(deployment, 1))
    deployment.store.put("open/req-000001/0.0", RESULT_ROW)
    leader = await _fail_first_load(deployment)

    deployment.store.drop("open/req-000001")
    await _load_again(deployment, leader)

    assert _open_jobs(leader) == []
    assert leader.open_jobs_watch.orphaned_rows == ["open/req-000001/0.0"]


@simulated
async def test_job_of_which_only_results_are_left_is_closed_by_a_watch_that_lists_anew(
    loop: Loop,
) -> None:
    # Guards against ran_cancelled in the same way, where a watch has missed changes.
    deployment = Deployment(loop)
    await deployment.store.start()
    for number in (1, 2):
        deployment.store.put(f"open/req-{number:06d}", _stored_job(deployment, number))
    leader = _start_leader(deployment)
    await poll_until(lambda: leader.loaded, 0.001)
    assert _open_jobs(leader) == ["req-000001", "req-000002"]

    rows, revision = await leader.context.store.rows("open/")
    results = msgspec.Raw(encode(RESULT_ROW))
    left = msgspec.structs.replace(rows[0], key="open/req-000001/0.0", value=results)
    leader.open_jobs_watch._relist(RowList([left, rows[1]], revision))

    assert _open_jobs(leader) == ["req-000002"]


@simulated
async def test_cancellation_holds_if_the_next_leader_loses_the_store_while_loading(
    loop: Loop,
) -> None:
    # Guards against ran_cancelled: a controller that was to be told of the cancellation was cut off
    # for a second while it loaded the shard, and kept the job open for good.
    deployment = Deployment(loop, lease=LEASE_S, cancel=CANCEL_S)
    old = await deployment.start_with_running_job(6, 500.0)

    deployment.store.unreadable_prefixes.add("mach/")
    deployment.crash(old)
    await poll_until(
        lambda: any(
            leader.lease.cancellations_as_of is not None
            for controller in deployment.controllers.values()
            for leader in controller.shard_leaders.values()
        ),
        0.001,
    )
    new = next(name for name, node in deployment.controllers.items() if node.shard_leaders)
    deployment.cut_from_store_and_peers(new)
    assert await deployment.cancel("req-000001", deployment.other_node(old, new)) == "withdrawn"
    loop.call_later(1.0, deployment.rejoin_store_and_peers, new, False)
    deployment.store.unreadable_prefixes.clear()
    deployment.start_controller(old)
    await deployment.wait_until(lambda: not deployment.running_tasks("req-000001"), CANCEL_S)

    assert deployment.controllers[new].shard_leaders
    deployment.assert_no_violation()


@simulated
async def test_scale_in_that_ends_between_two_loads_of_a_shard_is_forgotten(loop: Loop) -> None:
    # Guards against a record of a failed load that stays although the next load has none.
    deployment = Deployment(loop)
    await deployment.store.start()
    deployment.store.put("return/6-1", {"names": ["m-000001"], "token": 6, "at": 0})
    deployment.store.put("return/6-2", {"names": ["m-000002"], "token": 6, "at": 0})
    leader = await _fail_first_load(deployment)

    deployment.store.drop("return/6-1")
    await _load_again(deployment, leader)

    assert list(leader.context.intents.scale_ins) == ["return/6-2"]


@simulated
async def test_tasks_of_a_refused_hand_over_are_taken_back_although_the_first_read_fails(
    loop: Loop,
) -> None:
    # Guards against tasks that wait for good: they are assigned to this shard in a record that has
    # changed during the hand-over, and whose read after it fails.
    deployment = Deployment(loop, operator={"blocks": 2})
    await deployment.store.start()
    deployment.store.put("open/req-000001", _stored_job(deployment, 1, tasks=10))
    deployment.store.put("lease/req-000001", {"parts": [[0, 10, 0]]})
    leader = _start_leader(deployment)
    await poll_until(lambda: leader.loaded, 0.001)
    job_state = leader.shard.job_states["req-000001"]
    assert job_state.waiting == 10

    deployment.store.put("lease/req-000001", {"parts": [[0, 10, 0]]})  # a version that is not known
    deployment.store.unreadable_prefixes.add("lease/")
    hand_over = loop.create_task(leader.rebalancer._hand_over(job_state, 1))
    await poll_until(lambda: deployment.store.refused_reads > 0, 0.001)
    assert job_state.waiting == 5
    deployment.store.unreadable_prefixes.clear()
    await hand_over

    assert job_state.waiting == 10
