"""Rejects submissions that can never run."""

from collections.abc import Mapping

from basaltlead.core.jobs import EPS, Job, MachineType
from basaltlead.core.teams import TeamQuota
from basaltlead.storage.records import job_of
from basaltlead.wire.users import Submission


class AdmissionCheck:
    """Checks a submission against the machine types and the quota of its team."""

    def __init__(
        self, quotas: Mapping[str, TeamQuota], machine_types: Mapping[str, MachineType]
    ) -> None:
        self.quotas = quotas
        self.machine_types = machine_types

    def rejection_reason(self, submission: Submission) -> str:
        """Return why the job can never run, in words for its user; empty if it can run."""
        quota = self.quotas.get(submission.team)
        if quota is None:
            return "unknown team"
        job = job_of(submission)
        zones = self._fitting_zones(job)
        if not zones:
            return "a task fits no allowed machine type"
        zone_count = 1 if job.one_zone else len(zones)
        if job.min_concurrent_tasks > job.zone_cap * zone_count:
            return "tasks that may not be where they must be"
        cpus, gpus = job.cpus * job.min_concurrent_tasks, job.gpus * job.min_concurrent_tasks
        if (quota.cpus_max and cpus > quota.cpus_max + EPS) or (
            quota.gpus_max and gpus > quota.gpus_max + EPS
        ):
            return "more than the team's limit"
        return ""

    def _fitting_zones(self, job: Job) -> set[str]:
        return {
            zone
            for machine_type in self.machine_types.values()
            if machine_type.capacity_for(job)
            and (job.types is None or machine_type.name in job.types)
            for zone in machine_type.zones
            if job.zone in (None, zone)
        }
