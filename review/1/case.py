"""Case 1: a job that is cancelled while a new shard leader loads its records keeps running."""

import asyncio
import os
import sys
from pathlib import Path

from review.standins.record import Record
from review.standins.site import BROKEN, HELD, Site, facts, job, kind, play
from review.standins.state import USUAL_LATENCY_S
from review.standins.web import Call

CANCEL_S = 40.25
LEASE_S = 15.25
CUT_AFTER_S = 0.1  # after the new leader asked for its machines
CUT_S = 1.0
SLOW_S = 0.3  # the answer to that request: "occasionally a few hundred" milliseconds
RUN_S = 100.0
REF = "req-000001"

LIMIT_S = 110.0  # a case that takes longer could not run


class Case:
    """The course of events, and the check of the rule."""

    def __init__(self, site: Site, trouble: bool) -> None:
        self.site = site
        self.trouble = trouble
        self.old = ""
        self.loading = asyncio.Event()
        self.new = ""

    async def run(self) -> int:
        """Play the case; return the status for run.sh."""
        site = self.site
        await site.start()
        await site.wait_until(lambda: site.shard_leader() is not None, 10, "a shard leader")
        self.old = str(site.shard_leader())
        await site.submit(self.old, job(1, Pieces=2, GuessS=RUN_S), RUN_S)
        await site.wait_until(lambda: len(site.cloud.tasks_of(REF)) == 2, 30, "both tasks run")
        if self.trouble:
            third = await self.hand_over_and_cut()
        else:
            third = next(name for name in site.nodes if name != self.old)
        told_at = await site.cancel(third, REF)
        return await self.check(told_at)

    async def hand_over_and_cut(self) -> str:
        """Kill the shard leader, and cut off the next one while it loads its records. Returns the
        controller that is not affected."""
        site = self.site
        site.state.latency_s = self.latency_s
        site.kill(self.old)
        async with asyncio.timeout(20):
            await self.loading.wait()
        await asyncio.sleep(CUT_AFTER_S)
        site.cut_from_state_and_peers(self.new, True)
        asyncio.get_running_loop().call_later(CUT_S, site.cut_from_state_and_peers, self.new, False)
        return next(name for name in site.nodes if name not in (self.old, self.new))

    def latency_s(self, node: str, call: Call) -> float:
        """How long an answer of the state service takes. Notes the new shard leader when it reads
        the records of the machines; only its first such read takes long."""
        reads_machines = call.path == "/kv" and call.query.get("Starts") == "mach/"
        if self.new or not reads_machines or node == self.old or node != self.site.shard_leader():
            return USUAL_LATENCY_S
        self.new = node
        self.loading.set()
        return SLOW_S

    async def check(self, told_at: float) -> int:
        """The rule `ran_cancelled`: no task is on a machine, or starts, more than `cancel_s` after
        the user was told."""
        site = self.site
        while site.record.now_s() < told_at + CANCEL_S + 3.0:
            await asyncio.sleep(0.1)
            late_s = site.record.now_s() - told_at - CANCEL_S
            if late_s > 0 and site.cloud.tasks_of(REF):
                await site.user(self.new or self.old, "GET", f"/api/jobs/{REF}")
                site.record.line(
                    f"BROKEN ran_cancelled: {site.cloud.tasks_of(REF)} on machines "
                    f"{late_s + CANCEL_S:.2f} s after the user was told"
                )
                return BROKEN
        site.record.line("held: no task was on a machine after that time")
        return HELD


async def main() -> int:
    """Run the case; return the status for run.sh."""
    record = Record(Path(__file__).parent / "record.txt")
    zones = ["asahikawa", "kushiro", "obihiro"]
    site = Site(record, facts(2.5, LEASE_S, CANCEL_S), [kind("jack-mid", 16, 64, zones)])
    case = Case(site, os.environ.get("TROUBLE", "1") != "0")
    return await play(site, case.run, LIMIT_S)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
