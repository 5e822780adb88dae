"""Client of the operators' interface."""

from dataclasses import dataclass
from typing import Any

import msgspec

from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import Broken, NotSent
from ragwortfield.front.operators import OPERATOR_FIELD, OPERATOR_PREFIX

_TIMEOUTS = Timeouts(first_byte_s=10, total_s=10)
_OK_BELOW = 300


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Decoded answer of an entry instance."""

    document: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRefused:
    """
    The instance refused a call.

    :param code: short stable word.
    """

    status: int
    code: str
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """
    No answer came from the instance.

    :param is_effect_possible: whether the call may have taken effect.
    """

    reason: str
    is_effect_possible: bool


#: What a call may come to.
CallOutcome = Reply | CallRefused | CallFailed


class OperatorClient:
    """
    Calls one entry instance.

    :param address: host and port of the instance.
    :param token: the operator token.
    """

    def __init__(self, *, address: str, token: str) -> None:
        """Create a client; it connects with its first call."""
        self._pool = HttpConnectionPool(address=address)
        self._token = token

    def call(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> CallOutcome:
        """
        Make one call.

        :param method: HTTP method.
        :param path: path after the operators' prefix.
        :param document: body of the call.
        :returns: the reply, the refusal, or why there is none.
        """
        body = b'' if document is None else encode_json(document)
        outcome = self._pool.exchange(
            HttpRequest(
                method=method,
                path=f'{OPERATOR_PREFIX}{path}',
                fields=((OPERATOR_FIELD, self._token),),
                body=body,
            ),
            _TIMEOUTS,
        )
        if isinstance(outcome, NotSent):
            return CallFailed(reason=outcome.reason, is_effect_possible=False)
        if isinstance(outcome, Broken):
            return CallFailed(
                reason=outcome.reason,
                is_effect_possible=method != 'GET',
            )
        try:
            decoded = msgspec.json.decode(outcome.body)
        except msgspec.DecodeError as error:
            return CallFailed(
                reason=f'the answer is no JSON: {error}',
                is_effect_possible=method != 'GET',
            )
        if outcome.status < _OK_BELOW:
            return Reply(document=decoded)
        return CallRefused(
            status=outcome.status,
            code=str(decoded.get('error', '')),
            message=str(decoded.get('message', '')),
        )
