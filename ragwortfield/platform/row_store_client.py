"""The platform's store, met over HTTP."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import Broken, NotSent, WholeAnswer
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    HistoryGone,
    RowName,
    RowPage,
    StoredRow,
    Transaction,
    TransactionDone,
    TransactionRefused,
)
from ragwortfield.types import Seconds

#: Time that an answer may take beyond the wait that was asked for.
_READ_TIMEOUT_S: Seconds = 1
#: A feed that is silent beyond its wait by this runs on a dead connection.
_FEED_MARGIN_S: Seconds = 0.8
_MS_PER_S = 1000
#: Answers that say that nothing was done.
_NOTHING_DONE = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
_JSON = (('content-type', 'application/json'),)

_Found = TypeVar('_Found')


class _WireRow(msgspec.Struct):
    """Row as the store sends it; a dropped one has no value."""

    table: str = ''
    part: str = ''
    key: str = ''
    value: str | None = None
    ver: int = 0
    tombstone: bool = False


class _WirePage(msgspec.Struct):
    """Answer with rows; ``ver`` is the newest version of the store."""

    rows: list[_WireRow] = []
    ver: int = 0
    more_pages: bool = False


class RowStoreClient:
    """
    Rows of the platform's store.

    :param address: host and port.
    """

    def __init__(self, *, address: str) -> None:
        """Create a client without connections."""
        self._pool = HttpConnectionPool(address=address)

    def read(
        self,
        table: str,
        part: str,
        *,
        first_key: str = '',
        end_key: str = '',
    ) -> RowPage | Unavailable:
        """
        Read rows of a part in the order of their keys.

        :param table: table of the rows.
        :param part: part of the table.
        :param first_key: key to begin with; empty for the first.
        :param end_key: key to end before; empty for the last.
        :returns: one page.
        """
        query = {'table': table, 'part': part}
        if first_key:
            query['from'] = first_key
        if end_key:
            query['to'] = end_key
        answer = self._get(f'/rows-get?{urlencode(query)}', _READ_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            return answer
        return _decoded(answer, table, part)

    def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: Seconds,
    ) -> RowPage | HistoryGone | Unavailable:
        """
        Wait for rows of a table that changed after a version.

        :param table: the table.
        :param after: version up to which changes are known.
        :param wait_s: longest wait, in seconds.
        :returns: the changed rows; empty when nothing changed.
        """
        query = urlencode(
            {
                'table': table,
                'after': after,
                'wait_ms': int(wait_s * _MS_PER_S),
            },
        )
        limit_s = wait_s + _FEED_MARGIN_S
        answer = self._get(f'/rows-feed?{query}', limit_s)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == HTTPStatus.GONE:
            return HistoryGone()
        return _decoded(answer, table, '')

    def commit(
        self,
        transaction: Transaction,
        timeout_s: Seconds,
    ) -> TransactionDone | TransactionRefused | Unavailable:
        """
        Apply all writes or none of them.

        :param transaction: expected versions and writes, all of one part.
        :param timeout_s: longest wait for the answer, in seconds.
        :returns: what is certain about it.
        """
        request = HttpRequest(
            method='POST',
            path='/rows-tx',
            fields=_JSON,
            body=_encoded(transaction),
        )
        answer = self._exchange(request, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == HTTPStatus.OK:
            return _parse(
                answer,
                _WirePage,
                lambda page: TransactionDone(version=page.ver),
            )
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return _parse(
                answer,
                _WirePage,
                lambda page: TransactionRefused(
                    rows=tuple(_row(one, '', '') for one in page.rows),
                ),
            )
        return Unavailable(reason=f'transaction got status {answer.status}')

    def _get(
        self,
        path: str,
        timeout_s: Seconds,
    ) -> WholeAnswer | Unavailable:
        request = HttpRequest(method='GET', path=path)
        answer = self._exchange(request, timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status not in {HTTPStatus.OK, HTTPStatus.GONE}:
            return Unavailable(reason=f'read got status {answer.status}')
        return answer

    def _exchange(
        self,
        request: HttpRequest,
        timeout_s: Seconds,
    ) -> WholeAnswer | Unavailable:
        timeouts = Timeouts(first_byte_s=timeout_s, total_s=timeout_s)
        outcome = self._pool.exchange(request, timeouts)
        if isinstance(outcome, NotSent):
            return Unavailable(reason=outcome.reason)
        if isinstance(outcome, Broken):
            # The other idle connections may be as dead as this one.
            self._pool.retire_connections()
            return Unavailable(reason=outcome.reason, is_effect_possible=True)
        if outcome.status in _NOTHING_DONE:
            return Unavailable(reason=f'the store said {outcome.status}')
        return outcome


def _encoded(transaction: Transaction) -> bytes:
    return msgspec.json.encode(
        {
            'expected_rev': [
                {**_name(one.name), 'ver': one.version}
                for one in transaction.expected
            ],
            'writes': [
                {**_name(one.name), 'value': b64encode(one.content).decode()}
                for one in transaction.writes
                if one.content is not None
            ],
            'remove': [
                _name(one.name)
                for one in transaction.writes
                if one.content is None
            ],
        },
    )


def _name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': name.part, 'key': name.key}


def _decoded(
    answer: WholeAnswer,
    table: str,
    part: str,
) -> RowPage | Unavailable:
    return _parse(
        answer,
        _WirePage,
        lambda page: RowPage(
            rows=tuple(_row(one, table, part) for one in page.rows),
            version=page.ver,
            has_more=page.more_pages,
        ),
    )


def _row(row: _WireRow, table: str, part: str) -> StoredRow:
    content = None
    if row.value is not None and not row.tombstone:
        content = b64decode(row.value)
    return StoredRow(
        name=RowName(
            table=row.table or table,
            part=row.part or part,
            key=row.key,
        ),
        version=row.ver,
        content=content,
    )


def _parse(
    answer: WholeAnswer,
    kind: type[_WirePage],
    convert: Callable[[_WirePage], _Found],
) -> _Found | Unavailable:
    try:
        return convert(msgspec.json.decode(answer.body, type=kind))
    except (msgspec.DecodeError, ValueError) as error:
        return Unavailable(
            reason=f'unreadable answer of the store: {error}',
            is_effect_possible=True,
        )
