"""Messages by which a node follows the log through another node.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.suspects import CrashReport
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class AskNews:
    """Inbound listener to registry: return what a node that follows this one lacks.

    :param source: stream of the configuration, for the age of the log's answer.
    :param relay: identity of this process in its last answer to the node.
    :param change: number of the last change in that answer.
    :param version: version of the node's configuration.
    :param hold: whether to answer only once there is a newer configuration, or the log
        turns this node away.
    """

    source: str
    relay: int
    change: int
    version: int
    hold: bool
    reply: Reply[News]


@final
@dataclass(frozen=True, slots=True)
class News:
    """Registry's reply: what the node that asked lacks.

    :param relay: identity of this process.
    :param change: number of the last change.
    :param raw: configuration as the operator published it, if newer; else empty.
    :param servers: states that have changed.
    :param crash_reports: crash reports that have changed.
    :param log_age_s: time since the log last answered; ``None`` if it turns this node
        away or isn't read.
    :param version: version of the configuration in force.
    :param confirmed_age_s: time since that was known to be the newest version; ``None``
        if it never was.
    """

    relay: int
    change: int
    raw: bytes
    servers: tuple[BackendServer, ...]
    crash_reports: tuple[CrashReport, ...]
    log_age_s: float | None
    version: int
    confirmed_age_s: float | None


@final
@dataclass(frozen=True, slots=True)
class VersionConfirmed:
    """Log follower or relay follower to registry: no later version was acknowledged.

    :param version: newest version that the answer showed.
    :param at: every version that the log acknowledged before is at most that one.
    :param shown_by_log: whether it is the newest in the log itself, which may have been
        restored from an older copy.
    """

    version: int
    at: float
    shown_by_log: bool = False


@final
@dataclass(frozen=True, slots=True)
class RelayAsked:
    """Inbound listener to relay chooser: another node follows this one."""


@final
@dataclass(frozen=True, slots=True)
class ChooseRelay:
    """Relay follower to relay chooser: return the host to ask; ``None`` for none."""

    servers: tuple[BackendServer, ...]
    reply: Reply[str | None]


@final
@dataclass(frozen=True, slots=True)
class RelayAnswered:
    """Relay follower to relay chooser: a relay's answer.

    :param log_age_s: as in :class:`News`.
    """

    host: str
    log_age_s: float | None


@final
@dataclass(frozen=True, slots=True)
class RelaySilent:
    """Relay follower to relay chooser: a relay didn't answer."""

    host: str
