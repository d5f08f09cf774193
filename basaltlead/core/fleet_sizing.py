"""What to rent and what to return: packs the wanted tasks onto the cheapest machines first."""

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import MachineType
from basaltlead.core.offers import Offer, RentableOffers
from basaltlead.core.packing import Packing
from basaltlead.core.rental_choice import RentalChoice
from basaltlead.core.task_demand import TaskDemand, WarmSpare


class FleetPlan(Struct):
    """What to rent, and which of the rented machines are needed."""

    rentals: list[Offer]
    needed: set[str]  # names of the needed machines


def plan_fleet(
    needs: Sequence[TaskDemand],
    spares: Sequence[WarmSpare],
    machines: Iterable[Machine],
    machine_types: Mapping[str, MachineType],
    offers: RentableOffers,
    max_rentals: int,
) -> FleetPlan:
    """Pack the wanted tasks onto the present machines, highest rank first, and rent machines for
    the rest.

    Tasks that are on a machine stay there unless a higher rank takes their place; then they are
    placed like waiting tasks.
    """
    jobs = [*(need.job_state.job for need in needs), *(spare.job for spare in spares)]
    run_us = {need.job_state.job.ref: need.run_us for need in needs}
    rental_choice = RentalChoice(machine_types, offers, run_us, max_rentals)
    packing = Packing(machines, rental_choice, min((job.cpus for job in jobs), default=0.0))
    for rank in sorted({job.rank for job in jobs}, reverse=True):
        packing.place_tasks([need for need in needs if need.job_state.job.rank == rank])
        packing.place_spares([spare for spare in spares if spare.job.rank == rank])
    return FleetPlan(rental_choice.rentals, packing.needed())
