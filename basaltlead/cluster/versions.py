"""Which versions of this program may run side by side, and what depends on it.

A controller names the version of its records in its member key. Controllers from before services
name none, which reads as 0. Whatever a controller does for the others depends on its session lease,
and so on that key: one whose key is gone leads nothing and holds nothing, whatever its version.

So a service is accepted while no member key names an older version, in a transaction that has the
member keys of all controllers as preconditions. Its record can't be read by a version that would
take it for an array. Should such a controller join later and get the shard, it fails to load it and
hands it back, to one that can.

Duties are granted to holders of their own while no member key names a version that does not know
them. Beside an older member the shard leaders carry them out, as they did before; intents that the
holders had recorded and not carried out stay recorded, and are carried out by whoever may.

Once no controller of version 0 is left anywhere, `services_allowed` and `member_preconditions` can
go, and so can the chunk rows' empty field in `result_rows`.
"""

from collections.abc import Iterable

from basaltlead.core.cluster_view import ClusterView, member_key
from basaltlead.wire.store import Precondition

SERVICES_VERSION = 1  # the version that knows services
DUTIES_VERSION = 2  # the version whose duties are granted on their own
CURRENT_VERSION = DUTIES_VERSION


def record_version(duties: bool) -> int:
    """The version that a member key names. A controller on which duties are switched off leaves
    them to the shard leaders, like one from before duties, and so names that one's version."""
    return CURRENT_VERSION if duties else SERVICES_VERSION


def duties_allowed(cluster: ClusterView) -> bool:
    """Whether duties may be granted on their own, as far as known. Beside a member that does not
    know them they stay with the shard leaders: it would neither read an intent nor leave it
    alone."""
    return _all_members_support(cluster, DUTIES_VERSION)


def _all_members_support(cluster: ClusterView, version: int) -> bool:
    versions = [member.value.version for member in cluster.members.values()]
    return bool(versions) and min(versions) >= version


def services_allowed(cluster: ClusterView) -> bool:
    """Whether services may be accepted, as far as known: not alongside a member that can't read
    them."""
    return _all_members_support(cluster, SERVICES_VERSION)


def member_preconditions(cluster: ClusterView, names: Iterable[str]) -> list[Precondition]:
    """Conditions that the member keys are still those of the view: a member of another version that
    has joined meanwhile makes the transaction fail."""
    return [Precondition(member_key(name), cluster.member_version(name)) for name in names]
