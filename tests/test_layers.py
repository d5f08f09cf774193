"""Packages import only lower layers, and there are no circular imports.

Only imports that run when a module is loaded are checked. An import inside a function is deliberate
(for libraries that few deployments need), and a comment next to it gives the reason.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "basaltlead"

# From the lowest layer up. A package may import lower layers, but not others of its own layer.
LAYERS = (
    ("errors", "runtime", "wire"),
    ("core", "net"),
    ("clients",),
    ("storage",),
    ("config",),
    ("cluster",),
    ("duties", "shard"),
    ("api", "operators", "scaling"),
    ("controller",),
    ("cli",),
    ("__main__",),
)
LAYER_OF = {name: number for number, names in enumerate(LAYERS) for name in names}
ONLY_ERRORS = {"core", "errors"}  # the only packages that core may import
# Packages that must not depend on the messages in `wire`.
WITHOUT_WIRE = {"core", "net", "runtime", "config", "errors"}


def _modules() -> dict[str, ast.Module]:
    """Parse all modules, by dotted name within the package."""
    return {
        ".".join(path.relative_to(PACKAGE).with_suffix("").parts): ast.parse(path.read_text())
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.name != "__init__.py"
    }


def _statements(body: list[ast.stmt]) -> Iterator[ast.stmt]:
    """Yield the statements that run when a module is loaded: neither the bodies of functions nor
    blocks for type checkers."""
    for node in body:
        yield node
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test):
            continue
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            for field in ("body", "orelse", "finalbody"):
                yield from _statements(getattr(node, field, []))


MODULES = _modules()


def _imports(module: str) -> set[str]:
    """Return the modules of the package that a module imports when it is loaded."""
    found: set[str] = set()
    for node in _statements(MODULES[module].body):
        if isinstance(node, ast.ImportFrom) and (node.module or "").split(".")[0] == "basaltlead":
            base = (node.module or "").partition(".")[2]
            for alias in node.names:
                inner = f"{base}.{alias.name}".lstrip(".")
                found.add(inner if inner in MODULES else base)
        elif isinstance(node, ast.Import):
            names = [alias.name.partition(".") for alias in node.names]
            found |= {inner for top, _, inner in names if top == "basaltlead"}
    return found & MODULES.keys()


IMPORTS = {module: _imports(module) for module in MODULES}


def _package(module: str) -> str:
    return module.partition(".")[0]


def test_each_package_has_its_layer() -> None:
    assert {_package(module) for module in MODULES} == LAYER_OF.keys()


@pytest.mark.parametrize("package", LAYER_OF)
def test_package_imports_only_lower_layers(package: str) -> None:
    upward = [
        f"{module} imports {other}"
        for module, others in IMPORTS.items()
        for other in others
        if _package(module) == package != _package(other)
        and LAYER_OF[_package(other)] >= LAYER_OF[package]
    ]

    assert upward == []


def test_core_imports_only_core_and_errors() -> None:
    outside = [
        f"{module} imports {other}"
        for module, others in IMPORTS.items()
        for other in others
        if _package(module) == "core" and _package(other) not in ONLY_ERRORS
    ]

    assert outside == []


def test_inner_packages_do_not_import_wire() -> None:
    inner = [
        f"{module} imports {other}"
        for module, others in IMPORTS.items()
        for other in others
        if _package(module) in WITHOUT_WIRE and _package(other) == "wire"
    ]

    assert inner == []


def test_no_module_imports_itself_through_others() -> None:
    def reachable(module: str) -> set[str]:
        seen: set[str] = set()
        rest = list(IMPORTS[module])
        while rest:
            other = rest.pop()
            if other not in seen:
                seen.add(other)
                rest += IMPORTS[other]
        return seen

    assert [module for module in MODULES if module in reachable(module)] == []


def test_imports_of_this_program_are_found() -> None:
    assert "cluster.membership" in IMPORTS["cluster.election"]
    assert "core.cluster_view" in IMPORTS["cluster.membership"]
    assert len(IMPORTS["controller"]) > 10
