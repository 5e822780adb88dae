"""HTTP client of the operator API of an entry instance."""

from dataclasses import dataclass
from typing import Any

import msgspec

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.core.outcomes import Broken, NotSent
from ragwortfield.http_api.operator_api import (
    OPERATOR_PATH_PREFIX,
    OPERATOR_TOKEN_HEADER,
)

_TIMEOUTS = Timeouts(first_byte_s=10, total_s=10)
#: Smallest HTTP status that is not a success.
_FIRST_NON_SUCCESS_STATUS = 300


@dataclass(frozen=True, kw_only=True, slots=True)
class CallSucceeded:
    """
    Successful call.

    :param document: decoded JSON body of the response.
    """

    document: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRefused:
    """
    Call that the instance answered with an error.

    :param status: HTTP status.
    :param code: error code, stable across versions.
    :param message: explanation for the operator.
    """

    status: int
    code: str
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """
    Call without a usable response.

    :param reason: why there is none.
    :param is_effect_possible: whether the call may have taken effect.
    """

    reason: str
    is_effect_possible: bool


#: Outcome of a call to the operator API.
CallOutcome = CallSucceeded | CallRefused | CallFailed


class OperatorClient:
    """
    Client of the operator API of one entry instance.

    :param address: host and port of the instance.
    :param token: operator token, sent with each call.
    """

    def __init__(self, *, address: str, token: str) -> None:
        """Create a client; it connects on the first call."""
        self._pool = HttpConnectionPool(address=address)
        self._token = token

    def call(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> CallOutcome:
        """
        Call the operator API.

        :param method: HTTP method.
        :param path: path below the prefix of the operator API.
        :param document: value to send as JSON; ``None`` for an empty body.
        :returns: the reply, the refusal, or why the call failed.
        """
        body = b'' if document is None else encode_json(document)
        outcome = self._pool.exchange(
            HttpRequest(
                method=method,
                path=f'{OPERATOR_PATH_PREFIX}{path}',
                fields=((OPERATOR_TOKEN_HEADER, self._token),),
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
                reason=f'response is not valid JSON: {error}',
                is_effect_possible=method != 'GET',
            )
        if outcome.status < _FIRST_NON_SUCCESS_STATUS:
            return CallSucceeded(document=decoded)
        return CallRefused(
            status=outcome.status,
            code=str(decoded.get('error', '')),
            message=str(decoded.get('message', '')),
        )
