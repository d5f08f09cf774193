"""A service that is bound to a zone never runs again after that zone was cut off for longer than
`lease_s`."""

import asyncio
from pathlib import Path

from review.world.case import EXTRA_S, NotRun, run, trouble
from review.world.deployment import NODES, Deployment
from review.world.grades import GRADES, YARDS

REPLICAS = 3
# One replica for each lug-small.
REPLICA = {"Shape": "service", "Cores": 1.0, "MemoryGb": 30.0, "GuessS": 0.0, "Rank": "production"}
CUT_S = 15.0
END_S = 114.0 + EXTRA_S


async def case() -> bool:
    """Cut the zone of a service off, connect it again, and see whether its replicas come back."""
    record = Path(__file__).with_name("record.txt")
    async with Deployment(record, GRADES, YARDS) as deployment:
        if not await deployment.ready():
            raise NotRun("the controllers are not healthy")
        other = deployment.job(1, Pieces=1, Yard=YARDS[0], **REPLICA)
        await deployment.submit(other)
        if not await deployment.wait(lambda: bool(deployment.starts), 30.0):
            raise NotRun("the first service does not run")
        # A zone without the controller that leads, and without the first service.
        yard = next(y for y in YARDS[1:] if y != deployment.home[deployment.foreman])
        user_node = next(n for n in NODES if deployment.home[n] != yard)
        service = deployment.job(2, Pieces=REPLICAS, Yard=yard, **REPLICA)
        if await deployment.submit(service, user_node) != 201:
            raise NotRun("the service is not accepted")
        if not await deployment.wait(lambda: deployment.count(service) == REPLICAS, 30.0):
            raise NotRun("the service does not run")
        await asyncio.sleep(3.0)
        if trouble():
            deployment.cut_yard(yard)
            await asyncio.sleep(CUT_S)
            deployment.heal_yard(yard)
        healed_at = deployment.now()
        await deployment.wait_for_stage(service["Ref"], "none", END_S)
        running = deployment.count(service)
        waited_s = deployment.now() - healed_at
        deployment.note(f"{running} of {REPLICAS} replicas, {waited_s:.0f} s after the cut's end")
        return running > 0


run(case)
