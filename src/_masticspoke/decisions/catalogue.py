"""Reduce the changes in the stream ``catalogue`` to the catalogue in force."""

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

    :param change_id: unique id, which identifies the change in the log when the
        answer to its append was lost.
    :param made_from: catalogue version that the change was made from.
    :param catalogue: classes and entries; the version is set on acceptance.
    :param author: name of the operator who made the change.
    """

    change_id: str
    made_from: int
    catalogue: Catalogue
    author: str = ""


@final
@dataclass(frozen=True, slots=True)
class CatalogueState:
    """A catalogue version and the change that created it.

    :param offset: log offset of that change's record; -1 for the empty catalogue.
    """

    catalogue: Catalogue = EMPTY_CATALOGUE
    change_id: str = ""
    offset: int = -1
    author: str = ""


def reduce_change(state: CatalogueState, change: Change, offset: int) -> CatalogueState:
    """Return the state after a change; the same object if the change is rejected.

    A change is rejected if another one was accepted since the version that it was made
    from, or if its catalogue is inconsistent.

    :param offset: log offset of the change's record.
    """
    if change.made_from != state.catalogue.version or not is_consistent(
        change.catalogue
    ):
        return state
    version = state.catalogue.version + 1
    catalogue = replace(change.catalogue, version=version)
    return CatalogueState(catalogue, change.change_id, offset, change.author)


def newer_state(first: CatalogueState, second: CatalogueState) -> CatalogueState:
    """Return the state with the higher version; the first if both are equal."""
    if second.catalogue.version > first.catalogue.version:
        return second
    return first


def is_consistent(catalogue: Catalogue) -> bool:
    """Return whether kinds are unique and each entry has the rank of its class."""
    ranks = {c.name: c.rank for c in catalogue.classes}
    kinds = {e.kind for e in catalogue.entries}
    return len(kinds) == len(catalogue.entries) and all(
        ranks.get(e.class_name) == e.rank for e in catalogue.entries
    )
