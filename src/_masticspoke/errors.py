"""Typed errors; each message names the remedy."""

from __future__ import annotations

from typing import final


class MasticspokeError(Exception):
    """Base of all errors of this library.

    :param problem: what is wrong.
    :param remedy: what the user can do about it.
    """

    exit_code = 1

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


@final
class SettingsError(MasticspokeError):
    """A settings file, a catalogue file or a command-line argument is not valid."""

    exit_code = 2


@final
class TooManyRestartsError(MasticspokeError):
    """A supervisor stopped because its children crashed too often."""

    exit_code = 3


@final
class LogUnavailableError(MasticspokeError):
    """The log service did not answer, or has dropped records that are needed."""

    exit_code = 4


@final
class ChangeConflictError(MasticspokeError):
    """A change was not accepted: it was made from a version that is not in force."""

    exit_code = 5


@final
class OutcomeUnknownError(MasticspokeError):
    """It is unknown whether a change took effect."""

    exit_code = 6


@final
class TaskCrashedError(MasticspokeError):
    """A task crashed before it replied to a message."""


@final
class NodeUnavailableError(MasticspokeError):
    """A node gave no valid answer."""

    exit_code = 7


@final
class LogFileError(MasticspokeError):
    """A node's log file can't be read or does not contain the request."""

    exit_code = 8
