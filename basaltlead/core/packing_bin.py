"""A machine, rented or to be rented, in a pass of fleet sizing."""

from basaltlead.core.entities import Machine
from basaltlead.core.jobs import Job, MachineType, Resources
from basaltlead.core.offers import Offer


class PackingBin:
    """A machine, rented or to be rented, that is being filled."""

    __slots__ = ("machine", "machine_type", "offer", "room", "used", "zone")

    def __init__(self, machine_type: MachineType, offer: Offer, machine: Machine | None) -> None:
        self.machine_type = machine_type
        self.offer = offer
        self.zone = offer.zone
        self.machine = machine
        self.room = Resources.of(machine_type)
        self.used = 0

    def is_one_of(self, machines: frozenset[str]) -> bool:
        """Whether it is one of these machines, given by name."""
        return self.machine is not None and self.machine.name in machines

    def image_count(self, wanted: frozenset[str]) -> int:
        """How many of these images are on the machine; 0 if it is to be rented."""
        return 0 if self.machine is None else len(wanted & self.machine.images.keys())

    def take(self, job: Job, count: int) -> None:
        """Place this many tasks of a job here."""
        self.room.take(job, count)
        self.used += count
