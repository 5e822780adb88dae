"""Unexpected errors while rows are read: each costs its own row only."""

from collections.abc import Iterator
from contextlib import contextmanager

from ragwortfield.log import event
from ragwortfield.ports.row_store import StoredRow


@contextmanager
def confine_row_errors(row: StoredRow) -> Iterator[None]:
    """
    Log an unexpected error with the row that caused it, and go on.

    The rows are read in change feeds that all later rows depend on, and every
    successor reads the same row, so an error must not leave the feed.

    :param row: the row that is read.
    :returns: a context for all work on the row.
    """
    try:
        yield
    # Any error is caught, because all other rows would be lost with this one.
    except Exception as error:
        event(
            'row_unreadable',
            table=row.name.table,
            key=row.name.key,
            reason=f'unexpected {type(error).__name__}: {error}',
        )
