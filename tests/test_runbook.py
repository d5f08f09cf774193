"""docs/operations.md explains each line logged at the levels info and error, and no other lines.

Lines are compared as templates, with an ellipsis in place of each value.
"""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUNBOOK = ROOT / "docs" / "operations.md"
# `_log` is the log function that is passed to a shard. It logs at the level info.
LEVELS = {"info": "I", "error": "E", "exception": "E", "_log": "I"}
PLACEHOLDER = re.compile(r"%[-+#0]*\d*(?:\.\d+)?[sdfr]")
VARIES = "…"


def _template(argument: ast.expr) -> str:
    """Return a log call's first argument, with an ellipsis in place of each value."""
    if isinstance(argument, ast.JoinedStr):
        parts = [
            part.value if isinstance(part, ast.Constant) else VARIES for part in argument.values
        ]
        return "".join(map(str, parts))
    if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
        return PLACEHOLDER.sub(VARIES, argument.value)
    return ""


def _logged() -> set[tuple[str, str]]:
    """Return the level and the template of each logged line, except templates without any words."""
    found = set()
    for path in sorted((ROOT / "basaltlead").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and node.args
                and ast.unparse(node.func).rpartition(".")[0].split(".")[-1] in ("log", "self")
            ):
                template = _template(node.args[0])
                if re.search(r"[a-z]{4}", template):
                    found.add((LEVELS[node.func.attr], template))
    return found


def _explained() -> set[tuple[str, str]]:
    section = RUNBOOK.read_text().partition("## Log lines")[2].partition("\n## ")[0]
    rows = re.findall(r"^\| ([IE]) \| (.*?) \| .+ \| .+ \|$", section, re.MULTILINE)
    return {(level, line) for level, lines in rows for line in re.findall(r"`([^`]+)`", lines)}


def test_each_logged_line_is_explained() -> None:
    assert _logged() - _explained() == set()


def test_each_explained_line_is_logged() -> None:
    assert _explained() - _logged() == set()


def test_lines_are_found() -> None:
    assert len(_logged()) > 30
