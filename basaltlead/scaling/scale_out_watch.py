"""Following what the holder of the duty of renting does with a shard's scale-out requests."""

import msgspec

from basaltlead.scaling.scale_out_executor import ScaleOutExecutor
from basaltlead.scaling.scale_out_requests import ScaleOutRequests
from basaltlead.shard.context import ShardContext
from basaltlead.storage.records import SCALE_OUT, StoredScaleOut
from basaltlead.storage.watch import follow_rows


class ScaleOutWatch:
    """Takes in changes of the requests' records that others have made.

    Requests that the shard leader carries out itself are left to `ScaleOutExecutor`.
    """

    def __init__(
        self, context: ShardContext, requests: ScaleOutRequests, executor: ScaleOutExecutor
    ) -> None:
        self.context = context
        self.requests = requests
        self.executor = executor

    async def run(self) -> None:
        """Follow the records; never returns."""
        store, watch_ms = self.context.store.client, self.context.membership.watch_ms
        known = [SCALE_OUT + name for name in self.context.intents.scale_outs]
        await follow_rows(store, SCALE_OUT, watch_ms, self._changed, self._dropped, known)

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
        """Take in a request without an outcome; the cloud may have rejected it."""
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
            # The holder of the duty drops an open request only if the cloud has no capacity.
            self.requests.on_no_capacity(name)
            self.requests.remove_pending(name)
        else:
            self.context.intents.scale_outs.pop(name, None)
