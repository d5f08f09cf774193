"""Finds actions of holders that were replaced, in what the stand-ins have accepted.

It reads what was written and asked for, not the guards: what stands for the writer's right is the
fencing token in its record, compared with the grant that stands at that moment.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.fakes.cloud import FakeCloud
    from tests.fakes.store import FakeState

GRANTS = ("c/duty/", "c/block/")


class DutyChecker:
    """Watches the key-value store's transactions and the cloud's calls."""

    def __init__(self, store: "FakeState", cloud: "FakeCloud") -> None:
        self.store = store
        self.stale: list[str] = []  # what was accepted from a stale holder
        self.requested: dict[str, dict[str, Any]] = {}  # every request that was ever recorded
        self.to_return: set[str] = set()  # every machine that was ever recorded as to go
        self.actions = 0
        self.repeats = 0  # calls for what was carried out already
        store.accepting = self.written
        cloud.accepting = self.called

    def say(self, text: str) -> None:
        self.stale.append(f"{self.store.loop.time():.2f} {text}")

    @property
    def granted(self) -> bool:
        """Are duties granted on their own? Else the shard leaders carry them out."""
        keys = self.store.keys
        members = [keys[key][0] for key in keys if key.startswith("c/member/")]
        return bool(members) and min(m.get("version", 0) for m in members) >= 2

    def tokens(self, *prefixes: str) -> set[int]:
        """The fencing tokens of all grants that stand."""
        return {
            value["baton"]
            for key, (value, _, _) in self.store.keys.items()
            if key.startswith(prefixes) and value["name"]
        }

    def written(self, changes: list[dict[str, Any]]) -> None:
        """A transaction whose guards hold is about to be carried out."""
        told = [c["Put"] for c in changes if c.get("Put", "").startswith("history/")]
        for change in changes:
            key = change.get("Put", change.get("Drop"))
            if key.startswith("history/"):
                self._event(key, change["V"])
            elif key.startswith("hire/"):
                self._hire(key, change.get("V"), told)
            elif key.startswith("return/"):
                self._return(key, change.get("V"), told)
            elif key.startswith("mach/") and "Drop" in change and self.granted:
                self._need(key[len("mach/") :] in self.to_return, f"record dropped: {key}")

    def _need(self, holds: bool, text: str) -> None:
        self.actions += 1
        if not holds:
            self.say(text)

    def _event(self, key: str, page: dict[str, Any]) -> None:
        duty = key.split("/")[1]
        last = page["events"][-1]
        grant = self.store.keys.get(f"c/duty/{duty}", ({}, 0, None))[0]
        held = grant.get("baton") == last["token"] and grant.get("name") == last["holder"]
        self._need(held, f"{duty}: {last['action']} {last.get('about')} under {last['token']}")

    def _hire(self, key: str, value: dict[str, Any] | None, told: list[str]) -> None:
        name = key[len("hire/") :]
        before = self.store.keys.get(key)
        if value is not None and before is None:
            self.requested[name] = value
            if name.startswith("h-"):
                rightful = int(name.split("-")[1]) in self.tokens("c/block/")
                self._need(rightful, f"requested by a stale owner: {name}")
        elif self.granted and not name.startswith("a-"):
            self._need(bool(told), f"settled without a duty: {name}")

    def _return(self, key: str, value: dict[str, Any] | None, told: list[str]) -> None:
        if value is None:
            if self.granted:
                self._need(bool(told), f"settled without a duty: {key}")
        elif key not in self.store.keys:
            self.to_return.update(value["names"])
            self._need(value["token"] in self.tokens(*GRANTS), f"stale decision: {key}")

    def called(self, path: str, body: dict[str, Any]) -> None:
        """The cloud is about to carry out a call."""
        if path == "/machines/delete":
            for name in body["Anvils"] if self.granted else ():
                self._need(name in self.to_return, f"deleted without a record: {name}")
            return
        recorded = self.requested.get(body["Hire"])
        self._need(recorded is not None, f"rented without a record: {body['Hire']}")
        if recorded is not None:
            same = recorded["number"] == body["Number"] and recorded["kind"] == body["Grade"]
            self._need(same, f"rented other than recorded: {body['Hire']}")
        self.repeats += f"hire/{body['Hire']}" not in self.store.keys
