"""Output of the command line: tables for operators, JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from http import HTTPStatus
from typing import Any

import msgspec

from ragwortfield.command.client import CallFailed, CallOutcome, CallRefused


class ExitStatus(IntEnum):
    """
    Exit statuses of the command line.

    Scripts may rely on them, so a number never changes its meaning.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NO_RESPONSE = 3
    CONFLICT = 4
    UNKNOWN = 5


_CONFLICT_STATUS = HTTPStatus.CONFLICT
#: Error codes after which a change may or may not have taken effect.
_UNKNOWN_OUTCOME_CODES = frozenset(('acceptance-unknown', 'submission-unknown'))


def write_line(text: str) -> None:
    """
    Write a line to standard output.

    :param text: the line, without its line break.
    """
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """
    Write an error message to standard error.

    :param text: the message.
    """
    sys.stderr.write(f'ragwortfield: {text}\n')


def write_json(document: Any) -> None:
    """
    Write a value to standard output as indented JSON.

    :param document: value that can be encoded as JSON.
    """
    text = msgspec.json.format(msgspec.json.encode(document)).decode()
    write_line(text)


def write_table(
    column_names: Sequence[str],
    rows: Iterable[Sequence[Any]],
) -> None:
    """
    Write a table with aligned columns to standard output.

    :param column_names: heading of each column.
    :param rows: cells of each row.
    """
    lines = [tuple(column_names)]
    lines.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(column_names))
    ]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = '  '.join(cell.ljust(width) for cell, width in cells)
        write_line(padded.rstrip())


def report_failure(outcome: CallOutcome) -> ExitStatus:
    """
    Write the error of a call that was refused or failed.

    :param outcome: outcome of the call.
    :returns: the exit status.
    """
    if isinstance(outcome, CallFailed):
        write_error(outcome.reason)
        if outcome.is_effect_possible:
            write_error(
                'the call may have taken effect; check before repeating it'
            )
            return ExitStatus.UNKNOWN
        return ExitStatus.NO_RESPONSE
    if isinstance(outcome, CallRefused):
        write_error(f'{outcome.message} ({outcome.code})')
        if outcome.code in _UNKNOWN_OUTCOME_CODES:
            return ExitStatus.UNKNOWN
        if outcome.status == _CONFLICT_STATUS:
            return ExitStatus.CONFLICT
        return ExitStatus.REFUSED
    return ExitStatus.DONE
