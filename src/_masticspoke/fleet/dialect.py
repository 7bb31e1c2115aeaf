"""What a platform's adapter tells the fleet: functions from its words to ours."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from multidict import CIMultiDict

from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun

SetBackendHeaders = Callable[[CIMultiDict[str], Job, str, float], None]
ReadHealth = Callable[[int, Mapping[str, str]], str | None]
ReadNotRun = Callable[[int, Mapping[str, str]], NotRun | None]


@final
@dataclass(frozen=True, slots=True)
class Dialect:
    """How one platform spells what the fleet needs.

    :param echo_header: request header that a backend server's answer repeats.
    :param set_backend_headers: from headers, job, instance and seconds left.
    :param read_not_run: from status and headers of a backend server's answer; why
        it did not run the request, ``None`` if it did.
    :param read_health: from status and headers of a health answer; the instance that
        takes work, ``None`` if it takes none.
    :param servers_stream: keyed stream of the log that the nodes write.
    :param configuration_stream: keyed stream of the log that the operator writes.
    :param configuration_key: key of the newest configuration in it.
    :param decode_configuration: ``None`` when it can't be read.
    """

    echo_header: str
    set_backend_headers: SetBackendHeaders
    read_not_run: ReadNotRun
    read_health: ReadHealth
    servers_stream: str
    configuration_stream: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Configuration | None]
