"""Checks the rules of the protocols, as seen from outside the controllers."""

from typing import TYPE_CHECKING, Any

from tests.fakes.worker import FakeWorker

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment


class RuleChecker:
    """Records a violation for each rule that is broken, by what workers, users and the cloud see.

    ANSWER_WITHIN_S and START_WITHIN_S are checked only after all faults have ended.
    """

    ANSWER_WITHIN_S = 75.0  # in which at least one request about a job must be answered
    START_WITHIN_S = 90.0  # in which a job must start while a suitable machine has room for it
    FIELDS = (
        "Ref",
        "Lane",
        "Crew",
        "Shape",
        "Rank",
        "Pieces",
        "Cores",
        "Gpus",
        "MemoryGb",
        "Mould",
        "PullGb",
        "OneZone",
        "Apart",
        "Loaners",
        "GuessS",
        "MarkEveryS",
        "MarkS",
    )

    def __init__(self, deployment: "Deployment") -> None:
        self.deployment = deployment
        self.faults_over_at: float | None = None  # when all faults ended
        self.answered_at: dict[str, float] = {}  # when users last got a response, by job
        self.waiting_since: dict[str, float] = {}  # since when a job waits while there is room
        self.checked_at = 0.0
        # (task, seconds) of each start after a user was told that the task's job is cancelled
        self.started_after_cancel: list[tuple[str, float]] = []
        self.running_on: dict[str, FakeWorker] = {}  # by task
        self.results: set[str] = set()  # tasks that have completed
        self.last_stage: dict[str, str] = {}  # the last stage that users were told, by job
        self.cancelled_at: dict[str, float] = {}  # when users were told that a job is cancelled
        self.starts = 0
        self.started_tasks: list[str] = []
        self.violations: list[str] = []

    def add_violation(self, text: str) -> None:
        """Record a violation."""
        self.violations.append(f"{self.deployment.loop.time():.2f} {text}")

    def task_started(self, task: str, worker: FakeWorker, attempt_number: int) -> None:
        """Check the start of a task on a worker."""
        self.starts += 1
        self.started_tasks.append(task)
        ref = task.partition("/")[0]
        job = self.deployment.jobs[ref]
        if task in self.running_on:
            self.add_violation(f"ran_twice {task}: {self.running_on[task].name} and {worker.name}")
        self.running_on[task] = worker
        self._check_placement(ref, job, worker)
        team_tasks = [
            t
            for t in self.running_on
            if self.deployment.jobs[t.partition("/")[0]]["Crew"] == job["Crew"]
        ]
        used = sum(self.deployment.jobs[t.partition("/")[0]]["Cores"] for t in team_tasks)
        cpus_max = self.deployment.team_cpus_max.get(job["Crew"], 0)
        if cpus_max and used > cpus_max + 1e-9:
            self.add_violation(f"quota {job['Crew']}: {used}")
        if ref in self.cancelled_at:
            delay_s = self.deployment.loop.time() - self.cancelled_at[ref]
            self.started_after_cancel.append((task, delay_s))
            self._check_cancelled(task)

    def _check_placement(self, ref: str, job: dict[str, Any], worker: FakeWorker) -> None:
        if job["Grades"] is not None and worker.machine_type["Label"] not in job["Grades"]:
            self.add_violation(f"wrong_place {ref}: type {worker.machine_type['Label']}")
        if job["Yard"] is not None and worker.zone != job["Yard"]:
            self.add_violation(f"wrong_place {ref}: zone {worker.zone}")
        if worker.spot and not job["Loaners"]:
            self.add_violation(f"wrong_place {ref}: spot")
        zones = [w.zone for t, w in self.running_on.items() if t.partition("/")[0] == ref]
        if job["OneZone"] and len(set(zones)) > 1:
            self.add_violation(f"wrong_place {ref}: several zones")
        if job["Apart"] and zones.count(worker.zone) > (job["Pieces"] + 1) // 2:
            self.add_violation(f"wrong_place {ref}: too many in {worker.zone}")

    def _check_cancelled(self, task: str) -> None:
        ref = task.partition("/")[0]
        if self.deployment.loop.time() > self.cancelled_at[ref] + self.deployment.cancel_s:
            self.add_violation(f"ran_cancelled {task}")

    def task_stopped(self, task: str, worker: FakeWorker) -> None:
        """Record that a task no longer runs on a worker."""
        if self.running_on.get(task) is worker:
            del self.running_on[task]

    def starts_of(self, ref: str) -> int:
        """Return how often tasks of a job were started."""
        return sum(task.partition("/")[0] == ref for task in self.started_tasks)

    def task_completed(self, task: str) -> None:
        """Record that a task has ended with a result."""
        self.results.add(task)

    def check(self) -> None:
        """Check the rules that depend on time. Tests must call this often."""
        for task in self.running_on:
            if task.partition("/")[0] in self.cancelled_at:
                self._check_cancelled(task)
        now = self.deployment.loop.time()
        if self.faults_over_at is not None and now >= self.checked_at + 1:
            self.checked_at = now
            self._check_waiting_jobs(now)

    def start_time_limit_checks(self) -> None:
        """Start to check the time limits, since all faults have ended."""
        self.faults_over_at = self.deployment.loop.time()
        self.waiting_since.clear()

    def _check_waiting_jobs(self, now: float) -> None:
        """Check that no job waits longer than START_WITHIN_S while its team's quota permits a start
        and a suitable machine has room.

        Gangs, and jobs whose placement depends on their other tasks, are not checked.
        """
        jobs = self.deployment.jobs
        running = {task.partition("/")[0] for task in self.running_on}
        for ref, stage in self.last_stage.items():
            is_waiting = (
                stage not in ("done", "withdrawn")
                and ref not in running
                and not self.deployment.cancel_requested.get(ref)
                and any(f"{ref}/{i}" not in self.results for i in range(jobs[ref]["Pieces"]))
                and jobs[ref]["Shape"] != "group"
                and self._has_room(jobs[ref])
            )
            if not is_waiting:
                self.waiting_since.pop(ref, None)
            elif now - self.waiting_since.setdefault(ref, now) > self.START_WITHIN_S:
                self.add_violation(f"waited {ref}")
                self.waiting_since[ref] = now

    def _has_room(self, job: dict[str, Any]) -> bool:
        cpus_max = self.deployment.team_cpus_max.get(job["Crew"], 0)
        team_tasks = [
            t
            for t in self.running_on
            if self.deployment.jobs[t.partition("/")[0]]["Crew"] == job["Crew"]
        ]
        used = sum(self.deployment.jobs[t.partition("/")[0]]["Cores"] for t in team_tasks)
        if cpus_max and used + job["Cores"] > cpus_max + 1e-9:
            return False
        return any(
            worker.up and worker.preemption_at is None and worker.has_room_for(job)
            for worker in self.deployment.cloud.machines.values()
        )

    def _is_valid(self, job: dict[str, Any]) -> bool:
        """Whether a job has all fields and fits its team's quota and a machine type."""
        if any(job.get(field) is None for field in self.FIELDS):
            return False
        cpus_max = self.deployment.team_cpus_max.get(job["Crew"], 0)
        count = 1 if job["Shape"] == "batch" else job["Pieces"]
        return (not cpus_max or job["Cores"] * count <= cpus_max + 1e-9) and any(
            job["Cores"] <= machine_type["Cores"]
            and job["Gpus"] <= machine_type["Gpus"]
            and job["MemoryGb"] <= machine_type["MemoryGb"]
            and (job["Grades"] is None or machine_type["Label"] in job["Grades"])
            and (job["Yard"] is None or job["Yard"] in machine_type["Yards"])
            for machine_type in self.deployment.cloud.TYPES
        )

    def user_answered(
        self, ref: str, verb: str, status: int, body: dict[str, Any], known_stage: str | None
    ) -> None:
        """Check the response to a user's request.

        `known_stage` is the stage that the user knew when sending the request. If it is final (done
        or withdrawn), the job must stay in it. `last_stage` may be later, since the responses to
        concurrent requests arrive in any order.
        """
        if status == 404 and known_stage is not None:
            self.add_violation(f"forgotten {ref}")
        if status in (400, 422) and known_stage is not None:
            self.add_violation(f"refused after acceptance {ref}: {status}")
        now = self.deployment.loop.time()
        if status not in (200, 201):
            answer_due_from = max(self.faults_over_at or now, self.answered_at.get(ref, 0.0))
            if known_stage is not None and now - answer_due_from > self.ANSWER_WITHIN_S:
                self.add_violation(f"unanswered {ref}")
            return
        self.answered_at[ref] = now
        if ref not in self.deployment.jobs:
            self.add_violation(f"answered without submission {ref}")
            return
        if verb == "submit" and not self._is_valid(self.deployment.jobs[ref]):
            self.add_violation(f"bad job accepted {ref}")
        stage = body["Stage"]
        if known_stage in ("done", "withdrawn") and stage != known_stage:
            self.add_violation(f"went_back {ref}: {known_stage}, then {stage}")
        if self.last_stage.get(ref) not in ("done", "withdrawn"):
            self.last_stage[ref] = stage
        elif stage in ("done", "withdrawn") and stage != self.last_stage[ref]:
            self.add_violation(f"went_back {ref}: {self.last_stage[ref]} and {stage}")
        if stage == "withdrawn":
            if not self.deployment.cancel_requested.get(ref):
                self.add_violation(f"withdrawn without cancellation {ref}")
            self.cancelled_at.setdefault(ref, self.deployment.loop.time())
        if self.deployment.jobs[ref]["Shape"] == "service" and (stage == "done" or body["done"]):
            self.add_violation(f"service done {ref}: {body}")
        if stage == "done":
            pieces = self.deployment.jobs[ref]["Pieces"]
            if any(f"{ref}/{i}" not in self.results for i in range(pieces)):
                self.add_violation(f"not_done {ref}")
