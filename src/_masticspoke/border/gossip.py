"""Codec for the JSON bodies in which nodes exchange catalogue and members."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated
from typing import final

from pydantic import Field
from pydantic import ValidationError

from _masticspoke.border.fields import AddressField
from _masticspoke.border.fields import BorderModel
from _masticspoke.border.records import INCARNATION
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import is_consistent
from _masticspoke.decisions.hints import Hint
from _masticspoke.messages.control import Digest
from _masticspoke.model import Address
from _masticspoke.model import Member

MAX_DIGEST_BYTES = 16_384
MAX_MEMBERS_BYTES = 65_536
MAX_CATALOGUE_BYTES = 4 * 2**20
PAGE_HINTS = 50

_Incarnation = Annotated[str, Field(pattern=f"^{INCARNATION.pattern}$")]
_Name = Annotated[str, Field(max_length=128)]


@final
class _MemberModel(BorderModel):
    service: _Name = Field(alias="s")
    backend: AddressField = Field(alias="b")
    zone: _Name = Field(alias="z")
    slots: int = Field(alias="l", gt=0, le=100_000)
    connections: int = Field(alias="c", gt=0, le=1_000_000)


@final
class _HintModel(BorderModel):
    node: AddressField = Field(alias="n")
    incarnation: _Incarnation = Field(alias="i")
    member: _MemberModel | None = Field(alias="m", default=None)


@final
class _DigestModel(BorderModel):
    sender: AddressField = Field(alias="f")
    catalogue_version: int = Field(alias="v", ge=0)
    checksum: int = Field(alias="k", ge=0)
    news: tuple[_HintModel, ...] = Field(alias="h", default=(), max_length=100)


@final
class _PageModel(BorderModel):
    hints: tuple[_HintModel, ...] = Field(alias="h", max_length=PAGE_HINTS)


@final
class _CatalogueModel(BorderModel):
    state: CatalogueState


@final
class ProbeModel(BorderModel):
    """Request to another node to check whether ``node`` can be reached."""

    node: AddressField


@final
class ProbeAnswer(BorderModel):
    """Answer to a :class:`ProbeModel`."""

    reached: bool


def encode_digest(digest: Digest) -> bytes:
    """Return the body of a gossip request or answer."""
    model = _DigestModel.model_construct(
        sender=digest.sender,
        catalogue_version=digest.catalogue_version,
        checksum=digest.checksum,
        news=_hint_models(digest.updates),
    )
    return _dump(model)


def decode_digest(body: bytes) -> Digest | None:
    """Return another node's digest, or ``None`` if it is malformed."""
    try:
        model = _DigestModel.model_validate_json(body)
    except ValidationError:
        return None
    updates = tuple(_to_hint(m) for m in model.news)
    return Digest(model.sender, model.catalogue_version, model.checksum, updates)


def encode_page(hints: Iterable[Hint], after: Address | None) -> bytes:
    """Return the body of a page: up to :data:`PAGE_HINTS` hints, in node order.

    :param after: last node of the previous page; ``None`` for the first page.
    """
    later = [h for h in hints if after is None or h.node > after]
    page = sorted(later, key=lambda h: h.node)[:PAGE_HINTS]
    return _dump(_PageModel.model_construct(hints=_hint_models(page)))


def decode_page(body: bytes) -> tuple[Hint, ...] | None:
    """Return the hints of a page, or ``None`` if it is malformed."""
    try:
        return tuple(_to_hint(m) for m in _PageModel.model_validate_json(body).hints)
    except ValidationError:
        return None


def encode_catalogue(state: CatalogueState) -> bytes:
    """Return the body in which a node sends its catalogue to another."""
    return _CatalogueModel(state=state).model_dump_json().encode()


def decode_catalogue_state(body: bytes) -> CatalogueState | None:
    """Return a node's catalogue, or ``None`` if it is malformed or inconsistent."""
    try:
        state = _CatalogueModel.model_validate_json(body).state
    except ValidationError:
        return None
    return state if is_consistent(state.catalogue) else None


def _dump(model: BorderModel) -> bytes:
    return model.model_dump_json(by_alias=True, exclude_none=True).encode()


def _hint_models(hints: Iterable[Hint]) -> tuple[_HintModel, ...]:
    return tuple(
        _HintModel.model_construct(
            node=hint.node,
            incarnation=hint.incarnation,
            member=_member_model(hint.member),
        )
        for hint in hints
    )


def _member_model(member: Member | None) -> _MemberModel | None:
    if member is None:
        return None
    return _MemberModel.model_construct(
        service=member.service,
        backend=member.backend,
        zone=member.zone,
        slots=member.slots,
        connections=member.connections,
    )


def _to_hint(model: _HintModel) -> Hint:
    member_model = model.member
    if member_model is None:
        return Hint(model.node, model.incarnation)
    member = Member(
        service=member_model.service,
        backend=member_model.backend,
        node=model.node,
        zone=member_model.zone,
        incarnation=model.incarnation,
        slots=member_model.slots,
        connections=member_model.connections,
    )
    return Hint(model.node, model.incarnation, member)
