"""Which versions of this program may be at work side by side, and what depends on it.

A controller names the version of its records in its member key. Controllers from before services
name none, which reads as 0. The cluster's version stands under a key of its own, which the leader
raises once the member keys of all configured controllers name at least that version: from then on
no process is older, unless somebody goes back by hand. It is never lowered.

Until then nothing is stored that an older controller can't read. From then on a service may be
accepted. Its record can't be read by one that would take it for an array: such a process, should
it come back after all and get the block, fails to load it and hands it back, to one that can.

Once no controller of version 0 is left anywhere, `services_allowed` and the cluster's version can
go, and so can the chunk rows' empty field in `result_rows`.
"""

from collections.abc import Iterable

from basaltlead.core.leadership import Cluster, ClusterVersion

SERVICES = 1  # the version that knows services
CURRENT = SERVICES


def services_allowed(cluster: Cluster) -> bool:
    """May services be accepted? A view that is behind says no."""
    return cluster.version is not None and cluster.version[0].least >= SERVICES


def due(cluster: Cluster, names: Iterable[str]) -> bool:
    """Is it time to raise the cluster's version, given the names of all its controllers?"""
    least = cluster.version[0].least if cluster.version is not None else 0
    return least < CURRENT and all(
        name in cluster.members and cluster.members[name][0].version >= CURRENT for name in names
    )


def raised() -> ClusterVersion:
    """What is stored once all controllers are of the present version."""
    return ClusterVersion(CURRENT)
