"""Read INI files into models; each fault is reported with its section and key."""

from __future__ import annotations

from configparser import ConfigParser
from configparser import Error as ParserError
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ValidationError

from _masticspoke.errors import SettingsError

ModelT = TypeVar("ModelT", bound=BaseModel)
Sections = dict[str, dict[str, str]]


def read_sections(path: Path) -> Sections:
    """Return the sections of an INI file.

    :raises SettingsError: when the file can't be read or parsed.
    """
    try:
        return parse_sections(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"can't read {path}: {error}", "give the path of an INI file in UTF-8"
        ) from error


def parse_sections(text: str, source: str) -> Sections:
    """Return the sections of an INI text.

    :raises SettingsError: when the text is not INI.
    """
    parser = ConfigParser(interpolation=None, strict=True, default_section="\0")
    try:
        parser.read_string(text, source)
    except ParserError as error:
        raise SettingsError(
            " ".join(str(error).split()), "correct the line that is named"
        ) from error
    return {name: dict(parser.items(name)) for name in parser.sections()}


def validated(model: type[ModelT], value: object, where: str) -> ModelT:
    """Return ``value`` as a model.

    :param where: path of the file, for the error message.
    :raises SettingsError: with section and key of each fault, and what was expected.
    """
    try:
        return model.model_validate(value)
    except ValidationError as error:
        faults = "; ".join(fault_texts(error))
        raise SettingsError(f"{where}: {faults}", "correct these keys") from error


def fault_texts(error: ValidationError) -> list[str]:
    """Return a text for each fault: section, key, what was expected."""
    return [_fault_text(fault["loc"], fault["msg"]) for fault in error.errors()]


def section_fault_texts(section: str, error: ValidationError) -> list[str]:
    """Return a text for each fault of the model of one section."""
    return [
        _fault_text((section, *fault["loc"]), fault["msg"]) for fault in error.errors()
    ]


def _fault_text(location: tuple[int | str, ...], message: str) -> str:
    section, *keys = (str(part) for part in location) if location else ("file",)
    place = f"[{section}] {'.'.join(keys)}".strip()
    text = message.removeprefix("Value error, ")
    return f"{place}: {_FAULT_TEXTS.get(text, text)}"


_FAULT_TEXTS = {
    "Extra inputs are not permitted": "unknown key; see the settings reference",
    "Input should be a valid integer, unable to parse string as an integer": (
        "expected a whole number, without a unit"
    ),
    "Input should be a valid number, unable to parse string as a number": (
        "expected a number, without a unit"
    ),
    "Field required": "missing; this key is required",
}
