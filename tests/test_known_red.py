"""Only the tests that KNOWN-RED.txt lists may fail."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

CONFTEST = Path(__file__).with_name("conftest.py")
FAILING_TESTS = "def test_red():\n    assert False\n\ndef test_other():\n    assert {other}\n"


@pytest.mark.parametrize(
    "text",
    ["tests/a.py::t | cause", "tests/a.py | cause | 1", "a::b |  | 1", "a::b | c | 1\n" * 4],
    ids=["no issue", "no test", "empty cause", "four entries"],
)
def test_malformed_file_is_refused(text: str) -> None:
    with pytest.raises(known_red.MalformedFile):
        known_red.parse(text)


@pytest.mark.parametrize(
    ("listed", "other", "status"),
    [
        ("tests/test_some.py::test_red", True, 0),
        ("tests/test_some.py::test_red", False, 1),
        ("tests/test_some.py::test_gone", True, 4),
        (None, True, 1),
    ],
    ids=["listed one fails", "another fails too", "listed one does not exist", "nothing is listed"],
)
def test_only_listed_tests_may_fail(
    listed: str | None, other: bool, status: int, tmp_path: Path
) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()

    for name in ("conftest.py", "known_red.py", "__init__.py"):
        (tests / name).write_text(CONFTEST.with_name(name).read_text())
    (tests / "test_some.py").write_text(FAILING_TESTS.format(other=other))
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(f"# list\n{listed} | a cause | 7\n")
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "tests"]
    result = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    assert result.returncode == status, result.stdout + result.stderr
    if status == 0:
        assert f"{listed}: known to fail: a cause (7)" in result.stdout
