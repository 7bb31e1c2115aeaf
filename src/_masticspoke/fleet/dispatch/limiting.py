"""Let a request of an organisation run only with a token of it."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from _masticspoke.decisions.fleet.model import Organisation
from _masticspoke.fleet.dispatch.incoming import Outcome
from _masticspoke.fleet.dispatch.incoming import Unanswered
from _masticspoke.fleet.guard.guarding import Answer
from _masticspoke.fleet.quota.messages import NoToken
from _masticspoke.fleet.quota.messages import Token
from _masticspoke.fleet.quota.taking import QuotaPort
from _masticspoke.fleet.quota.taking import return_token
from _masticspoke.fleet.quota.taking import take_token
from _masticspoke.http_server import Streamed

Result = Answer | Streamed | Unanswered


async def send_within_limit(
    port: QuotaPort,
    organisation: Organisation | None,
    send: Callable[[], Awaitable[Result]],
) -> Result:
    """Send a request that is not nested, if its organisation's limit allows.

    :param organisation: ``None`` if the request is for none.
    :param send: sends it as often as it takes; all of that needs one token.
    """
    taken = await take_token(port, organisation)
    if isinstance(taken, NoToken):
        return _without_token(taken)
    result = await send()
    if isinstance(taken, Token) and _has_not_run(result):
        return_token(port, taken)
    return result


def _without_token(refusal: NoToken) -> Unanswered:
    if refusal.limit_reached:
        return Unanswered(Outcome.LIMITED, "quota", refusal.retry_s)
    return Unanswered(Outcome.REFUSED, "quota-unknown", refusal.retry_s)


def _has_not_run(result: Result) -> bool:
    return isinstance(result, Unanswered) and result.outcome is Outcome.REFUSED
