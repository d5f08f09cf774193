"""What is rented for what waits."""

from basaltlead.core import fleet_sizing
from basaltlead.core.fleet_sizing import Demand
from basaltlead.core.jobs import US
from basaltlead.core.offers import Offer
from tests.fakes import World
from tests.simulation import Loop, play
from tests.test_shard import KIND, Story, a_job

BOTH: dict[Offer, int | None] = {Offer("k", "a", True): None, Offer("k", "a", False): None}


def _hired(drain_us: float, offers: dict[Offer, int | None]) -> list[bool]:
    """Whether spot or ordinary, what is hired for a job of 40 tasks while all that is rented
    would need so long for what waits."""
    story = Story(machines=0)
    job_state = story.shard.add_job(a_job(tasks=40), 200, story.now)
    needs = [Demand(job_state, 40, drain_us)]
    return [
        offer.spot
        for offer in fleet_sizing.plan_fleet(needs, [], [], {"k": KIND}, offers, 12).rentals
    ]


def test_spot_machines_are_hired_early_and_ordinary_ones_for_lasting_backlogs() -> None:
    assert KIND.boot_us == 5 * US
    assert _hired(2 * US, BOTH) == []  # done before any comes up
    assert _hired(5 * US, BOTH) == [True] * 10
    two_spots = BOTH | {Offer("k", "a", True): 2}
    assert _hired(5 * US, two_spots) == [True] * 2
    assert _hired(60 * US, two_spots) == [True] * 2 + [False] * 8


def test_machines_are_returned_although_direct_orders_were_never_answered() -> None:
    async def story(loop: Loop) -> None:
        world = World(loop)
        await world.start()
        await world.submit(world.job(1, Pieces=3, RunS=12.0))
        await world.until(lambda: len(world.on("req-000001")) == 3)
        for machine in world.cloud.machines.values():
            machine.answers_lost = True
        await world.submit(world.job(2, Pieces=3, RunS=3.0))
        await world.until_done("req-000001", "req-000002")
        await world.until(lambda: not world.cloud.machines, seconds=150.0)
        world.verdict()

    play(story)
