"""Settings of a node, from an INI file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import final

from pydantic import BeforeValidator
from pydantic import Field

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.fields import AddressField
from _masticspoke.border.fields import BorderModel
from _masticspoke.border.ini import read_sections
from _masticspoke.border.ini import validated
from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.model import Address


def _address_list(value: object) -> object:
    if not isinstance(value, str):
        return value
    parts = (part.strip() for part in value.split(","))
    return tuple(parse_address(part) for part in parts if part)


@final
class NodeSection(BorderModel):
    """Name, zone and addresses of the node.

    ``client_address`` is for clients, ``peer_address`` for other nodes and the
    command line, ``backend_address`` for announcements and outgoing calls of the
    node's local backend server.
    """

    name: str = Field(min_length=1, max_length=64)
    zone: str = Field(min_length=1, max_length=64)
    client_address: AddressField
    peer_address: AddressField
    backend_address: AddressField
    stop_timeout_s: float = Field(default=30.0, gt=0, le=3600)


@final
class LogSection(BorderModel):
    """The platform's append-only log service."""

    address: AddressField
    request_timeout_ms: int = Field(default=2_000, gt=0, le=60_000)
    poll_wait_ms: int = Field(default=1_000, gt=0, le=60_000)
    retry_pause_ms: int = Field(default=200, gt=0, le=60_000)
    snapshot_records: int = Field(default=1_000, ge=2, le=100_000)
    snapshot_interval_s: float = Field(default=600.0, gt=0, le=604_800)


@final
class PeersSection(BorderModel):
    """Exchange with other nodes; ``seeds`` are nodes to ask besides known members."""

    seeds: Annotated[tuple[Address, ...], BeforeValidator(_address_list)] = ()
    gossip_interval_ms: int = Field(default=1_000, ge=250, le=60_000)
    request_timeout_ms: int = Field(default=500, gt=0, le=60_000)


@final
class LimitsSection(BorderModel):
    """Limits of mailboxes, queues, buffers and connection attempts."""

    mailbox_messages: int = Field(default=10_000, gt=0)
    queue_calls: int = Field(default=100, gt=0)
    body_buffer_bytes: int = Field(default=65_536, ge=0)
    connect_timeout_ms: int = Field(default=500, gt=0)


@final
class OnceSection(BorderModel):
    """Times and limits for idempotency keys, whose requests run at most once."""

    confirm_after_ms: int = Field(default=500, gt=0, le=60_000)
    retry_ms: int = Field(default=1_000, gt=0, le=60_000)
    outage_limit_s: float = Field(default=3_600.0, gt=0)
    key_lifetime_s: float = Field(default=86_400.0, gt=0)
    answer_ttl_s: float = Field(default=600.0, gt=0)
    answers_bytes: int = Field(default=8_000_000, ge=0)
    max_keys: int = Field(default=50_000, gt=0)

    def limits(self) -> OnceLimits:
        """Return the limits with all times in seconds."""
        return OnceLimits(
            confirm_after_s=self.confirm_after_ms / 1000,
            retry_s=self.retry_ms / 1000,
            outage_limit_s=self.outage_limit_s,
            key_lifetime_s=self.key_lifetime_s,
            answer_ttl_s=self.answer_ttl_s,
            answers_bytes=self.answers_bytes,
            max_keys=self.max_keys,
        )


@final
class LoggingSection(BorderModel):
    """Level and format of the node's log on standard error."""

    level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    json_lines: bool = False


@final
class Settings(BorderModel):
    """All settings of a node."""

    node: NodeSection
    log: LogSection
    peers: PeersSection = PeersSection()
    limits: LimitsSection = LimitsSection()
    once: OnceSection = OnceSection()
    logging: LoggingSection = LoggingSection()


def load_settings(path: Path) -> Settings:
    """Return the settings in a file.

    :raises SettingsError: with section and key of each fault, and what was expected.
    """
    return validated(Settings, read_sections(path), str(path))
