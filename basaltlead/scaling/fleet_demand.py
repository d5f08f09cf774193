"""The capacity that a shard needs: for tasks of open jobs, and warm spares for future jobs."""

from basaltlead.core import demand
from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import US, Job, Shape
from basaltlead.core.market import Market
from basaltlead.core.shard import Shard
from basaltlead.core.task_demand import TaskDemand, WarmSpare
from basaltlead.core.team_limits import TeamAllowances, tasks_to_start
from basaltlead.core.unusable_room import UnusableRoom
from basaltlead.shard.arrivals import ArrivalHistory, ClassArrivals
from basaltlead.shard.context import ShardContext

ARRIVAL_SPAN_US = 200 * US  # the window over which the arrival rate of jobs is measured
BOOT_TIME_FACTOR = 1.2  # the longest expected boot, as a multiple of the boot time the cloud states


class FleetDemand:
    """Computes the demand that the fleet of a shard is sized for."""

    def __init__(self, context: ShardContext, market: Market, arrivals: ArrivalHistory) -> None:
        self.context = context
        self.market = market
        self.arrivals = arrivals

    def of_open_jobs(self, now: int, expected_machines: list[Machine]) -> list[TaskDemand]:
        """The demand of each open job that is not waiting for a retry, highest rank first.

        `expected_machines` are the machines that are up or should be up soon. Also sets `need` of
        each job state, which the placement of tasks reads.
        """
        shard = self.context.shard
        job_states = [
            state
            for state in shard.job_states.values()
            if not state.closed and not state.complete and now >= state.retry_at
        ]
        remaining_cpu_us = demand.remaining_cpu_us(job_states, now, shard.estimated_run_us)
        counts = demand.wanted_tasks(
            job_states,
            now,
            self.market.objectives.due,
            shard.estimated_run_us,
            self.shortest_boot_us(),
            remaining_cpu_us,
        )
        sizing_pass = _SizingPass(shard, expected_machines, remaining_cpu_us, now)
        needs = []
        for state in sorted(job_states, key=lambda state: (-state.job.rank, state.submitted_at)):
            state.need = counts[state.job.ref]
            needs.append(sizing_pass.demand_of(state, state.need))
        return needs

    def shortest_boot_us(self) -> int:
        """The boot time of the fastest machine type in microseconds; 0 while no type is known."""
        return min(
            (machine_type.boot_us for machine_type in self.context.machine_types.values()),
            default=0,
        )

    def warm_spares(self, now: int) -> list[WarmSpare]:
        """The spare capacity for job classes whose objective leaves no time for a machine boot."""
        spares = []
        for job_class, (within_us, *_) in self.market.objectives.start_limits_us.items():
            arrivals = self.arrivals.of_class(job_class)
            if arrivals is None:
                continue
            boot_us = self._boot_us_if_too_slow(arrivals.last_job, within_us)
            if boot_us is None:
                continue
            spare = _warm_spare(arrivals, boot_us, now)
            if spare is not None:
                spares.append(spare)
        return spares

    def _boot_us_if_too_slow(self, job: Job, within_us: int) -> int | None:
        """The shortest boot time for a job, if booting and fetching its image exceed `within_us`.

        None if they don't, or if a task of the job fits on no machine type.
        """
        fitting = [t for t in self.context.machine_types.values() if t.capacity_for(job)]
        if not fitting:
            return None
        boot_us = min(t.boot_us for t in fitting)
        fetch_s = min(t.fetch_s(job) for t in fitting)
        return None if boot_us * BOOT_TIME_FACTOR + fetch_s * US <= within_us else boot_us


class _SizingPass:
    """What one pass of fleet sizing counts for all jobs together."""

    def __init__(
        self,
        shard: Shard,
        expected_machines: list[Machine],
        remaining_cpu_us: dict[str, float],
        now: int,
    ) -> None:
        self._shard = shard
        self._remaining_cpu_us = remaining_cpu_us
        self._backlog = sum(remaining_cpu_us.values())
        self._capacity = demand.RentedCapacity(expected_machines)
        self._allowances = TeamAllowances(shard)
        self._unusable = UnusableRoom(expected_machines, now)

    def demand_of(self, state: JobState, wanted: int) -> TaskDemand:
        """The demand of a job of which `wanted` tasks should run. Jobs come in order of rank."""
        need = TaskDemand(
            state,
            self._allowed(state, wanted),
            run_us=self._shard.estimated_run_us(state),
            no_room_on=self._unusable.by(state),
        )
        if state.job.shape is Shape.ARRAY:
            own_cpu_us = self._remaining_cpu_us[state.job.ref]
            need.backlog_us = self._capacity.backlog_us(state, own_cpu_us, self._backlog)
        return need

    def _allowed(self, state: JobState, wanted: int) -> int:
        """How many of the wanted tasks the limit of the job's team allows."""
        if not self._unusable.has_waited_in_vain(state):
            return self._allowances.take(state, wanted)
        # Its team is below its limit. It takes nothing from others of its team, since it may never
        # find a machine.
        least = len(state.live) + tasks_to_start(state.job)
        return max(least, self._allowances.allowed(state, wanted))


def _warm_spare(arrivals: ClassArrivals, boot_us: int, now: int) -> WarmSpare | None:
    """Capacity for the tasks that arrive during a boot, at least one; None without arrivals."""
    recent = [arrival for arrival in arrivals.recent if now - arrival.at < ARRIVAL_SPAN_US]
    if not recent:
        return None
    tasks = sum(arrival.tasks for arrival in recent) * boot_us / ARRIVAL_SPAN_US
    images = frozenset(arrival.image for arrival in recent)
    return WarmSpare(arrivals.last_job, max(1, round(tasks)), images)
