"""Structured log: each event is one line of key=value pairs."""

from collections.abc import Callable
from typing import Any

from absl import logging

#: A value that contains one of these characters is quoted.
_QUOTED_CHARACTERS = frozenset(' "=')

#: Takes the level (of absl.logging) and the text of one log line.
LineSink = Callable[[int, str], None]


class _EventOutput:
    """Sink of all events of the process; ``None`` for absl.logging."""

    sink: LineSink | None = None


def set_event_sink(sink: LineSink | None) -> None:
    """
    Send all events to a sink instead of absl.logging.

    For processes that log much: the logging package looks up the caller's
    file and line, which costs several times as much as the event itself, and
    the lines of events don't show it.

    :param sink: function that takes level and text; ``None`` for absl.logging.
    """
    _EventOutput.sink = sink


def event(name: str, *, level: int = logging.INFO, **pairs: Any) -> None:
    """
    Log one event as one line.

    :param name: name of the event, in snake case.
    :param level: level of absl.logging; events that are less severe than its
        verbosity admits are not logged.
    :param pairs: values by key, in the order of the line.

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
    Format an event as one log line.

    :param name: name of the event.
    :param pairs: values by key, in the order of the line.
    :returns: the line, without a newline.
    """
    parts = [f'event={name}']
    parts.extend(f'{key}={_quote(value)}' for key, value in pairs.items())
    return ' '.join(parts)


def _is_enabled(level: int) -> bool:
    return logging.get_verbosity() >= level


def _quote(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    if isinstance(value, int):
        return str(value)
    text = str(value)
    is_printable = text.isprintable()
    if is_printable and text and not _QUOTED_CHARACTERS.intersection(text):
        return text
    escaped = text.replace('\\', '\\\\') if is_printable else _escape(text)
    return '"{0}"'.format(escaped.replace('"', '\\"'))


def _escape(text: str) -> str:
    """Escape backslashes, and characters that a line cannot contain."""
    return ''.join(
        character
        if character.isprintable() and character != '\\'
        else character.encode('unicode_escape').decode()
        for character in text
    )
