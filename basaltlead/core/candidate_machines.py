"""The machines that a plan may start tasks on, grouped to find those that suit a job quickly."""

from collections.abc import Iterable, Sequence

from basaltlead.core.entities import JobState, Machine
from basaltlead.core.jobs import EPS, US, Job, allowed
from basaltlead.core.shard import Shard

# How long a reservation for a gang keeps a waiting job off the reserved machines. Users allow a
# job to wait for 90 s while a machine has room for it.
MAX_RESERVED_WAIT_US = 60 * US

# What makes machines equivalent: type name, zone, spot or not, CPUs. CPUs are part of it since a
# machine whose type was not listed yet when it was first heard of has 0 CPUs, unlike later machines
# of the same type name. A plain tuple for speed, since each plan makes one per machine.
GroupKey = tuple[str, str, bool, float]


def usable_machines(shard: Shard, now: int) -> list[Machine]:
    """The machines on which tasks may be started now.

    A machine that has been silent for half a lease is left out: its lease will probably expire
    soon, and a task started on it would be killed. Pushed commands may still reach it, but they do
    not renew the lease.
    """
    since = now - shard.timing.lease_us // 2
    return [
        machine
        for machine in shard.machines.values()
        if machine.usable(now) and machine.lease.answered_at >= since
    ]


class MachineGroup:
    """Machines that are equivalent for every job: same type, same zone, all spot or all
    on-demand."""

    __slots__ = ("machines", "spot", "with_room", "zone")

    def __init__(self, first: Machine) -> None:
        self.zone = first.zone
        self.spot = first.spot
        self.machines: list[Machine] = []
        self.with_room: list[Machine] = []  # those with CPUs for the smallest waiting task

    def suits(self, job: Job, example: Machine) -> bool:
        """Whether a task of the job may be on these machines, and fits on an empty one.

        `example` is one of the machines. It is passed each time because the cloud may describe a
        type anew under its old name.
        """
        machine_type = example.machine_type
        return allowed(job, machine_type.name, self.zone, self.spot) and bool(
            machine_type.capacity_for(job)
        )


class CandidateMachines:
    """The usable machines of one plan.

    Constraints are checked once per group and not once per machine, which keeps a plan for
    thousands of machines cheap.
    """

    def __init__(self, machines: Sequence[Machine], waiting: Iterable[JobState], now: int) -> None:
        self.zones = {machine.zone for machine in machines}
        self._now = now
        self._reserved: set[str] = set()  # names of machines reserved for a gang
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
        """The machines that the job may use, with or without room."""
        suited: list[Machine] = []
        for group in self._groups:
            if group.suits(job_state.job, group.machines[0]):
                suited += group.machines
        return self._without_reserved_or_avoided(job_state, suited)

    def with_room_for(self, job_state: JobState) -> list[Machine]:
        """The machines that the job may use and that, when the plan began, had CPUs for the
        smallest waiting task."""
        suited: list[Machine] = []
        for group in self._groups:
            if group.with_room and group.suits(job_state.job, group.with_room[0]):
                suited += group.with_room
        return self._without_reserved_or_avoided(job_state, suited)

    def reserve(self, names: Iterable[str]) -> None:
        """Start nothing more on these machines in this plan, since a gang waits for them, but tasks
        of jobs that pass reservations."""
        self._reserved.update(names)

    def passes_reservations(self, job_state: JobState) -> bool:
        """Whether the job has waited for so long that no reservation keeps it waiting.

        Nothing else bounds how long it would: what runs on the reserved machines may end at any
        time or never
        (test_small_job_waits_a_bounded_time_beside_machines_that_never_become_empty).
        """
        return self._now - job_state.progressed_at >= MAX_RESERVED_WAIT_US

    @property
    def has_reservation(self) -> bool:
        """Whether machines are reserved for a gang."""
        return bool(self._reserved)

    def _without_reserved_or_avoided(
        self, job_state: JobState, machines: list[Machine]
    ) -> list[Machine]:
        """These machines, without those that are reserved or that the job avoids for a while."""
        avoided_until = job_state.failure_history.avoided_until
        reserved = set() if self.passes_reservations(job_state) else self._reserved
        if not reserved and not avoided_until:
            return machines
        return [
            machine
            for machine in machines
            if machine.name not in reserved and avoided_until.get(machine.name, 0) <= self._now
        ]
