"""Gangs are placed whole: every task finds its machine, or none is started."""

from collections.abc import Sequence

from basaltlead.core.entities import JobState, Machine
from basaltlead.core.placement import Ranking, zones_open


def place(job_state: JobState, machines: Sequence[Machine]) -> list[Machine] | None:
    """A machine for each task of the gang, or None."""
    job = job_state.job
    zones = {machine.zone for machine in machines}
    open_zones = sorted(zones_open(job_state, zones))
    # A gang in one zone tries them one by one; otherwise all zones together.
    for tried in [{zone} for zone in open_zones] if job.one_zone else [set(open_zones)]:
        usable = [m for m in machines if m.zone in tried]
        if sum(m.free.holds(job) for m in usable) < job.tasks:
            continue
        trial = {m.name: m.free.copy() for m in usable}
        ranking = Ranking(job, usable, trial)
        held = dict.fromkeys(tried, 0)
        chosen: list[Machine] = []
        for _ in range(job.tasks):
            machine = ranking.best({zone for zone in tried if held[zone] < job.zone_cap})
            if machine is None:
                break
            trial[machine.name].take(job)
            held[machine.zone] += 1
            chosen.append(machine)
            ranking.again(machine)
        if len(chosen) == job.tasks:
            return chosen
    return None
