"""Late copies of start commands, which reach a machine once more after they were carried out."""

import pytest

from basaltlead.shard.command_log import log_forgotten_attempts
from tests.builders import ShardHarness, task_status


def test_log_tells_which_starts_were_pushed_before_a_machine_is_told_to_forget_them(
    caplog: pytest.LogCaptureFixture,
) -> None:
    harness = ShardHarness()
    machine = harness.shard.machines["m-0"]
    attempt = harness.attempt(harness.submit())
    machine.pushed_starts.add([attempt.attempt_key], harness.now)
    attempt.stage = "running"
    harness.now += 2_000_000
    heartbeat = harness.make_heartbeat("m-0", task_status(attempt, "ended", "error"))
    commands = harness.shard.heartbeat(heartbeat, harness.now) or []

    with caplog.at_level("INFO", "basaltlead"):
        log_forgotten_attempts(machine, commands, 7, 8, harness.now)
        log_forgotten_attempts(machine, commands, 8, 8, harness.now)

    name = f"req-000001/0 attempt {attempt.attempt_number}"
    assert caplog.messages == [
        f"machine m-0 told to forget 1 ({name}): epoch 1, fencing token 7 shown, 8 sent; "
        f"1 ({name}) pushed since the last such line, 2.0 s ago",
        f"machine m-0 told to forget 1 ({name}): epoch 1, fencing token 8 shown, 8 sent; "
        "no starts pushed since the last such line",
    ]
