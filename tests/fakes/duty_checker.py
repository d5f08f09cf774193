"""Finds actions of replaced duty holders among the writes and calls that the fakes have accepted.

It ignores the preconditions of a transaction. Instead, it compares the fencing token in the record
with the grant that is in force at that moment.
"""

from typing import Any

from tests.fakes.cloud import FakeCloud
from tests.fakes.replies import key_of
from tests.fakes.store import FakeKeyValueStore

GRANT_PREFIXES = ("c/duty/", "c/block/")
MEMBER_PREFIX = "c/member/"
HISTORY_PREFIX, SCALE_OUT_PREFIX, SCALE_IN_PREFIX, MACHINE_PREFIX = (
    "history/",
    "hire/",
    "return/",
    "mach/",
)
ADOPTED_REQUEST_PREFIX = "a-"  # of the scale-out records that the reclaim duty writes
SHARD_REQUEST_PREFIX = "h-"  # of those that a shard leader writes; its fencing token follows
MIN_DUTIES_VERSION = 2  # duties have grants of their own once all members have this version


class DutyChecker:
    """Checks each transaction that the key-value store accepts and each call to the cloud."""

    def __init__(self, store: FakeKeyValueStore, cloud: FakeCloud) -> None:
        self.store = store
        self.violations: list[str] = []  # accepted actions that should have been refused
        self.requested: dict[str, dict[str, Any]] = {}  # all scale-out requests ever recorded
        self.to_return: set[str] = set()  # all machines ever recorded as to be returned
        self.checked_actions = 0
        self.repeated_calls = 0  # calls for scale-outs that were carried out already
        store.on_accept = self.check_transaction
        cloud.on_accept = self.check_cloud_call

    @property
    def duties_granted(self) -> bool:
        """Whether duties have grants of their own; otherwise the shard leaders carry them out."""
        keys = self.store.keys
        members = [keys[key][0] for key in keys if key.startswith(MEMBER_PREFIX)]
        return bool(members) and min(m.get("version", 0) for m in members) >= MIN_DUTIES_VERSION

    def tokens(self, *prefixes: str) -> set[int]:
        """Return the fencing tokens of all current grants with these key prefixes."""
        return {
            value["baton"]
            for key, (value, _, _) in self.store.keys.items()
            if key.startswith(prefixes) and value["name"]
        }

    def check_transaction(self, changes: list[dict[str, Any]]) -> None:
        """Check a transaction whose preconditions hold, before it is applied."""
        has_event = any(change.get("Put", "").startswith(HISTORY_PREFIX) for change in changes)
        for change in changes:
            key = key_of(change)
            if key.startswith(HISTORY_PREFIX):
                self._check_event(key, change["V"])
            elif key.startswith(SCALE_OUT_PREFIX):
                self._check_scale_out(key, change.get("V"), has_event)
            elif key.startswith(SCALE_IN_PREFIX):
                self._check_scale_in(key, change.get("V"), has_event)
            elif key.startswith(MACHINE_PREFIX) and "Drop" in change and self.duties_granted:
                self._check(key[len(MACHINE_PREFIX) :] in self.to_return, f"record dropped: {key}")

    def _check(self, holds: bool, text: str) -> None:
        self.checked_actions += 1
        if not holds:
            self.violations.append(f"{self.store.loop.time():.2f} {text}")

    def _check_event(self, key: str, page: dict[str, Any]) -> None:
        duty = key.split("/")[1]
        event = page["events"][-1]
        grant = self.store.keys.get(f"c/duty/{duty}", ({}, 0, None))[0]
        is_holder = grant.get("baton") == event["token"] and grant.get("name") == event["holder"]
        self._check(
            is_holder, f"{duty}: {event['action']} {event.get('about')} under {event['token']}"
        )

    def _check_scale_out(self, key: str, value: dict[str, Any] | None, has_event: bool) -> None:
        name = key[len(SCALE_OUT_PREFIX) :]
        previous = self.store.keys.get(key)
        if value is not None and previous is None:
            self.requested[name] = value
            if name.startswith(SHARD_REQUEST_PREFIX):
                is_current = int(name.split("-")[1]) in self.tokens("c/block/")
                self._check(is_current, f"requested by a stale shard leader: {name}")
        elif self.duties_granted and not name.startswith(ADOPTED_REQUEST_PREFIX):
            self._check(has_event, f"settled without a history event: {name}")

    def _check_scale_in(self, key: str, value: dict[str, Any] | None, has_event: bool) -> None:
        if value is None:
            if self.duties_granted:
                self._check(has_event, f"settled without a history event: {key}")
        elif key not in self.store.keys:
            self.to_return.update(value["names"])
            self._check(value["token"] in self.tokens(*GRANT_PREFIXES), f"stale decision: {key}")

    def check_cloud_call(self, path: str, body: dict[str, Any]) -> None:
        """Check a call before the cloud carries it out."""
        if path == "/machines/delete":
            for name in body["Anvils"] if self.duties_granted else ():
                self._check(name in self.to_return, f"deleted without a record: {name}")
            return
        name = body["Hire"]
        recorded = self.requested.get(name)
        self._check(recorded is not None, f"rented without a record: {name}")
        if recorded is not None:
            matches = recorded["number"] == body["Number"] and recorded["kind"] == body["Grade"]
            self._check(matches, f"rented other than recorded: {name}")
        self.repeated_calls += f"{SCALE_OUT_PREFIX}{name}" not in self.store.keys
