"""Codec for the records of the log streams ``catalogue`` and ``members``."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import final
from typing import Literal

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from _masticspoke.border.fields import BorderModel
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.model import View

CATALOGUE_STREAM = "catalogue"
MEMBERS_STREAM = "members"
INCARNATION = re.compile(r"[0-9a-f]{12}-[0-9a-f]{1,32}-[0-9a-f]{4}")

CatalogueValue = Change | Snapshot[CatalogueState]
MembersValue = Joined | Left | Snapshot[MembersState]
RecordValue = CatalogueValue | MembersValue


@final
class ChangeRecord(BorderModel):
    """A proposed catalogue change."""

    type: Literal["change"] = "change"
    change: Change

    def value(self) -> Change:
        """Return the value of the record."""
        return self.change


@final
class CatalogueSnapshotRecord(BorderModel):
    """The catalogue after all records up to an offset."""

    type: Literal["catalogue-snapshot"] = "catalogue-snapshot"
    offset: int = Field(ge=-1)
    state: CatalogueState

    def value(self) -> Snapshot[CatalogueState]:
        """Return the value of the record."""
        return Snapshot(self.offset, self.state)


@final
class JoinedRecord(BorderModel):
    """A backend server joined."""

    type: Literal["joined"] = "joined"
    joined: Joined

    def value(self) -> Joined | None:
        """Return the value of the record; ``None`` if its incarnation is malformed."""
        valid = INCARNATION.fullmatch(self.joined.member.incarnation)
        return self.joined if valid else None


@final
class LeftRecord(BorderModel):
    """A backend server left."""

    type: Literal["left"] = "left"
    left: Left

    def value(self) -> Left:
        """Return the value of the record."""
        return self.left


@final
class MembersSnapshotRecord(BorderModel):
    """The views after all records up to an offset."""

    type: Literal["members-snapshot"] = "members-snapshot"
    offset: int = Field(ge=-1)
    views: tuple[View, ...]
    ended: tuple[Left, ...] = ()

    def value(self) -> Snapshot[MembersState]:
        """Return the value of the record."""
        state = MembersState(
            views={view.service: view for view in self.views},
            by_node={m.node: m for view in self.views for m in view.members},
            ended={left.node: left.incarnation for left in self.ended},
        )
        return Snapshot(self.offset, state)


_Record = (
    ChangeRecord
    | CatalogueSnapshotRecord
    | JoinedRecord
    | LeftRecord
    | MembersSnapshotRecord
)
_ADAPTER: TypeAdapter[_Record] = TypeAdapter(
    Annotated[_Record, Field(discriminator="type")]
)


def encode_record(value: RecordValue) -> bytes:
    """Return the log record for a value."""
    if isinstance(value, Snapshot):
        return _SNAPSHOT_ENCODERS[type(value.state)](value).model_dump_json().encode()
    return _ENCODERS[type(value)](value).model_dump_json().encode()


def encode_snapshot(offset: int, state: CatalogueState | MembersState) -> bytes:
    """Return the log record of a snapshot."""
    if isinstance(state, CatalogueState):
        return encode_record(Snapshot(offset, state))
    return encode_record(Snapshot(offset, state))


def decode_record(data: bytes) -> RecordValue | None:
    """Return the value of a log record; ``None`` if it is unknown or malformed."""
    try:
        return _ADAPTER.validate_json(data).value()
    except ValidationError:
        return None


def decode_catalogue(data: bytes) -> CatalogueValue | None:
    """Return the value of a record of the stream ``catalogue``.

    ``None`` if it is malformed or of another kind.
    """
    value = decode_record(data)
    if isinstance(value, Change):
        return value
    if isinstance(value, Snapshot) and isinstance(value.state, CatalogueState):
        return Snapshot(value.offset, value.state)
    return None


def decode_membership(data: bytes) -> MembersValue | None:
    """Return the value of a record of the stream ``members``.

    ``None`` if it is malformed or of another kind.
    """
    value = decode_record(data)
    if isinstance(value, Joined | Left):
        return value
    if isinstance(value, Snapshot) and isinstance(value.state, MembersState):
        return Snapshot(value.offset, value.state)
    return None


def _members_snapshot(value: Snapshot[MembersState]) -> MembersSnapshotRecord:
    ended = tuple(
        Left(node, incarnation) for node, incarnation in value.state.ended.items()
    )
    return MembersSnapshotRecord(
        offset=value.offset, views=tuple(value.state.views.values()), ended=ended
    )


_ENCODERS: dict[type[object], Callable[[Any], BorderModel]] = {
    Change: lambda value: ChangeRecord(change=value),
    Joined: lambda value: JoinedRecord(joined=value),
    Left: lambda value: LeftRecord(left=value),
}
_SNAPSHOT_ENCODERS: dict[type[object], Callable[[Any], BorderModel]] = {
    CatalogueState: lambda value: CatalogueSnapshotRecord(
        offset=value.offset, state=value.state
    ),
    MembersState: _members_snapshot,
}
