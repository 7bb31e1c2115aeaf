"""Codec for the log records of idempotency keys and the bodies of confirmations.

The log records are claims, kept claims and seals.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Annotated
from typing import final
from typing import Literal

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from _masticspoke.border.fields import AddressField
from _masticspoke.border.fields import BorderModel
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import KeptClaims
from _masticspoke.decisions.once.model import OnceRecord
from _masticspoke.decisions.once.model import Seal

MAX_CONFIRM_BYTES = 2**20
MAX_CONFIRM_REQUESTS = 1_000

_Name = Annotated[str, Field(max_length=128)]
_Digest = Annotated[str, Field(pattern="^[0-9a-f]{32}$")]


@final
class _IdentityModel(BorderModel):
    node: AddressField = Field(alias="n")
    process: _Name = Field(alias="p")

    def value(self) -> Identity:
        return Identity(self.node, self.process)


@final
class _ClaimModel(BorderModel):
    type: Literal["claim"] = "claim"
    service: _Name = Field(alias="s")
    digest: _Digest = Field(alias="d")
    writer: _IdentityModel = Field(alias="w")
    view: int = Field(alias="v", ge=1)

    def value(self) -> Claim:
        return Claim(self.service, self.digest, self.writer.value(), self.view)


@final
class _KeptModel(BorderModel):
    type: Literal["kept"] = "kept"
    service: _Name = Field(alias="s")
    claims: tuple[_ClaimModel, ...] = Field(alias="c")

    def value(self) -> KeptClaims:
        return KeptClaims(self.service, tuple(claim.value() for claim in self.claims))


@final
class _SealModel(BorderModel):
    type: Literal["seal"] = "seal"
    service: _Name = Field(alias="s")
    through: int = Field(alias="t", ge=0)
    member: _IdentityModel = Field(alias="m")

    def value(self) -> Seal:
        return Seal(self.service, self.through, self.member.value())


@final
class _ConfirmRequestsModel(BorderModel):
    claims: tuple[_ClaimModel, ...] = Field(alias="c", max_length=MAX_CONFIRM_REQUESTS)


@final
class _ConfirmationsModel(BorderModel):
    member: _IdentityModel = Field(alias="m")
    kept: tuple[_ClaimModel, ...] = Field(alias="k", max_length=MAX_CONFIRM_REQUESTS)


_Record = _ClaimModel | _KeptModel | _SealModel
_ADAPTER: TypeAdapter[_Record] = TypeAdapter(
    Annotated[_Record, Field(discriminator="type")]
)


def encode_once(record: OnceRecord) -> bytes:
    """Return the log record."""
    return _dump(_ENCODERS[type(record)](record))


def decode_once(data: bytes) -> OnceRecord | None:
    """Return the record; ``None`` if it is malformed or of another kind."""
    try:
        return _ADAPTER.validate_json(data).value()
    except ValidationError:
        return None


def encode_confirm_requests(requests: Sequence[ConfirmRequest]) -> bytes:
    """Return the body in which a node asks another to confirm claims."""
    return _dump(
        _ConfirmRequestsModel.model_construct(
            claims=tuple(_claim_model(request.claim) for request in requests)
        )
    )


def decode_confirm_requests(body: bytes) -> tuple[ConfirmRequest, ...] | None:
    """Return another node's confirm requests, or ``None`` if they are malformed."""
    try:
        model = _ConfirmRequestsModel.model_validate_json(body)
    except ValidationError:
        return None
    return tuple(ConfirmRequest(claim.value()) for claim in model.claims)


def encode_confirmations(
    member: Identity, confirmations: Sequence[Confirmation]
) -> bytes:
    """Return the body of the answer that lists the claims that ``member`` keeps."""
    return _dump(
        _ConfirmationsModel.model_construct(
            member=_identity_model(member),
            kept=tuple(_claim_model(c.claim) for c in confirmations),
        )
    )


def decode_confirmations(body: bytes) -> tuple[Confirmation, ...] | None:
    """Return another node's confirmations, or ``None`` if they are malformed."""
    try:
        model = _ConfirmationsModel.model_validate_json(body)
    except ValidationError:
        return None
    member = model.member.value()
    return tuple(Confirmation(claim.value(), member) for claim in model.kept)


def _dump(model: BorderModel) -> bytes:
    return model.model_dump_json(by_alias=True).encode()


def _identity_model(identity: Identity) -> _IdentityModel:
    return _IdentityModel.model_construct(node=identity.node, process=identity.process)


def _claim_model(claim: Claim) -> _ClaimModel:
    return _ClaimModel.model_construct(
        type="claim",
        service=claim.service,
        digest=claim.digest,
        writer=_identity_model(claim.writer),
        view=claim.view,
    )


def _kept_model(kept: KeptClaims) -> _KeptModel:
    claims = tuple(map(_claim_model, kept.claims))
    return _KeptModel.model_construct(type="kept", service=kept.service, claims=claims)


def _seal_model(seal: Seal) -> _SealModel:
    return _SealModel.model_construct(
        type="seal",
        service=seal.service,
        through=seal.through,
        member=_identity_model(seal.member),
    )


_ENCODERS: dict[type, Callable[..., BorderModel]] = {
    Claim: _claim_model,
    KeptClaims: _kept_model,
    Seal: _seal_model,
}
