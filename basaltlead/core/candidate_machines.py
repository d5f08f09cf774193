"""The machines that a plan may start tasks on, grouped so that each job finds its own quickly."""

from collections.abc import Iterable, Sequence

from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import EPS, Job, allowed
from basaltlead.core.shard import Shard

# What makes machines alike: name of the type, zone, spot or not, CPUs. A type that was unknown when
# a machine was first heard of has no CPUs, and is known by the same name later. A plain tuple,
# since each plan makes one for each machine.
GroupKey = tuple[str, str, bool, float]


def usable_machines(shard: Shard, now: int) -> list[Machine]:
    """The machines on which tasks may be started now.

    One that has been silent for half a lease is left out: probably it is about to lose its lease,
    and a new task with the others. Commands that are pushed may reach it, but don't renew the
    lease.
    """
    since = now - shard.timing.lease_us // 2
    return [
        machine
        for machine in shard.machines.values()
        if machine.usable(now) and machine.lease.answered_at >= since
    ]


class MachineGroup:
    """Machines that are alike for every job: of one type, in one zone, spot or not."""

    __slots__ = ("machines", "spot", "with_room", "zone")

    def __init__(self, first: Machine) -> None:
        self.zone = first.zone
        self.spot = first.spot
        self.machines: list[Machine] = []
        self.with_room: list[Machine] = []  # those of them on which any waiting task may fit

    def suits(self, job: Job, example: Machine) -> bool:
        """Whether a task of the job may be on such a machine, and fits on one that is empty. The
        `example` stands for the others: the cloud may describe a type anew under its old name."""
        machine_type = example.machine_type
        return allowed(job, machine_type.name, self.zone, self.spot) and bool(
            machine_type.capacity_for(job)
        )


class CandidateMachines:
    """The usable machines of one plan.

    What makes machines alike is compared once a group, not once a machine. That is what keeps a
    plan for thousands of machines cheap.
    """

    def __init__(self, machines: Sequence[Machine], waiting: Iterable[JobState], now: int) -> None:
        self.zones = {machine.zone for machine in machines}
        self._now = now
        self._reserved: set[str] = set()  # names of machines that are kept free for a gang
        min_cpus = min((job_state.job.cpus for job_state in waiting), default=0.0) - EPS
        groups: dict[GroupKey, MachineGroup] = {}
        for machine in machines:
            machine_type = machine.machine_type
            key: GroupKey = (
                machine_type.name,
                machine.zone,
                machine.spot,
                machine_type.cpus,
            )
            group = groups.get(key)
            if group is None:
                group = groups[key] = MachineGroup(machine)
            group.machines.append(machine)
            if machine.free.cpus >= min_cpus:
                group.with_room.append(machine)
        self._groups = list(groups.values())

    def for_job(self, job_state: JobState) -> list[Machine]:
        """The machines that the job may use, whether or not they have room."""
        suited: list[Machine] = []
        for group in self._groups:
            if group.suits(job_state.job, group.machines[0]):
                suited += group.machines
        return self._open_to(job_state, suited)

    def with_room_for(self, job_state: JobState) -> list[Machine]:
        """Those of the machines that the job may use on which any waiting task may have fitted
        when the plan began."""
        suited: list[Machine] = []
        for group in self._groups:
            if group.with_room and group.suits(job_state.job, group.with_room[0]):
                suited += group.with_room
        return self._open_to(job_state, suited)

    def reserve(self, names: Iterable[str]) -> None:
        """Start nothing more on these machines in this plan: a gang waits for them."""
        self._reserved.update(names)

    @property
    def has_reservation(self) -> bool:
        """Whether machines are reserved for a gang."""
        return bool(self._reserved)

    def _open_to(self, job_state: JobState, machines: list[Machine]) -> list[Machine]:
        """Without those that are reserved, or that the job keeps off since it failed there."""
        failed_on = job_state.history.failed_on
        if not self._reserved and not failed_on:
            return machines
        return [
            machine
            for machine in machines
            if machine.name not in self._reserved and failed_on.get(machine.name, 0) <= self._now
        ]
