"""Limits that the operator's configuration sets for clients."""

import math
from dataclasses import dataclass

from ragwortfield.types import Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """
    Limits of every connection of a client.

    :param max_header_bytes: largest head of a request, in bytes.
    :param max_body_bytes: largest body of a request, in bytes.
    :param header_timeout_s: longest time from the first to the last byte of a
        head, in seconds.
    :param idle_timeout_s: longest pause between two requests, between two
        pieces of a body, and until an answer is taken, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: Seconds = 3
    idle_timeout_s: Seconds = 15


#: Limits of servers without a limit on heads of their own, in bytes.
_LENIENT_HEADER_BYTES = 65536
#: Most bytes of an unread body that such a server drops to keep a connection.
_LENIENT_BODY_BYTES = 16_777_216

#: Limits of servers whose clients have none in a configuration.
LENIENT_LIMITS = ClientLimits(
    max_header_bytes=_LENIENT_HEADER_BYTES,
    max_body_bytes=_LENIENT_BODY_BYTES,
    header_timeout_s=math.inf,
    idle_timeout_s=math.inf,
)
