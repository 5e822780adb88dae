"""Messages that nobody expected, drawn from good ones."""

import json
from typing import Any

import cbor2
import msgspec
from hypothesis import HealthCheck, Phase, seed, settings, strategies

#: Integers at and beyond the limits of the wire formats.
_LONGEST = 2**63
_EDGES = (0, -1, 1, -_LONGEST, _LONGEST - 1, 2 * _LONGEST - 1)
_HUGE = (2 * _LONGEST, 10**30, 10**400, -(10**400))
_PIECE_BYTES = 40

_FLOATS = strategies.floats(allow_nan=False, allow_infinity=False)
_TEXTS = strategies.text(max_size=_PIECE_BYTES)
_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.sampled_from(_EDGES),
    _FLOATS,
    _TEXTS,
)
#: Other values of the same kind, which a reader may well let pass.
_ALIKE_BY_KIND = {
    bool: strategies.booleans(),
    int: strategies.sampled_from(_EDGES) | strategies.integers(-3, 20),
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
def _changed(
    draw,
    good: Any,
    other: strategies.SearchStrategy,
    large: tuple[int, ...] = (),
) -> Any:
    """The document, with one value somewhere in it replaced or left out."""
    if (
        isinstance(good, dict | list)
        and good
        and draw(strategies.integers(0, 4))
    ):
        places = sorted(good) if isinstance(good, dict) else range(len(good))
        place = draw(strategies.sampled_from(list(places)))
        copy = good.copy()
        if draw(strategies.integers(0, 5)):
            copy[place] = draw(_changed(good[place], other, large))
        else:
            del copy[place]
        return copy
    alike = _ALIKE_BY_KIND.get(type(good), other)
    if large and isinstance(good, int | float):
        alike |= strategies.sampled_from(large)
    return draw(strategies.one_of(alike, alike, other))


@strategies.composite
def _broken(draw, content: bytes) -> bytes:
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
    changed = _changed(good, _nested(_SCALARS), _HUGE).map(
        lambda one: json.dumps(one).encode(),
    )
    return strategies.one_of(
        changed,
        changed,
        changed,
        _broken(text),
        strategies.binary(max_size=_PIECE_BYTES),
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
    changed = _changed(document, _nested(_SCALARS)).map(msgspec.msgpack.encode)
    return strategies.one_of(
        changed,
        changed,
        changed,
        _broken(content),
        strategies.binary(max_size=_PIECE_BYTES),
    )


def frame_messages(good: Any) -> strategies.SearchStrategy[bytes]:
    """
    Draw frames in the way of a good CBOR document.

    :param good: values of the good frame.
    :returns: bytes; some are readable, and a few even good.
    """
    changed = _changed(good, _nested(_SCALARS)).map(cbor2.dumps)
    return strategies.one_of(
        changed,
        changed,
        _broken(cbor2.dumps(good)),
        strategies.binary(max_size=_PIECE_BYTES),
    )


def text_messages(good: bytes) -> strategies.SearchStrategy[bytes]:
    """
    Draw requests in the way of a good one.

    :param good: the good request, as it goes over the wire.
    :returns: bytes; a few are even good.
    """
    return strategies.one_of(
        _broken(good),
        _broken(good),
        strategies.binary(max_size=_PIECE_BYTES),
    )


def play(test: Any, *, runs: int, first_seed: int) -> None:
    """
    Run a test with arguments drawn by hypothesis and a fixed seed.

    :param test: the test, with ``given`` applied.
    :param runs: how many draws.
    :param first_seed: the seed.
    """
    plan = settings(
        max_examples=runs,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=tuple(HealthCheck),
    )
    plan(seed(first_seed)(test))()
