"""Reduce catalogue records, in the log's order, to the catalogue in force."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.model import Catalogue
from _masticspoke.model import EMPTY_CATALOGUE


@final
@dataclass(frozen=True, slots=True)
class Change:
    """A proposed catalogue, made from an earlier version.

    :param change_id: unique id, by which a lost answer is settled.
    :param made_from: version that the operator saw.
    :param catalogue: classes and entries; its version is set on acceptance.
    :param author: who made it.
    """

    change_id: str
    made_from: int
    catalogue: Catalogue
    author: str = ""


@final
@dataclass(frozen=True, slots=True)
class CatalogueState:
    """A catalogue version and the change that made it.

    :param offset: log offset of that change's record; -1 for the empty catalogue.
    """

    catalogue: Catalogue = EMPTY_CATALOGUE
    change_id: str = ""
    offset: int = -1
    author: str = ""


def reduce_change(state: CatalogueState, change: Change, offset: int) -> CatalogueState:
    """Return the state after a record; the same object if the record lost its race.

    :param offset: log offset of the record.
    """
    if change.made_from != state.catalogue.version or not is_consistent(
        change.catalogue
    ):
        return state
    version = state.catalogue.version + 1
    catalogue = replace(change.catalogue, version=version)
    return CatalogueState(catalogue, change.change_id, offset, change.author)


def newer_state(first: CatalogueState, second: CatalogueState) -> CatalogueState:
    """Return the state with the higher version; the first one if they are equal."""
    if second.catalogue.version > first.catalogue.version:
        return second
    return first


def is_consistent(catalogue: Catalogue) -> bool:
    """Return whether every entry refers to a class and takes that class's rank."""
    ranks = {c.name: c.rank for c in catalogue.classes}
    kinds = {e.kind for e in catalogue.entries}
    return len(kinds) == len(catalogue.entries) and all(
        ranks.get(e.class_name) == e.rank for e in catalogue.entries
    )
