"""Log of events: one line of key=value pairs each."""

from typing import Any

from absl import logging

#: Characters that make quoting necessary.
_SPECIAL = frozenset(' "=\n\r\t')


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
    logging.log(level, '%s', format_event(name, pairs))


def format_event(name: str, pairs: dict[str, Any]) -> str:
    """
    Format an event.

    :param name: name of the event.
    :param pairs: what is known about it, in the order of the line.
    :returns: one line without a line end.
    """
    parts = [f'event={name}']
    parts.extend(f'{key}={_quoted(text)}' for key, text in pairs.items())
    return ' '.join(parts)


def _is_enabled(level: int) -> bool:
    return logging.get_verbosity() >= level


def _quoted(text: Any) -> str:
    if isinstance(text, float):
        return f'{text:.6g}'
    plain = str(text)
    if plain and not _SPECIAL.intersection(plain):
        return plain
    escaped = plain.replace('\\', '\\\\').replace('"', '\\"')
    return '"{0}"'.format(escaped.replace('\n', '\\n').replace('\r', '\\r'))
