"""Log records and other JSON documents between the system's processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import final
from typing import Literal

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from _masticspoke.border.fields import BorderModel
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left

CATALOGUE_STREAM = "catalogue"
MEMBERS_STREAM = "members"


@final
class ChangeRecord(BorderModel):
    """A proposed catalogue change."""

    type: Literal["change"] = "change"
    change: Change


@final
class JoinedRecord(BorderModel):
    """A backend server joined."""

    type: Literal["joined"] = "joined"
    joined: Joined


@final
class LeftRecord(BorderModel):
    """A backend server left."""

    type: Literal["left"] = "left"
    left: Left


Record = Annotated[
    ChangeRecord | JoinedRecord | LeftRecord, Field(discriminator="type")
]
_ADAPTER: TypeAdapter[ChangeRecord | JoinedRecord | LeftRecord] = TypeAdapter(Record)


def encode_record(value: Change | Joined | Left) -> bytes:
    """Return the log record for a value."""
    return _ENCODERS[type(value)](value).model_dump_json().encode()


def decode_record(data: bytes) -> Change | Joined | Left | None:
    """Return the value of a log record; ``None`` if it is malformed."""
    try:
        record = _ADAPTER.validate_json(data)
    except ValidationError:
        return None
    value: Change | Joined | Left = getattr(record, record.type)
    return value


_ENCODERS: dict[type[object], Callable[[Any], BorderModel]] = {
    Change: lambda value: ChangeRecord(change=value),
    Joined: lambda value: JoinedRecord(joined=value),
    Left: lambda value: LeftRecord(left=value),
}
