"""Pytest hooks: the tests listed in KNOWN-RED.txt may fail, and the summary prints them."""

import pytest

from tests import known_red


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; they still run.

    Raises UsageError if a listed test does not exist in a file that was collected whole.
    """
    entries = {entry.test: entry for entry in known_red.read()}
    found = [item for item in items if item.nodeid in entries]
    for item in found:
        entry = entries[item.nodeid]
        item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=False))
    files = {item.nodeid.partition("::")[0] for item in items}
    whole = not config.getoption("keyword") and not any("::" in arg for arg in config.args)
    missing = entries.keys() - {item.nodeid for item in found}
    if whole and any(test.partition("::")[0] in files for test in missing):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(sorted(missing))}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests, and which of them passed and must be removed from the list."""
    entries = known_red.read()
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])}
    terminalreporter.write_line(f"known red: {len(entries)} listed")
    for entry in entries:
        verdict = "passed, take it out" if entry.test in passed else "known to fail"
        terminalreporter.write_line(f"  {entry.test}: {verdict}: {entry.cause} ({entry.issue})")
