"""The message tables in docs/glossary.md are complete: names in the code and on the wire."""

import importlib
import inspect
import pkgutil
import re
from pathlib import Path
from typing import NamedTuple

import msgspec
import pytest

from basaltlead import wire

GLOSSARY = Path(__file__).resolve().parent.parent / "docs" / "glossary.md"
HEADING = "## Fields of messages"


class MessageTerms(NamedTuple):
    """A message's tag, if it has one, and its fields: name in the code, name on the wire."""

    tag: str
    fields: dict[str, str]


def _documented(interface: str) -> dict[str, MessageTerms]:
    """Return the rows of the table under an interface's heading."""
    section = GLOSSARY.read_text().partition(HEADING)[2]
    table = section.partition(f"### `wire/{interface}.py`")[2].partition("\n##")[0]
    rows = re.findall(r"^\| `(\w+)` \| (?:`([\w-]+)`)? ?\| (.*) \|$", table, re.MULTILINE)
    return {
        name: MessageTerms(tag, dict(re.findall(r"`(\w+)`: `(\w+)`", fields)))
        for name, tag, fields in rows
    }


def _defined(interface: str) -> dict[str, MessageTerms]:
    """Return the messages that an interface's module defines."""
    module = importlib.import_module(f"basaltlead.wire.{interface}")
    return {
        name: MessageTerms(
            struct.__struct_config__.tag or "",
            {field.name: field.encode_name for field in msgspec.structs.fields(struct)},
        )
        for name, struct in inspect.getmembers(module, inspect.isclass)
        if issubclass(struct, msgspec.Struct) and struct.__module__ == module.__name__
    }


INTERFACES = [
    module.name for module in pkgutil.iter_modules(wire.__path__) if _defined(module.name)
]


@pytest.mark.parametrize("interface", INTERFACES)
def test_glossary_lists_each_message_with_each_field(interface: str) -> None:
    assert _documented(interface) == _defined(interface)


def test_glossary_lists_no_interface_that_does_not_exist() -> None:
    section = GLOSSARY.read_text().partition(HEADING)[2]

    assert sorted(re.findall(r"^### `wire/(\w+)\.py`", section, re.MULTILINE)) == sorted(INTERFACES)
