"""A job whose task needs a larger machine than those that are rented is never given one, as long
as these have free CPUs."""

from pathlib import Path

from review.world.case import EXTRA_S, NotRun, run, trouble
from review.world.deployment import Deployment
from review.world.grades import GRADES, YARDS

REPLICAS = 6
# One replica for each lug-small, whose other 3 CPUs stay free.
REPLICA = {"Cores": 1.0, "MemoryGb": 30.0, "GuessS": 0.0, "Rank": "production"}
TASK = {"Cores": 30.0, "MemoryGb": 100.0, "GuessS": 10.0, "RunS": 10.0}  # fits a hoist-big alone
WAIT_S = 112.0 + EXTRA_S


async def case() -> bool:
    """Run a service on small machines, and then submit the job."""
    record = Path(__file__).with_name("record.txt")
    async with Deployment(record, GRADES, YARDS) as deployment:
        if not await deployment.ready():
            raise NotRun("the controllers are not healthy")
        if trouble():
            service = deployment.job(1, Shape="service", Pieces=REPLICAS, **REPLICA)
            if await deployment.submit(service) != 201:
                raise NotRun("the service is not accepted")
            if not await deployment.wait(lambda: len(deployment.starts) >= REPLICAS, 30.0):
                raise NotRun("the service does not run")
        began_at = deployment.now()
        job = deployment.job(2, Crew="yard-crew", **TASK)
        if await deployment.submit(job) != 201:
            raise NotRun("the job is not accepted")
        done_at = await deployment.wait_for_stage(job["Ref"], "done", WAIT_S)
        asked = [hire for hire in deployment.cloud.hires if hire]
        rented = [machine.offer for machine in deployment.cloud.machines.values()]
        waited_s = (done_at or deployment.now()) - began_at
        deployment.note(f"job {'not ' * (done_at is None)}done after {waited_s:.0f} s")
        deployment.note(f"{len(asked)} rentals granted; machines at the end: {rented}")
        return done_at is not None


run(case)
