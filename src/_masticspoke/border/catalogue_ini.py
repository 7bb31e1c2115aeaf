"""The catalogue as an INI file.

``[class NAME]`` sections have the keys of :class:`ClassSection`, ``[entry KIND]``
sections those of :class:`EntrySection`.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import final

from pydantic import Field
from pydantic import ValidationError

from _masticspoke.border.fields import BorderModel
from _masticspoke.border.ini import parse_sections
from _masticspoke.border.ini import section_fault_texts
from _masticspoke.border.ini import Sections
from _masticspoke.errors import SettingsError
from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.model import Entry


@final
class ClassSection(BorderModel):
    """Keys of a ``[class NAME]`` section."""

    rank: int = Field(ge=0, le=1_000)
    floor_percent: float = Field(default=0.0, ge=0, le=100)


@final
class EntrySection(BorderModel):
    """Keys of an ``[entry KIND]`` section."""

    owner: str = Field(min_length=1)
    class_: str = Field(alias="class")
    service: str = Field(pattern="^[a-z0-9-]+$")
    method: str = Field(pattern="^[A-Z]+$")
    path: str = Field(pattern="^/")
    deadline_ms: int = Field(gt=0, le=86_400_000)
    idempotent: bool
    retries: int = Field(default=2, ge=0, le=100)
    floor_percent: float = Field(default=0.0, ge=0, le=100)
    limit_percent: float = Field(default=100.0, gt=0, le=100)
    shed_last: bool = False


def load_catalogue(path: Path) -> Catalogue:
    """Return the catalogue in a file; its version is 0.

    :raises SettingsError: when the file can't be read, or as :func:`parse_catalogue`.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"can't read {path}: {error}", "give the path of a catalogue file in UTF-8"
        ) from error
    return parse_catalogue(text, str(path))


def parse_catalogue(text: str, source: str) -> Catalogue:
    """Return the catalogue in an INI text; its version is 0.

    :raises SettingsError: when the text is not INI; otherwise with each fault that was
        found, and its line.
    """
    sections = parse_sections(text, source)
    faults: list[str] = []
    classes = _parse_classes(sections, faults)
    entries = _parse_entries(sections, classes, faults)
    faults += [
        f"[{name}]: expected [class NAME] or [entry KIND]"
        for name in sections
        if name.partition(" ")[0] not in {"class", "entry"}
    ]
    faults += _floor_faults(classes)
    faults += _duplicate_faults(entries)
    if faults:
        raise SettingsError(
            "; ".join(_with_line(fault, text, source) for fault in faults),
            "correct these lines and run catalogue check again",
        )
    return Catalogue(
        classes=tuple(sorted(classes, key=lambda c: c.rank)), entries=entries
    )


def _parse_classes(sections: Sections, faults: list[str]) -> list[ClassSpec]:
    classes: list[ClassSpec] = []
    for name, keys in _sections_of(sections, "class"):
        try:
            model = ClassSection.model_validate(keys)
        except ValidationError as error:
            faults += section_fault_texts(f"class {name}", error)
            continue
        classes.append(ClassSpec(name, model.rank, model.floor_percent))
    ranks = [c.rank for c in classes]
    faults += [
        f"[class {c.name}] rank: rank {c.rank} is used twice"
        for c in classes
        if ranks.count(c.rank) > 1
    ]
    return classes


def _parse_entries(
    sections: Sections, classes: list[ClassSpec], faults: list[str]
) -> tuple[Entry, ...]:
    ranks = {c.name: c.rank for c in classes}
    entries: list[Entry] = []
    for kind, keys in _sections_of(sections, "entry"):
        try:
            model = EntrySection.model_validate(keys)
        except ValidationError as error:
            faults += section_fault_texts(f"entry {kind}", error)
            continue
        if model.class_ not in ranks:
            faults.append(f"[entry {kind}] class: no section [class {model.class_}]")
            continue
        entries.append(_entry(kind, model, ranks[model.class_]))
    return tuple(entries)


def _entry(kind: str, model: EntrySection, rank: int) -> Entry:
    values = model.model_dump(exclude={"class_"})
    return Entry(kind=kind, class_name=model.class_, rank=rank, **values)


def _floor_faults(classes: list[ClassSpec]) -> list[str]:
    total = sum(c.floor_percent for c in classes)
    if total <= 100:
        return []
    return [f"[class {classes[-1].name}] floor_percent: floors sum to {total:g} > 100"]


def _duplicate_faults(entries: tuple[Entry, ...]) -> list[str]:
    first_kinds: dict[tuple[str, str], str] = {}
    faults: list[str] = []
    for entry in entries:
        first_kind = first_kinds.setdefault((entry.method, entry.path), entry.kind)
        if first_kind != entry.kind:
            faults.append(
                f"[entry {entry.kind}] path: never matched, since [entry {first_kind}] "
                "has the same method and path"
            )
    return faults


def format_catalogue(catalogue: Catalogue) -> str:
    """Return the INI text of a catalogue."""
    sections = [_class_text(c) for c in catalogue.classes]
    sections += [_entry_text(e) for e in catalogue.entries]
    return "\n".join(sections)


def _class_text(spec: ClassSpec) -> str:
    keys = {"rank": spec.rank, "floor_percent": spec.floor_percent}
    return _section_text(f"class {spec.name}", keys)


def _entry_text(entry: Entry) -> str:
    keys = {
        "class" if name == "class_" else name: getattr(
            entry, "class_name" if name == "class_" else name
        )
        for name in EntrySection.model_fields
    }
    return _section_text(f"entry {entry.kind}", keys)


def _section_text(name: str, keys: Mapping[str, object]) -> str:
    lines = [f"{key} = {_value_text(value)}" for key, value in keys.items()]
    return "\n".join([f"[{name}]", *lines, ""])


def _value_text(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def _sections_of(sections: Sections, prefix: str) -> list[tuple[str, dict[str, str]]]:
    return [
        (name.partition(" ")[2].strip(), keys)
        for name, keys in sections.items()
        if name.partition(" ")[0] == prefix
    ]


def _with_line(fault: str, text: str, source: str) -> str:
    """Return a fault, ``[section] key: ...``, prefixed with its source and line.

    The line is the section's if the key is not found in it, and 0 without the section.
    """
    header, _, rest = fault.partition("]")
    key = rest.strip().partition(":")[0]
    in_section = False
    section_line = 0
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip().startswith("["):
            in_section = line.strip() == f"{header}]"
            section_line = number if in_section else section_line
        elif in_section and line.partition("=")[0].strip() == key:
            return f"{source}:{number}: {fault}"
    return f"{source}:{section_line}: {fault}"
