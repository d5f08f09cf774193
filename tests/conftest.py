"""Lets exactly the tests that KNOWN-RED.txt lists fail, and prints them."""

import pytest

from tests import known_red


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """A listed test still runs and may fail. One that is not there is an error."""
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
    """Print the list, and which of it passed after all and is to be taken out."""
    entries = known_red.read()
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])}
    terminalreporter.write_line(f"known red: {len(entries)} listed")
    for entry in entries:
        verdict = "passed, take it out" if entry.test in passed else "known to fail"
        terminalreporter.write_line(f"  {entry.test}: {verdict}: {entry.cause} ({entry.issue})")
