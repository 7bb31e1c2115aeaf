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
    """The catalogue in force and the id of the change that made it."""

    catalogue: Catalogue = EMPTY_CATALOGUE
    change_id: str = ""


def reduce_change(state: CatalogueState, change: Change) -> CatalogueState:
    """Return the state after a record; unchanged if the record lost its race."""
    if change.made_from != state.catalogue.version:
        return state
    version = state.catalogue.version + 1
    return CatalogueState(replace(change.catalogue, version=version), change.change_id)
