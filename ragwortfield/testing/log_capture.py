"""Capture of log events in tests."""

from collections.abc import Iterator
from contextlib import contextmanager

from absl import logging

from ragwortfield.log import set_event_sink


@contextmanager
def capture_log_lines() -> Iterator[list[str]]:
    """
    Collect the lines of log events instead of writing them.

    The level of the log is INFO while the context lasts.

    :returns: context manager with the list that lines are appended to.
    """
    lines: list[str] = []
    level = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    set_event_sink(lambda _level, text: lines.append(text))
    try:
        yield lines
    finally:
        set_event_sink(None)
        logging.set_verbosity(level)
