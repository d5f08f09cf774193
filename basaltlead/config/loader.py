"""Reads and checks the settings files.

Unknown fields are ignored in the platform's file, since the platform may add some. Everything else
is checked once, at the start, and an error names the field.
"""

import tomllib
from typing import Any

import msgspec

from basaltlead.config.settings import US, Operator, Settings
from basaltlead.errors import SettingsError

MIN_SESSION_LEASE_US = US // 2


def convert(data: Any, target: Any, where: str) -> Any:
    """Convert the data of a settings file to the target type.

    Numbers in the operators' file may also be written as text. Raises `SettingsError` with the name
    of the field.
    """
    try:
        return msgspec.convert(data, target, strict=target is not Operator)
    except msgspec.ValidationError as error:
        text = str(error)
        reason, _, path = text.partition(" - at `$")
        field = path.rstrip("`").lstrip(".")
        raise SettingsError(f"{where}: {field + ': ' if field else ''}{reason}") from None


def load(path: str, operator_path: str | None = None) -> Settings:
    """Read and check the platform's file and the operators' file, if there is one. Raises
    `SettingsError`."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    data.pop("operator", None)
    settings: Settings = convert(data, Settings, path)
    if operator_path is not None:
        settings.operator = _load_operator(operator_path)
    if settings.session_lease_us < MIN_SESSION_LEASE_US:
        raise SettingsError(f"{path}: facts.workers.cancel_s: too short for lease_s")
    return settings


def _load_operator(path: str) -> Operator:
    import yaml  # imported only if there is such a file, to keep the start of a controller short

    try:
        with open(path, encoding="utf-8") as file:
            data = yaml.safe_load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not YAML: {' '.join(str(error).split())}") from None
    operator: Operator = convert({} if data is None else data, Operator, path)
    if operator.quiet is not None:
        _check_calendar(operator.quiet.calendar, path)
    return operator


def _check_calendar(calendar: str, path: str) -> None:
    """Raise `SettingsError` if the calendar is invalid or its libraries are not installed."""
    try:
        from basaltlead.scaling import quiet_calendar
    except ImportError as error:
        raise SettingsError(f"{path}: quiet: {error}: install basaltlead[operators]") from None
    quiet_calendar.read_calendar(calendar)
