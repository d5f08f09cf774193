"""What a shard needs room for: the tasks of its open jobs, and warm spares for jobs to come."""

from basaltlead.core import demand
from basaltlead.core.entities import Machine
from basaltlead.core.fleet_sizing import Demand, WarmSpare
from basaltlead.core.jobs import US, Job, Shape
from basaltlead.core.market import Market
from basaltlead.shard.arrivals import ArrivalHistory, ClassArrivals
from basaltlead.shard.context import ShardContext

ARRIVAL_SPAN_US = 200 * US  # the jobs that came in this time tell how many will come
BOOT_TIME_FACTOR = 1.2  # boots may take so many times what the cloud names


class FleetDemand:
    """Works out what the fleet of a shard is sized for."""

    def __init__(self, context: ShardContext, market: Market, arrivals: ArrivalHistory) -> None:
        self.context = context
        self.market = market
        self.arrivals = arrivals

    def of_open_jobs(self, now: int, expected_machines: list[Machine]) -> list[Demand]:
        """How many tasks of each open job should have room now, highest rank first.

        `expected_machines` are the machines that are up or should be soon. Each job state's `need` is set
        to the result too, for the placement of tasks.
        """
        shard = self.context.shard
        job_states = [
            state
            for state in shard.job_states.values()
            if not state.closed and not state.complete and now >= state.retry_at
        ]
        loads = demand.remaining_cpu_us(job_states, now, shard.guess_us)
        counts = demand.wanted_tasks(
            job_states,
            now,
            self.market.objectives.due,
            shard.guess_us,
            self.shortest_boot_us(),
            loads,
        )
        capacity = demand.RentedCapacity(expected_machines)
        backlog = sum(loads.values())
        needs = []
        for state in sorted(job_states, key=lambda state: (-state.job.rank, state.submitted_at)):
            state.need = counts[state.job.ref]
            need = Demand(state, state.need, run_us=shard.guess_us(state))
            if state.job.shape is Shape.ARRAY:
                need.drain_us = capacity.drain_us(state.job, backlog)
            needs.append(need)
        return needs

    def shortest_boot_us(self) -> int:
        """The boot time of the machine type that boots fastest; 0 while no type is known."""
        return min(
            (machine_type.boot_us for machine_type in self.context.machine_types.values()),
            default=0,
        )

    def warm_spares(self, now: int) -> list[WarmSpare]:
        """Room to keep for the classes whose objective leaves no time for a boot."""
        spares = []
        for job_class, (within_us, *_) in self.market.objectives.starts.items():
            arrivals = self.arrivals.of_class(job_class)
            if arrivals is None:
                continue
            boot_us = self._boot_too_slow_us(arrivals.last_job, within_us)
            if boot_us is None:
                continue
            spare = _warm_spare(arrivals, boot_us, now)
            if spare is not None:
                spares.append(spare)
        return spares

    def _boot_too_slow_us(self, job: Job, within_us: int) -> int | None:
        """The shortest boot of a machine for a job, if a start after it would not be `within_us`.

        None if it would, or if no machine type holds such a task.
        """
        fitting = [t for t in self.context.machine_types.values() if t.holds(job)]
        if not fitting:
            return None
        boot_us = min(t.boot_us for t in fitting)
        fetch_s = min(t.fetch_s(job) for t in fitting)
        return None if boot_us * BOOT_TIME_FACTOR + fetch_s * US <= within_us else boot_us


def _warm_spare(arrivals: ClassArrivals, boot_us: int, now: int) -> WarmSpare | None:
    """Room for as many tasks as arrive during a boot, at least one; None if none came lately."""
    recent = [arrival for arrival in arrivals.recent if now - arrival.at < ARRIVAL_SPAN_US]
    if not recent:
        return None
    tasks = sum(arrival.tasks for arrival in recent) * boot_us / ARRIVAL_SPAN_US
    images = frozenset(arrival.image for arrival in recent)
    return WarmSpare(arrivals.last_job, max(1, round(tasks)), images)
