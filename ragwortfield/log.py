"""Log of events: one line of key=value pairs each."""

from collections.abc import Callable
from typing import Any

from absl import logging

#: Characters that make quoting necessary.
_QUOTED_CHARACTERS = frozenset(' "=\n\r\t')

#: Takes the level and the text of a line.
LineSink = Callable[[int, str], None]


class _EventOutput:
    """Where events go; a daemon that logs much takes them directly."""

    sink: LineSink | None = None


def set_event_sink(sink: LineSink | None) -> None:
    """
    Hand events to a sink instead of absl.logging.

    The logging package spends several times what the event itself costs on
    the caller's place in the source, which these lines do not show.

    :param sink: takes level and text; ``None`` for absl.logging.
    """
    _EventOutput.sink = sink


def event(name: str, *, level: int = logging.INFO, **pairs: Any) -> None:
    """
    Log one event as one line.

    :param name: name of the event, in snake case.
    :param level: level of absl.logging.
    :param pairs: what is known about it.

    Example::

        event('request_refused', request=request_id, code='deadline-passed')
    """
    if not _is_enabled(level):
        return
    text = format_event(name, pairs)
    if _EventOutput.sink is None:
        logging.log(level, '%s', text)
    else:
        _EventOutput.sink(level, text)


def format_event(name: str, pairs: dict[str, Any]) -> str:
    """
    Format an event.

    :param name: name of the event.
    :param pairs: what is known about it, in the order of the line.
    :returns: one line without a line end.
    """
    parts = [f'event={name}']
    parts.extend(f'{key}={_quote(text)}' for key, text in pairs.items())
    return ' '.join(parts)


def _is_enabled(level: int) -> bool:
    return logging.get_verbosity() >= level


def _quote(text: Any) -> str:
    if isinstance(text, float):
        return f'{text:.6g}'
    if isinstance(text, int):
        return str(text)
    plain = str(text)
    if plain and not _QUOTED_CHARACTERS.intersection(plain):
        return plain
    escaped = plain.replace('\\', '\\\\').replace('"', '\\"')
    return '"{0}"'.format(escaped.replace('\n', '\\n').replace('\r', '\\r'))
