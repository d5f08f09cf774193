"""Names of code in the documents exist: files, packages, classes, members, constants and tests.

The checked names are those in backticks, and the tests that comments in the code refer to. Names of
message fields are known if `wire/` defines them, and keys of records if `storage/` uses them.
"""

import ast
import re
from pathlib import Path
from types import ModuleType

import msgspec
import pytest

from basaltlead.config import settings
from basaltlead.wire import cloud, peers, store, users, workers

ROOT = Path(__file__).resolve().parent.parent
DOCUMENTS = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
SOURCES = sorted([*(ROOT / "basaltlead").rglob("*.py"), *(ROOT / "tests").rglob("*.py")])

FILE = re.compile(r"[\w./-]+\.(?:py|md|yaml|toml|txt|json)")
PACKAGE = re.compile(r"[a-z_]+(?:/[a-z_]+)*/")
MEMBER = re.compile(r"([A-Z]\w*)\.(\w+)")
FUNCTION = re.compile(r"([a-z_]+)\.(\w+)")
CLASS = re.compile(r"[A-Z][a-z]+[A-Z]\w*")
CONSTANT = re.compile(r"[A-Z]+_[A-Z_]+")
TEST = re.compile(r"test_\w+")
# Files that operators, the platform or the build write, and that need not be in the repository.
THEIR_FILES = {"settings.toml", "operator.yaml", "target/"}
# Names that belong to other programs and protocols.
FOREIGN = {"CLOCK_MONOTONIC", "CLOCK_BOOTTIME", "PyYAML"}


class _Code:
    """The names that the sources define."""

    def __init__(self) -> None:
        package = [path for path in SOURCES if path.is_relative_to(ROOT / "basaltlead")]
        self.text = "\n".join(path.read_text() for path in package)
        self.members: dict[str, set[str]] = {}
        self.bases: dict[str, list[str]] = {}
        self.module_names: dict[str, set[str]] = {}
        self.tests: set[str] = set()
        for path in SOURCES:
            tree = ast.parse(path.read_text())
            names = self.module_names.setdefault(path.stem, set())
            for node in tree.body:
                names |= _names_of(node)
                if isinstance(node, ast.ClassDef):
                    self.members.setdefault(node.name, set()).update(_members_of(node))
                    self.bases[node.name] = [ast.unparse(base) for base in node.bases]
            self.tests |= {name for name in names if name.startswith("test_")}
            self.tests.add(path.stem)

    def has_member(self, name: str, member: str) -> bool:
        """Whether a class or one of its bases has a method, field or attribute."""
        return member in self.members.get(name, ()) or any(
            self.has_member(base, member) for base in self.bases.get(name, [])
        )


def _names_of(node: ast.stmt) -> set[str]:
    """Return the names that a statement of a module or class body defines."""
    if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        return {node.name}
    if isinstance(node, ast.AnnAssign):
        return {ast.unparse(node.target)}
    if isinstance(node, ast.Assign):
        return {name for target in node.targets for name in ast.unparse(target).split(", ")}
    return set()


def _members_of(definition: ast.ClassDef) -> set[str]:
    members = {name for node in definition.body for name in _names_of(node)}
    attributes = {
        node.attr
        for node in ast.walk(definition)
        if isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and ast.unparse(node.value) == "self"
    }
    return members | attributes


def _field_names(*modules: ModuleType) -> set[str]:
    """Return the names of struct fields as they are sent, stored or written in settings files."""
    return {
        field.encode_name
        for module in modules
        for struct in vars(module).values()
        if isinstance(struct, type) and issubclass(struct, msgspec.Struct)
        for field in msgspec.structs.fields(struct)
    }


CODE = _Code()
WIRE_NAMES = _field_names(cloud, peers, store, users, workers)
SETTING_NAMES = _field_names(settings)


