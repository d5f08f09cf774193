"""The rule checker reports each kind of violation."""

from collections.abc import Callable

import pytest

from tests.fakes import Deployment, FakeCloud, FakeWorker
from tests.simulation import Loop, simulated


def _add_worker(
    deployment: Deployment, number: int, zone: str = "a", spot: bool = False
) -> FakeWorker:
    worker = FakeWorker(deployment, f"m-{number:06d}", FakeCloud.TYPES[0], zone, spot)
    worker.up = True
    worker.task.cancel()
    deployment.cloud.machines[worker.name] = worker
    return worker


def _answer_user(deployment: Deployment, stage: str, verb: str = "poll", status: int = 200) -> None:
    before = deployment.rule_checker.last_stage.get("req-000001")
    deployment.rule_checker.user_answered("req-000001", verb, status, {"Stage": stage}, before)


def _add_job(deployment: Deployment, **fields: object) -> None:
    deployment.jobs["req-000001"] = deployment.job(1, **fields)


def _ran_twice(deployment: Deployment) -> None:
    _add_job(deployment)
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 1), 1)
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 2), 2)


def _quota(deployment: Deployment) -> None:
    _add_job(deployment, Pieces=5, Cores=2.0)
    for index in range(3):
        deployment.rule_checker.task_started(
            f"req-000001/{index}", _add_worker(deployment, index), 1
        )


def _zone(deployment: Deployment) -> None:
    _add_job(deployment, Yard="b")
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 1), 1)


def _spot(deployment: Deployment) -> None:
    _add_job(deployment, Loaners=False)
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 1, spot=True), 1)


def _one_zone(deployment: Deployment) -> None:
    _add_job(deployment, Pieces=2, OneZone=True)
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 1), 1)
    deployment.rule_checker.task_started("req-000001/1", _add_worker(deployment, 2, "b"), 1)


def _apart(deployment: Deployment) -> None:
    _add_job(deployment, Pieces=2, Apart=True)
    for index in range(2):
        deployment.rule_checker.task_started(
            f"req-000001/{index}", _add_worker(deployment, index), 1
        )


def _ran_cancelled(deployment: Deployment) -> None:
    _add_job(deployment)
    deployment.cancel_requested["req-000001"] = True
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 1), 1)
    _answer_user(deployment, "withdrawn", "cancel")
    deployment.loop._selector.now += deployment.cancel_s + 0.1
    deployment.rule_checker.check()


def _not_found(deployment: Deployment) -> None:
    _add_job(deployment)
    _answer_user(deployment, "pending", "submit", 201)
    _answer_user(deployment, "", status=404)


def _refused_later(deployment: Deployment) -> None:
    _add_job(deployment)
    _answer_user(deployment, "pending", "submit", 201)
    _answer_user(deployment, "", "submit", 422)


def _unanswered_since_the_faults(deployment: Deployment) -> None:
    _add_job(deployment)
    _answer_user(deployment, "pending", "submit", 201)
    deployment.rule_checker.start_time_limit_checks()
    deployment.loop._selector.now += 76
    _answer_user(deployment, "", status=503)


def _answered_without_submission(deployment: Deployment) -> None:
    _answer_user(deployment, "pending")


def _not_done(deployment: Deployment) -> None:
    _add_job(deployment, Pieces=2)
    deployment.rule_checker.task_completed("req-000001/0")
    _answer_user(deployment, "done")


def _back_from_done(deployment: Deployment) -> None:
    _add_job(deployment)
    deployment.rule_checker.task_completed("req-000001/0")
    _answer_user(deployment, "done")
    _answer_user(deployment, "running")


def _cancelled_by_nobody(deployment: Deployment) -> None:
    _add_job(deployment)
    _answer_user(deployment, "withdrawn")


def _bad_job(deployment: Deployment) -> None:
    _add_job(deployment, Cores=99.0)
    _answer_user(deployment, "pending", "submit", 201)


def _no_field(deployment: Deployment) -> None:
    _add_job(deployment, Mould=None)
    _answer_user(deployment, "pending", "submit", 201)


def _waited(deployment: Deployment) -> None:
    _add_job(deployment)
    _add_worker(deployment, 1)
    _answer_user(deployment, "pending", "submit", 201)
    deployment.rule_checker.start_time_limit_checks()
    for _ in range(95):
        deployment.loop._selector.now += 1.0
        deployment.rule_checker.check()


@pytest.mark.parametrize(
    ("violate", "rule"),
    [
        (_ran_twice, "ran_twice"),
        (_quota, "quota"),
        (_zone, "wrong_place"),
        (_spot, "wrong_place"),
        (_one_zone, "wrong_place"),
        (_apart, "wrong_place"),
        (_ran_cancelled, "ran_cancelled"),
        (_not_found, "forgotten"),
        (_refused_later, "refused after acceptance"),
        (_unanswered_since_the_faults, "unanswered"),
        (_answered_without_submission, "answered without submission"),
        (_not_done, "not_done"),
        (_back_from_done, "went_back"),
        (_cancelled_by_nobody, "withdrawn without cancellation"),
        (_bad_job, "bad job"),
        (_no_field, "bad job"),
        (_waited, "waited"),
    ],
    ids=lambda value: getattr(value, "__name__", value).strip("_"),
)
@simulated
async def test_rule_checker_reports_violation(
    loop: Loop, violate: Callable[[Deployment], None], rule: str
) -> None:
    deployment = Deployment(loop, team_cpus_max={"red": 5} if violate is _quota else None)
    violate(deployment)
    assert any(rule in text for text in deployment.rule_checker.violations), (
        deployment.rule_checker.violations
    )


@simulated
async def test_rule_checker_counts_starts_after_a_confirmed_cancellation(loop: Loop) -> None:
    deployment = Deployment(loop)
    _add_job(deployment)

    deployment.cancel_requested["req-000001"] = True
    _answer_user(deployment, "withdrawn", "cancel")
    loop._selector.now += 2.0
    deployment.rule_checker.task_started("req-000001/0", _add_worker(deployment, 1), 1)

    assert deployment.rule_checker.started_after_cancel == [("req-000001/0", 2.0)]
    assert deployment.rule_checker.violations == []
