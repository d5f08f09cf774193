"""A gang of two never starts if one of its machines has the image already and the other needs
longer for it than `gang_wait_s`."""

from pathlib import Path

from review.world.case import EXTRA_S, NotRun, run, trouble
from review.world.deployment import Deployment
from review.world.grades import YARDS, grade

GANG_WAIT_S = 20.0
IMAGE_GB = 10.0  # 25 s at 0.4 GB a second
TASK = {"Cores": 30.0, "MemoryGb": 100.0, "Mould": "img-sync", "PullGb": IMAGE_GB}
MACHINE = grade("hoist-big", 32.0, 128.0)  # has room for one task
WAIT_S = 110.0 + EXTRA_S


async def case() -> bool:
    """Leave the image on one machine, and then submit the gang."""
    record = Path(__file__).with_name("record.txt")
    workers = {"gang_wait_s": GANG_WAIT_S}
    async with Deployment(record, [MACHINE], YARDS, workers=workers) as deployment:
        if not await deployment.ready():
            raise NotRun("the controllers are not healthy")
        if trouble():
            first = deployment.job(1, **TASK)
            await deployment.submit(first)
            if await deployment.wait_for_stage(first["Ref"], "done", 50.0) is None:
                raise NotRun("the first job is not done")
        began_at = deployment.now()
        gang = deployment.job(2, Shape="group", Pieces=2, **TASK)
        if await deployment.submit(gang) != 201:
            raise NotRun("the gang is not accepted")
        done_at = await deployment.wait_for_stage(gang["Ref"], "done", WAIT_S)
        tries = {task for _, task, _ in deployment.starts if task.startswith(gang["Ref"])}
        if not tries:
            raise NotRun("no task of the gang came onto a machine")
        waited_s = (done_at or deployment.now()) - began_at
        deployment.note(f"gang {'not ' * (done_at is None)}done after {waited_s:.0f} s")
        return done_at is not None


run(case)
