"""Watches a shard's scale-out records for changes by the holder of the rent duty."""

import msgspec

from basaltlead.scaling.scale_out_executor import ScaleOutExecutor
from basaltlead.scaling.scale_out_requests import ScaleOutRequests
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.storage.watch import follow_rows


class ScaleOutWatch:
    """Applies changes that other controllers make to the records of the requests.

    Requests that the shard leader executes itself are handled by `ScaleOutExecutor`.
    """

    def __init__(
        self, context: ShardContext, requests: ScaleOutRequests, executor: ScaleOutExecutor
    ) -> None:
        self.context = context
        self.requests = requests
        self.executor = executor

    async def run(self) -> None:
        """Watch the records; never returns."""
        store, watch_timeout_ms = (
            self.context.store.client,
            self.context.membership.watch_timeout_ms,
        )
        await follow_rows(
            store, SCALE_OUT, watch_timeout_ms, self._changed, self._dropped, self._known_keys
        )

    def _known_keys(self) -> list[str]:
        return [SCALE_OUT + name for name in self.context.intents.scale_outs]

    def _changed(self, key: str, raw: msgspec.Raw, version: int) -> None:
        name = key[len(SCALE_OUT) :]
        stored = msgspec.json.decode(raw, type=StoredScaleOut)
        if stored.shard != self.context.number or name in self.executor.running:
            return
        self.requests.note_version(name, version)
        if stored.names is None:
            self._open(name, stored)
            return
        known = self.context.intents.scale_outs.get(name)
        if known is None or known.names is None:
            self.requests.on_rented(name, stored)
            self.requests.remove_pending(name)
            self.context.wake.set()

    def _open(self, name: str, stored: StoredScaleOut) -> None:
        """Handle a request without an outcome, which the cloud may have rejected."""
        self.context.intents.scale_outs[name] = stored
        if stored.refused is not msgspec.UNSET:
            self.requests.remove_pending(name)
        elif name not in self.requests.pending:
            self.requests.add_pending(name, stored)

    def _dropped(self, key: str) -> None:
        name = key[len(SCALE_OUT) :]
        if name in self.executor.running:
            return
        self.context.store.versions.pop(key, None)
        stored = self.context.intents.scale_outs.get(name)
        if stored is not None and stored.names is None:
            # The holder of the rent duty deletes an open request only if there is no capacity.
            self.requests.on_no_capacity(name)
            self.requests.remove_pending(name)
        else:
            self.context.intents.scale_outs.pop(name, None)
