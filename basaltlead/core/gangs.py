"""Gangs are placed whole: every task finds its machine, or none is started."""

from collections.abc import Sequence

from basaltlead.core.model import Machine, Room, Work
from basaltlead.core.placement import choose, zones_open


def place(work: Work, machines: Sequence[Machine], rooms: dict[str, Room]) -> list[Machine] | None:
    """A machine for each task of the gang, or None. `rooms` is left as it was."""
    job = work.job
    zones = sorted({machine.zone for machine in machines})
    open_zones = zones_open(work, zones)
    # A gang in one zone tries them one by one; otherwise all zones together.
    for tried in [{zone} for zone in zones if zone in open_zones] if job.one_zone else [open_zones]:
        trial = {m.name: rooms[m.name].copy() for m in machines if m.zone in tried}
        held: dict[str, int] = {}
        chosen: list[Machine] = []
        usable = [m for m in machines if m.zone in tried]
        for _ in range(job.tasks):
            free = {zone for zone in tried if held.get(zone, 0) < job.zone_cap}
            machine = choose(work, usable, trial, free)
            if machine is None:
                break
            trial[machine.name].take(job)
            held[machine.zone] = held.get(machine.zone, 0) + 1
            chosen.append(machine)
        if len(chosen) == job.tasks:
            return chosen
    return None
