"""Which versions of this program may run side by side, and what depends on it.

A controller stores the version of its records in its member key. Versions without services store
none, which reads as 0. Whatever a controller does for the cluster depends on its session lease, and
so on that key: a controller whose key is gone leads nothing and holds nothing, whatever its
version.

A service is accepted only while no member key has an older version, in a transaction with the
member keys of all controllers as preconditions. Its record can't be decoded by a version that would
take it for an array. If a controller of such a version joins later and is granted the shard, it
fails to load the shard, and releases it to a controller that can load it.

Duties are granted separately only while no member key has a version without them. While there is an
older member the shard leaders perform them, as older versions do. Open intents of the duty holders
stay recorded, and are executed by whichever controller may do so then.

Once no controller of version 0 is left anywhere, `services_allowed`, the preconditions on other
members' keys in `api/users`, and the empty field of chunk rows in `result_rows` can be removed.
`member_preconditions` stays, since the leader's grants need it.
"""

from collections.abc import Iterable

from basaltlead.core.cluster_view import ClusterView, member_key
from basaltlead.wire.store import Precondition

SERVICES_VERSION = 1  # the first version with services
DUTIES_VERSION = 2  # the first version with duties that are granted separately
CURRENT_VERSION = DUTIES_VERSION


def record_version(duties: bool) -> int:
    """The version for the member key. A controller with duties disabled leaves them to the shard
    leaders, as versions without duties do, so it stores `SERVICES_VERSION`."""
    return CURRENT_VERSION if duties else SERVICES_VERSION


def duties_allowed(cluster: ClusterView) -> bool:
    """Whether duties may be granted separately, as far as known. While there is a member without
    support for them they stay with the shard leaders: that member would neither read intents nor
    leave them alone."""
    return _all_members_support(cluster, DUTIES_VERSION)


def _all_members_support(cluster: ClusterView, version: int) -> bool:
    versions = [member.value.version for member in cluster.members.values()]
    return bool(versions) and min(versions) >= version


def services_allowed(cluster: ClusterView) -> bool:
    """Whether services may be accepted, as far as known: only if every member can read them."""
    return _all_members_support(cluster, SERVICES_VERSION)


def member_preconditions(cluster: ClusterView, names: Iterable[str]) -> list[Precondition]:
    """Preconditions that the member keys are still those of the view: the transaction fails if a
    member of another version has joined since."""
    return [Precondition(member_key(name), cluster.member_version(name)) for name in names]
