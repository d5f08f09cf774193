"""Finds actions of holders that were replaced, in what the fakes have accepted.

It reads what was written and asked for, not the preconditions: the writer's authority is the
fencing token in its record, compared with the grant of that moment.
"""

from typing import TYPE_CHECKING, Any

from tests.fakes.replies import key_of

if TYPE_CHECKING:
    from tests.fakes.cloud import FakeCloud
    from tests.fakes.store import FakeKeyValueStore

GRANTS = ("c/duty/", "c/block/")


class DutyChecker:
    """Watches the key-value store's transactions and the cloud's calls."""

    def __init__(self, store: "FakeKeyValueStore", cloud: "FakeCloud") -> None:
        self.store = store
        self.stale: list[str] = []  # what was accepted from a stale holder
        self.requested: dict[str, dict[str, Any]] = {}  # every request that was ever recorded
        self.to_return: set[str] = set()  # every machine that was ever recorded as to go
        self.actions = 0
        self.repeats = 0  # calls for what was carried out already
        store.on_accept = self.check_transaction
        cloud.on_accept = self.check_cloud_call

    def add_stale_action(self, text: str) -> None:
        """Note an action that only a stale holder can have made."""
        self.stale.append(f"{self.store.loop.time():.2f} {text}")

    @property
    def granted(self) -> bool:
        """Are duties granted on their own? Else the shard leaders carry them out."""
        keys = self.store.keys
        members = [keys[key][0] for key in keys if key.startswith("c/member/")]
        return bool(members) and min(m.get("version", 0) for m in members) >= 2

    def tokens(self, *prefixes: str) -> set[int]:
        """The fencing tokens of all current grants."""
        return {
            value["baton"]
            for key, (value, _, _) in self.store.keys.items()
            if key.startswith(prefixes) and value["name"]
        }

    def check_transaction(self, changes: list[dict[str, Any]]) -> None:
        """A transaction whose preconditions hold is about to be carried out."""
        history_puts = [c["Put"] for c in changes if c.get("Put", "").startswith("history/")]
        for change in changes:
            key = key_of(change)
            if key.startswith("history/"):
                self._check_event(key, change["V"])
            elif key.startswith("hire/"):
                self._check_rental(key, change.get("V"), history_puts)
            elif key.startswith("return/"):
                self._check_return(key, change.get("V"), history_puts)
            elif key.startswith("mach/") and "Drop" in change and self.granted:
                self._require(key[len("mach/") :] in self.to_return, f"record dropped: {key}")

    def _require(self, holds: bool, text: str) -> None:
        self.actions += 1
        if not holds:
            self.add_stale_action(text)

    def _check_event(self, key: str, page: dict[str, Any]) -> None:
        duty = key.split("/")[1]
        last = page["events"][-1]
        grant = self.store.keys.get(f"c/duty/{duty}", ({}, 0, None))[0]
        held = grant.get("baton") == last["token"] and grant.get("name") == last["holder"]
        self._require(held, f"{duty}: {last['action']} {last.get('about')} under {last['token']}")

    def _check_rental(
        self, key: str, value: dict[str, Any] | None, history_puts: list[str]
    ) -> None:
        name = key[len("hire/") :]
        before = self.store.keys.get(key)
        if value is not None and before is None:
            self.requested[name] = value
            if name.startswith("h-"):
                rightful = int(name.split("-")[1]) in self.tokens("c/block/")
                self._require(rightful, f"requested by a stale shard leader: {name}")
        elif self.granted and not name.startswith("a-"):
            self._require(bool(history_puts), f"settled without a duty: {name}")

    def _check_return(
        self, key: str, value: dict[str, Any] | None, history_puts: list[str]
    ) -> None:
        if value is None:
            if self.granted:
                self._require(bool(history_puts), f"settled without a duty: {key}")
        elif key not in self.store.keys:
            self.to_return.update(value["names"])
            self._require(value["token"] in self.tokens(*GRANTS), f"stale decision: {key}")

    def check_cloud_call(self, path: str, body: dict[str, Any]) -> None:
        """The cloud is about to carry out a call."""
        if path == "/machines/delete":
            for name in body["Anvils"] if self.granted else ():
                self._require(name in self.to_return, f"deleted without a record: {name}")
            return
        recorded = self.requested.get(body["Hire"])
        self._require(recorded is not None, f"rented without a record: {body['Hire']}")
        if recorded is not None:
            same = recorded["number"] == body["Number"] and recorded["kind"] == body["Grade"]
            self._require(same, f"rented other than recorded: {body['Hire']}")
        self.repeats += f"hire/{body['Hire']}" not in self.store.keys
