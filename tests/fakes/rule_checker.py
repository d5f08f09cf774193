"""The rules of the protocol, checked from outside."""

from typing import TYPE_CHECKING, Any

from tests.fakes.worker import FakeWorker

if TYPE_CHECKING:
    from tests.fakes.deployment import World


class RuleChecker:
    """Watches the rules from outside: by what workers, users and the cloud see."""

    FORGOTTEN = 75.0  # s without an answered question, once all troubles are over
    WAITED = 90.0  # s beside room on a machine that fits
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

    def __init__(self, world: "World") -> None:
        self.world = world
        self.calm_at: float | None = None  # since when there is no trouble any more
        self.answered_at: dict[str, float] = {}
        self.idle_from: dict[str, float] = {}  # since when a job waits beside room
        self.looked_at = 0.0
        self.started_cancelled: list[tuple[str, float]] = []  # and how long after the user knew
        self.on: dict[str, FakeWorker] = {}
        self.results: set[str] = set()
        self.told: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.starts = 0
        self.started: list[str] = []
        self.broken: list[str] = []

    def say(self, text: str) -> None:
        self.broken.append(f"{self.world.loop.time():.2f} {text}")

    def entered(self, task: str, worker: FakeWorker, token: int) -> None:
        self.starts += 1
        self.started.append(task)
        ref = task.partition("/")[0]
        job = self.world.jobs[ref]
        if task in self.on:
            self.say(f"ran_twice {task}: {self.on[task].name} and {worker.name}")
        self.on[task] = worker
        self._places(ref, job, worker)
        team = [t for t in self.on if self.world.jobs[t.partition("/")[0]]["Crew"] == job["Crew"]]
        used = sum(self.world.jobs[t.partition("/")[0]]["Cores"] for t in team)
        most = self.world.limits.get(job["Crew"], 0)
        if most and used > most + 1e-9:
            self.say(f"quota {job['Crew']}: {used}")
        if ref in self.cancelled_at:
            late = self.world.loop.time() - self.cancelled_at[ref]
            self.started_cancelled.append((task, late))
            self._late(task)

    def _places(self, ref: str, job: dict[str, Any], worker: FakeWorker) -> None:
        if job["Grades"] is not None and worker.machine_type["Label"] not in job["Grades"]:
            self.say(f"wrong_place {ref}: type {worker.machine_type['Label']}")
        if job["Yard"] is not None and worker.zone != job["Yard"]:
            self.say(f"wrong_place {ref}: zone {worker.zone}")
        if worker.spot and not job["Loaners"]:
            self.say(f"wrong_place {ref}: spot")
        zones = [w.zone for t, w in self.on.items() if t.partition("/")[0] == ref]
        if job["OneZone"] and len(set(zones)) > 1:
            self.say(f"wrong_place {ref}: several zones")
        if job["Apart"] and zones.count(worker.zone) > (job["Pieces"] + 1) // 2:
            self.say(f"wrong_place {ref}: too many in {worker.zone}")

    def _late(self, task: str) -> None:
        ref = task.partition("/")[0]
        if self.world.loop.time() > self.cancelled_at[ref] + self.world.cancel_s:
            self.say(f"ran_cancelled {task}")

    def left(self, task: str, worker: FakeWorker) -> None:
        if self.on.get(task) is worker:
            del self.on[task]

    def starts_of(self, ref: str) -> int:
        return sum(task.partition("/")[0] == ref for task in self.started)

    def completed(self, task: str) -> None:
        self.results.add(task)

    def check(self) -> None:
        for task in self.on:
            if task.partition("/")[0] in self.cancelled_at:
                self._late(task)
        now = self.world.loop.time()
        if self.calm_at is not None and now >= self.looked_at + 1:
            self.looked_at = now
            self._waiting(now)

    def calm(self) -> None:
        """All troubles are over."""
        self.calm_at = self.world.loop.time()
        self.idle_from.clear()

    def _waiting(self, now: float) -> None:
        """No job waits for long while a machine that fits has room and its team may use it."""
        jobs = self.world.jobs
        running = {task.partition("/")[0] for task in self.on}
        for ref, told in self.told.items():
            waits = (
                told not in ("done", "withdrawn")
                and ref not in running
                and not self.world.asked_cancel.get(ref)
                and any(f"{ref}/{i}" not in self.results for i in range(jobs[ref]["Pieces"]))
                and jobs[ref]["Shape"] != "group"
                and self._has_room(jobs[ref])
            )
            if not waits:
                self.idle_from.pop(ref, None)
            elif now - self.idle_from.setdefault(ref, now) > self.WAITED:
                self.say(f"waited {ref}")
                self.idle_from[ref] = now

    def _has_room(self, job: dict[str, Any]) -> bool:
        most = self.world.limits.get(job["Crew"], 0)
        team = [t for t in self.on if self.world.jobs[t.partition("/")[0]]["Crew"] == job["Crew"]]
        used = sum(self.world.jobs[t.partition("/")[0]]["Cores"] for t in team)
        if most and used + job["Cores"] > most + 1e-9:
            return False
        return any(
            worker.up and worker.recall is None and worker.holds(job)
            for worker in self.world.cloud.machines.values()
        )

    def _may_run(self, job: dict[str, Any]) -> bool:
        """Lacks it no field, and can it run at all?"""
        if any(job.get(field) is None for field in self.FIELDS):
            return False
        most = self.world.limits.get(job["Crew"], 0)
        count = 1 if job["Shape"] == "batch" else job["Pieces"]
        return (not most or job["Cores"] * count <= most + 1e-9) and any(
            job["Cores"] <= machine_type["Cores"]
            and job["Gpus"] <= machine_type["Gpus"]
            and job["MemoryGb"] <= machine_type["MemoryGb"]
            and (job["Grades"] is None or machine_type["Label"] in job["Grades"])
            and (job["Yard"] is None or job["Yard"] in machine_type["Yards"])
            for machine_type in self.world.cloud.TYPES
        )

    def answered(
        self, ref: str, verb: str, status: int, body: dict[str, Any], before: str | None
    ) -> None:
        """Something was told to a user, who knew `before` when asking: of two questions asked
        at the same time either answer may come first."""
        if status == 404 and before is not None:
            self.say(f"forgotten {ref}")
        if status in (400, 422) and before is not None:
            self.say(f"forgotten {ref}: {status}")
        now = self.world.loop.time()
        if status not in (200, 201):
            known = max(self.calm_at or now, self.answered_at.get(ref, 0.0))
            if before is not None and now - known > self.FORGOTTEN:
                self.say(f"forgotten {ref}: no answer")
            return
        self.answered_at[ref] = now
        if ref not in self.world.jobs:
            self.say(f"invented {ref}")
            return
        if verb == "submit" and not self._may_run(self.world.jobs[ref]):
            self.say(f"bad job accepted {ref}")
        stage = body["Stage"]
        if before in ("done", "withdrawn") and stage != before:
            self.say(f"went_back {ref}: {before}, then {stage}")
        if self.told.get(ref) not in ("done", "withdrawn"):
            self.told[ref] = stage
        elif stage in ("done", "withdrawn") and stage != self.told[ref]:
            self.say(f"went_back {ref}: {self.told[ref]} and {stage}")
        if stage == "withdrawn":
            if not self.world.asked_cancel.get(ref):
                self.say(f"went_back {ref}: nobody cancelled it")
            self.cancelled_at.setdefault(ref, self.world.loop.time())
        if self.world.jobs[ref]["Shape"] == "service" and (stage == "done" or body["done"]):
            self.say(f"service done {ref}: {body}")
        if stage == "done":
            pieces = self.world.jobs[ref]["Pieces"]
            if any(f"{ref}/{i}" not in self.results for i in range(pieces)):
                self.say(f"not_done {ref}")
