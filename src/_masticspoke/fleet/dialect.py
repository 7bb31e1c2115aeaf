"""Names of a platform, and conversions between its formats and those of a node."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from multidict import CIMultiDict
from multidict import MultiMapping

from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun

SetBackendHeaders = Callable[[CIMultiDict[str], Job, str, float], None]
ReadHealth = Callable[[int, Mapping[str, str]], str | None]
ReadNotRun = Callable[[int, Mapping[str, str]], NotRun | None]
ReadNotice = Callable[[int, MultiMapping[str]], BackendNotice]


@final
@dataclass(frozen=True, slots=True)
class Dialect:
    """Names and message formats of one platform.

    :param echo_header: request header that a backend server's answer repeats.
    :param set_backend_headers: sets the request headers that a backend server expects;
        takes the headers, the job, the instance and the seconds until the deadline.
    :param read_not_run: takes status and headers of a backend server's answer;
        returns why it did not run the request, ``None`` if it did.
    :param read_notice: takes status and headers of a backend server's answer; returns
        what it says of itself.
    :param read_health: takes status and headers of the answer to a health check;
        returns the instance if it accepts requests, else ``None``.
    :param servers_stream: keyed stream of the log that the nodes write.
    :param configuration_stream: keyed stream of the log that the operator writes.
    :param configuration_key: key of the configuration in that stream.
    :param decode_configuration: returns ``None`` if the configuration is malformed.
    """

    echo_header: str
    set_backend_headers: SetBackendHeaders
    read_not_run: ReadNotRun
    read_notice: ReadNotice
    read_health: ReadHealth
    servers_stream: str
    configuration_stream: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Configuration | None]
