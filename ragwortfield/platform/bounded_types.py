"""Types of numbers on the wire, with the ranges that the project can handle.

A number that a decoder accepts can still be too large for a later division or
sum, long after its document was accepted. So the ranges are checked once, when
a document is decoded.
"""

from typing import Annotated

import msgspec

#: Upper bound of integers: floats represent all integers up to it exactly.
MAX_EXACT_INTEGER = 9_007_199_254_740_992

#: Integer of a range that floats represent exactly.
ExactInteger = Annotated[
    int, msgspec.Meta(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)
]
#: The same, but not negative.
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]
#: The same, and not zero.
PositiveNumber = Annotated[int, msgspec.Meta(gt=0, le=MAX_EXACT_INTEGER)]
#: Amount that may be fractional.
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]

_MIN_HEAD_BYTES = 256
_MAX_HEAD_BYTES = 1_048_576
_MIN_BODY_BYTES = 1024
_MAX_BODY_BYTES = 16_777_216
_MIN_TIME_LIMIT_MS = 100
_MAX_TIME_LIMIT_MS = 3_600_000

#: Limit of the head of a request, in bytes; from a line with some fields to
#: what a machine can hold for several connections.
HeadLimit = Annotated[int, msgspec.Meta(ge=_MIN_HEAD_BYTES, le=_MAX_HEAD_BYTES)]
#: Limit of the body of a request, in bytes.
BodyLimit = Annotated[int, msgspec.Meta(ge=_MIN_BODY_BYTES, le=_MAX_BODY_BYTES)]
#: Time limit of a client, in milliseconds; up to an hour.
TimeLimitMs = Annotated[
    int, msgspec.Meta(ge=_MIN_TIME_LIMIT_MS, le=_MAX_TIME_LIMIT_MS)
]