def _quoted(path: Path) -> list[str]:
    """Return the names in backticks, except in code blocks and the glossary's old-name columns."""
    text = re.sub(r"^```.*?^```$", "", path.read_text(), flags=re.MULTILINE | re.DOTALL)
    if path.name == "glossary.md":
        text = re.sub(r"^((?:\|[^|\n]*){3})\|[^|\n]*\|[^|\n]*\|$", r"\1|", text, flags=re.MULTILINE)
    return re.findall(r"`([^`\n]+)`", text)


def _file_exists(name: str) -> bool:
    places = (ROOT, ROOT / "basaltlead", ROOT / "docs", ROOT / "tests")
    return name in THEIR_FILES or any((place / name).exists() for place in places)


def _fault(name: str) -> str:
    """Return what is wrong with a name; empty if it exists, or is not a name of code."""
    if name in FOREIGN:
        return ""
    if FILE.fullmatch(name):
        return "" if _file_exists(name) else "no such file"
    if PACKAGE.fullmatch(name):
        is_key = f'"{name}' in CODE.text
        return "" if is_key or _file_exists(name) else "no such package"
    if match := MEMBER.fullmatch(name):
        return "" if CODE.has_member(*match.groups()) else "no such member"
    if (match := FUNCTION.fullmatch(name)) and match[1] in CODE.module_names:
        known = match[2] in CODE.module_names[match[1]] or match[2] in SETTING_NAMES
        return "" if known else "no such function or setting"
    if CLASS.fullmatch(name):
        known = name in CODE.members or name in WIRE_NAMES
        return "" if known else "no such class or protocol name"
    if CONSTANT.fullmatch(name):
        return "" if re.search(rf"\b{name}\b", CODE.text) else "no such constant"
    if TEST.fullmatch(name):
        return "" if name in CODE.tests else "no such test"
    return ""


# This page refers to the sources as they were at the time of each measurement.
HISTORY = ROOT / "docs" / "measurements.md"


@pytest.mark.parametrize(
    "path",
    [path for path in DOCUMENTS if path != HISTORY],
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_names_in_backticks_exist(path: Path) -> None:
    faults = {name: _fault(name) for name in _quoted(path)}

    assert {name: fault for name, fault in faults.items() if fault} == {}


def test_terms_of_the_glossary_are_used_in_the_code() -> None:
    terms = (ROOT / "docs" / "glossary.md").read_text().partition("\n## ")[0]
    rows = re.findall(r"^\| ([^|]+) \| ([^|]*) \|", terms, re.MULTILINE)
    names = {name for _, code in rows for name in re.findall(r"`([\w.]+)`", code)}

    assert len(names) > 50
    assert [name for name in names if not re.search(rf"\b{name}\b", CODE.text)] == []


@pytest.mark.parametrize(
    ("name", "fault"),
    [
        ("basaltlead/core/nothing.py", "no such file"),
        ("core/market.py", ""),
        ("nothing/", "no such package"),
        ("core/", ""),
        ("hire/", ""),
        ("ShardLeader.nothing", "no such member"),
        ("ShardLeader.heartbeat", ""),
        ("versions.nothing", "no such function or setting"),
        ("versions.duties_allowed", ""),
        ("NoSuchClass", "no such class or protocol name"),
        ("WindDownS", ""),
        ("NO_SUCH_CONSTANT", "no such constant"),
        ("test_nothing", "no such test"),
    ],
)
def test_name_that_does_not_exist_is_found(name: str, fault: str) -> None:
    assert _fault(name) == fault


@pytest.mark.parametrize("path", DOCUMENTS, ids=lambda path: str(path.relative_to(ROOT)))
def test_prose_is_wrapped_at_100_columns(path: Path) -> None:
    """Table rows and headings can't be wrapped."""
    long = [
        line
        for line in path.read_text().splitlines()
        if len(line) > 100 and not line.startswith(("|", "#"))
    ]

    assert long == []


def test_tests_that_the_code_names_exist() -> None:
    functions = {
        node.name
        for path in (ROOT / "tests").rglob("test_*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }

    named = {
        name
        for path in (ROOT / "basaltlead").rglob("*.py")
        for name in re.findall(r"\btest_\w{12,}", path.read_text())
    }

    assert len(named) >= 10
    assert named - functions == set()
