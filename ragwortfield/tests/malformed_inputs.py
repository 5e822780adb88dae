"""Messages that nobody expected, drawn from good ones."""

import json
from typing import Any

import cbor2
import msgspec
from hypothesis import HealthCheck, Phase, seed, settings, strategies

#: Integers at and beyond the limits of the wire formats.
_INT64_LIMIT = 2**63
_BOUNDARY_INTEGERS = (
    0,
    -1,
    1,
    -_INT64_LIMIT,
    _INT64_LIMIT - 1,
    2 * _INT64_LIMIT - 1,
)
_OVERSIZED_INTEGERS = (2 * _INT64_LIMIT, 10**30, 10**400, -(10**400))
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
#: Other values of the same kind, which a reader may well let pass.
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
    """The document, with one value somewhere in it replaced or left out."""
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
    """Bytes with a piece of them cut out, repeated or replaced."""
    start = draw(strategies.integers(0, len(content)))
    end = draw(strategies.integers(start, min(start + 9, len(content))))
    return content[:start] + draw(strategies.binary(max_size=9)) + content[end:]


def json_messages(good: Any) -> strategies.SearchStrategy[bytes]:
    """
    Draw bodies in the way of a good JSON document.

    :param good: values of the good document.
    :returns: bytes; some are readable, and a few even good.
    """
    text = json.dumps(good).encode()
    mutated = _mutated_document(
        good, _nested(_SCALARS), _OVERSIZED_INTEGERS
    ).map(
        lambda one: json.dumps(one).encode(),
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
    Draw rows in the way of a good record.

    :param good: the record.
    :returns: MessagePack bytes; some are readable, and a few even good.
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
    Draw frames in the way of a good CBOR document.

    :param good: values of the good frame.
    :returns: bytes; some are readable, and a few even good.
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
    Draw requests in the way of a good one.

    :param good: the good request, as it goes over the wire.
    :returns: bytes; a few are even good.
    """
    return strategies.one_of(
        _mutated_bytes(good),
        _mutated_bytes(good),
        strategies.binary(max_size=_MAX_PIECE_BYTES),
    )


def run_examples(test: Any, *, runs: int, first_seed: int) -> None:
    """
    Run a test with arguments drawn by hypothesis and a fixed seed.

    :param test: the test, with ``given`` applied.
    :param runs: how many draws.
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
