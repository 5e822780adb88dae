"""Output of the command line: tables for people, JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from http import HTTPStatus
from typing import Any

import msgspec

from ragwortfield.command.client import CallOutcome, CallRefused, CallFailed


class ExitStatus(IntEnum):
    """
    Exit statuses of the command line.

    They are part of its interface: scripts may rely on them.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHED = 3
    CONFLICT = 4
    UNKNOWN = 5


_CONFLICT_STATUS = HTTPStatus.CONFLICT
_UNKNOWN_CODES = frozenset(('acceptance-unknown', 'submission-unknown'))


def write_line(text: str) -> None:
    """
    Write a line for the operator.

    :param text: the line.
    """
    sys.stdout.write(f'{text}\n')


def write_error(text: str) -> None:
    """
    Write an error for the operator.

    :param text: what was wrong.
    """
    sys.stderr.write(f'ragwortfield: {text}\n')


def write_json(document: Any) -> None:
    """
    Write a document for programs.

    :param document: JSON-compatible value.
    """
    text = msgspec.json.format(msgspec.json.encode(document)).decode()
    write_line(text)


def write_table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """
    Write a table for the operator.

    :param heads: names of the columns.
    :param rows: cells of each row.
    """
    lines = [tuple(heads)]
    lines.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [
        max(len(line[index]) for line in lines) for index in range(len(heads))
    ]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = '  '.join(cell.ljust(width) for cell, width in cells)
        write_line(padded.rstrip())


def fail(outcome: CallOutcome) -> ExitStatus:
    """
    Tell the operator why a call failed.

    :param outcome: a refusal, or that no answer came.
    :returns: the exit status.
    """
    if isinstance(outcome, CallFailed):
        write_error(outcome.reason)
        if outcome.is_effect_possible:
            write_error('the call may have taken effect; look before repeating')
            return ExitStatus.UNKNOWN
        return ExitStatus.UNREACHED
    if isinstance(outcome, CallRefused):
        write_error(f'{outcome.message} ({outcome.code})')
        if outcome.code in _UNKNOWN_CODES:
            return ExitStatus.UNKNOWN
        if outcome.status == _CONFLICT_STATUS:
            return ExitStatus.CONFLICT
        return ExitStatus.REFUSED
    return ExitStatus.DONE
