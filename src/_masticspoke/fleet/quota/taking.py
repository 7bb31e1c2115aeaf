"""Take and return the tokens of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.decisions.fleet.quota_tokens import UNKNOWN_RETRY_S
from _masticspoke.fleet.quota.messages import NoToken
from _masticspoke.fleet.quota.messages import QuotaMessage
from _masticspoke.fleet.quota.messages import ReturnToken
from _masticspoke.fleet.quota.messages import TakeToken
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

_BUSY = NoToken(False, UNKNOWN_RETRY_S)


@final
@dataclass(frozen=True, slots=True)
class QuotaPort:
    """What the task of a request needs to take a token."""

    quota: Mailbox[QuotaMessage]


async def take_token(
    port: QuotaPort, organisation: Organisation | None
) -> Token | NoToken | None:
    """Take a token for a request that is not nested.

    :param organisation: the organisation that the request is for.
    :return: ``None`` if the request needs no token.
    """
    if organisation is None or organisation.rate_per_s <= 0:
        return None
    reply: Reply[Token | NoToken] = Reply()
    return await ask_or(port.quota, TakeToken(organisation, reply), reply, _BUSY)


def return_token(port: QuotaPort, token: Token) -> None:
    """Return the token of a request that no guard has run.

    If the mailbox is full, the token expires unused.
    """
    port.quota.tell(ReturnToken(token))
