"""Strategies for malformed messages and rows, mutated from valid ones."""

import json
from typing import Any

import cbor2
import msgspec
from hypothesis import HealthCheck, Phase, seed, settings, strategies

#: Limit of a signed integer of 64 bits.
_INT64_LIMIT = 2**63
#: Integers at the limits of the wire formats.
_BOUNDARY_INTEGERS = (
    0,
    -1,
    1,
    -_INT64_LIMIT,
    _INT64_LIMIT - 1,
    2 * _INT64_LIMIT - 1,
)
#: Integers beyond the limits; the longest ones do not fit into a float either.
_OVERSIZED_INTEGERS = (2 * _INT64_LIMIT, 10**30, 10**400, -(10**400))
#: Longest random text, in characters, and longest random message, in bytes.
_MAX_PIECE_BYTES = 40

_FLOATS = strategies.floats(allow_nan=False, allow_infinity=False)
_TEXTS = strategies.text(max_size=_MAX_PIECE_BYTES)
_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.sampled_from(_BOUNDARY_INTEGERS),
    _FLOATS,
    _TEXTS,
)
#: Other values of the same type, which a decoder may accept.
_STRATEGY_BY_TYPE = {
    bool: strategies.booleans(),
    int: strategies.sampled_from(_BOUNDARY_INTEGERS)
    | strategies.integers(-3, 20),
    float: _FLOATS,
    str: _TEXTS,
}


def _nested(scalars: strategies.SearchStrategy) -> strategies.SearchStrategy:
    return strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=5), inner, max_size=3
            )
        ),
        max_leaves=6,
    )


@strategies.composite
def _mutated_document(
    draw,
    good: Any,
    any_value: strategies.SearchStrategy,
    oversized: tuple[int, ...] = (),
) -> Any:
    """Replace or remove one value at any depth of a document."""
    if (
        isinstance(good, dict | list)
        and good
        and draw(strategies.integers(0, 4))
    ):
        keys = sorted(good) if isinstance(good, dict) else range(len(good))
        key = draw(strategies.sampled_from(list(keys)))
        copy = good.copy()
        if draw(strategies.integers(0, 5)):
            copy[key] = draw(_mutated_document(good[key], any_value, oversized))
        else:
            del copy[key]
        return copy
    same_type = _STRATEGY_BY_TYPE.get(type(good), any_value)
    if oversized and isinstance(good, int | float):
        same_type |= strategies.sampled_from(oversized)
    return draw(strategies.one_of(same_type, same_type, any_value))


@strategies.composite
def _mutated_bytes(draw, content: bytes) -> bytes:
    """Replace a slice of up to 9 bytes by up to 9 random bytes."""
    start = draw(strategies.integers(0, len(content)))
    end = draw(strategies.integers(start, min(start + 9, len(content))))
    return content[:start] + draw(strategies.binary(max_size=9)) + content[end:]


def json_messages(good: Any) -> strategies.SearchStrategy[bytes]:
    """
    Draw request bodies that resemble a valid JSON document.

    :param good: the valid document, before encoding.
    :returns: strategy for bytes; some can be decoded, and a few are valid.
    """
    text = json.dumps(good).encode()
    mutated = _mutated_document(
        good, _nested(_SCALARS), _OVERSIZED_INTEGERS
    ).map(
        lambda document: json.dumps(document).encode(),
    )
    return strategies.one_of(
        mutated,
        mutated,
        mutated,
        _mutated_bytes(text),
        strategies.binary(max_size=_MAX_PIECE_BYTES),
    )


def record_messages(good: object) -> strategies.SearchStrategy[bytes]:
    """
    Draw contents of rows that resemble a valid record.

    :param good: the valid record.
    :returns: strategy for MessagePack bytes; some can be decoded, and a few are
        valid.
    """
    content = msgspec.msgpack.encode(good)
    document = msgspec.to_builtins(good, builtin_types=(bytes,))
    document = json.loads(msgspec.json.encode(document))
    mutated = _mutated_document(document, _nested(_SCALARS)).map(
        msgspec.msgpack.encode
    )
    return strategies.one_of(
        mutated,
        mutated,
        mutated,
        _mutated_bytes(content),
        strategies.binary(max_size=_MAX_PIECE_BYTES),
    )


def frame_messages(good: Any) -> strategies.SearchStrategy[bytes]:
    """
    Draw frames that resemble a valid CBOR document.

    :param good: the valid document, before encoding.
    :returns: strategy for bytes; some can be decoded, and a few are valid.
    """
    mutated = _mutated_document(good, _nested(_SCALARS)).map(cbor2.dumps)
    return strategies.one_of(
        mutated,
        mutated,
        _mutated_bytes(cbor2.dumps(good)),
        strategies.binary(max_size=_MAX_PIECE_BYTES),
    )


def request_messages(good: bytes) -> strategies.SearchStrategy[bytes]:
    """
    Draw HTTP requests that resemble a valid one.

    :param good: the valid request, as sent on the wire.
    :returns: strategy for bytes; a few are valid.
    """
    return strategies.one_of(
        _mutated_bytes(good),
        _mutated_bytes(good),
        strategies.binary(max_size=_MAX_PIECE_BYTES),
    )


def run_examples(test: Any, *, runs: int, first_seed: int) -> None:
    """
    Run a test with arguments that Hypothesis draws from a fixed seed.

    :param test: the test, decorated with ``given``.
    :param runs: maximum number of examples.
    :param first_seed: the seed.
    """
    example_settings = settings(
        max_examples=runs,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=tuple(HealthCheck),
    )
    example_settings(seed(first_seed)(test))()
