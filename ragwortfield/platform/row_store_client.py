"""HTTP client of the platform's row store."""

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
from ragwortfield.adapters.json_codec import DECODE_ERRORS
from ragwortfield.core.outcomes import Broken, NotSent, WholeAnswer
from ragwortfield.log import event
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

#: Longest wait for the response to a read, in seconds.
_READ_TIMEOUT_S: Seconds = 1
#: Time beyond the requested wait after which the response of the change feed
#: times out, in seconds; the connection is assumed dead then.
_FEED_TIMEOUT_MARGIN_S: Seconds = 0.8
#: Longest pause between two pieces of the response to a read, in seconds, and
#: longest time for all of it. A large response takes seconds over a link that
#: many instances share; to ask for it again from the beginning would make the
#: link fuller.
_MAX_SILENCE_S: Seconds = 1
_MAX_READ_S: Seconds = 15
_MS_PER_S = 1000
#: Statuses with which the store says that a request had no effect.
_NO_EFFECT_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
_JSON_HEADERS = (('content-type', 'application/json'),)

_Parsed = TypeVar('_Parsed')


class _WireRow(msgspec.Struct):
    """Row in a response; a deleted row has no value."""

    table: str = ''
    part: str = ''
    key: str = ''
    value: str | None = None
    ver: int = 0
    tombstone: bool = False


class _WirePage(msgspec.Struct):
    """Response with rows; ``ver`` is the store's latest version."""

    rows: list[_WireRow] = []
    ver: int = 0
    more_pages: bool = False


class RowStoreClient:
    """
    HTTP client of the row store.

    :param address: host and port of the store.
    """

    def __init__(self, *, address: str) -> None:
        """Create a client; it connects on the first request."""
        self._pool = HttpConnectionPool(address=address)

    def read(
        self,
        table: str,
        partition: str,
        *,
        first_key: str = '',
        end_key: str = '',
    ) -> RowPage | Unavailable:
        """
        Read rows of a partition in key order.

        :param table: name of the table.
        :param partition: partition of the table.
        :param first_key: lowest key to read; empty for no lower bound.
        :param end_key: key before which the read ends; empty for no upper
            bound.
        :returns: one page of rows.
        """
        query = {'table': table, 'part': partition}
        if first_key:
            query['from'] = first_key
        if end_key:
            query['to'] = end_key
        answer = self._get(f'/rows-get?{urlencode(query)}', _READ_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            return answer
        return _parse_page(answer, table, partition)

    def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: Seconds,
    ) -> RowPage | HistoryGone | Unavailable:
        """
        Wait until rows of a table change after a version.

        :param table: name of the table.
        :param after: version up to which changes are known.
        :param wait_s: longest time that the store waits for a change, in
            seconds.
        :returns: the changed rows; no rows when nothing changed in time.
        """
        query = urlencode(
            {
                'table': table,
                'after': after,
                'wait_ms': int(wait_s * _MS_PER_S),
            },
        )
        timeout_s = wait_s + _FEED_TIMEOUT_MARGIN_S
        answer = self._get(f'/rows-feed?{query}', timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == HTTPStatus.GONE:
            return HistoryGone()
        return _parse_page(answer, table, '')

    def commit(
        self,
        transaction: Transaction,
        timeout_s: Seconds,
    ) -> TransactionDone | TransactionRefused | Unavailable:
        """
        Apply all writes atomically.

        :param transaction: expected versions and writes, all of one partition.
        :param timeout_s: longest wait for the response, in seconds.
        :returns: whether the transaction was committed or refused, as far as
            known.
        """
        request = HttpRequest(
            method='POST',
            path='/rows-tx',
            fields=_JSON_HEADERS,
            body=_encode_transaction(transaction),
        )
        answer = self._exchange(
            request,
            Timeouts(first_byte_s=timeout_s, total_s=timeout_s),
        )
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
                    rows=tuple(_build_row(row, '', '') for row in page.rows),
                ),
            )
        return Unavailable(
            reason=f'store responded {answer.status} to a transaction'
        )

    def _get(
        self,
        path: str,
        timeout_s: Seconds,
    ) -> WholeAnswer | Unavailable:
        request = HttpRequest(method='GET', path=path)
        answer = self._exchange(
            request,
            Timeouts(
                first_byte_s=timeout_s,
                total_s=_MAX_READ_S,
                silence_s=_MAX_SILENCE_S,
            ),
        )
        if isinstance(answer, Unavailable):
            return answer
        if answer.status not in {HTTPStatus.OK, HTTPStatus.GONE}:
            return Unavailable(
                reason=f'store responded {answer.status} to a read'
            )
        return answer

    def _exchange(
        self,
        request: HttpRequest,
        timeouts: Timeouts,
    ) -> WholeAnswer | Unavailable:
        outcome = self._pool.exchange(request, timeouts)
        # A burst leaves connections that are too old for further requests.
        self._pool.close_spare()
        if isinstance(outcome, NotSent):
            return Unavailable(reason=outcome.reason)
        if isinstance(outcome, Broken):
            # The other idle connections to the store may be dead as well.
            self._pool.retire_connections()
            return Unavailable(reason=outcome.reason, is_effect_possible=True)
        if outcome.status in _NO_EFFECT_STATUSES:
            return Unavailable(reason=f'store responded {outcome.status}')
        return outcome


def _encode_transaction(transaction: Transaction) -> bytes:
    return msgspec.json.encode(
        {
            'expected_rev': [
                {**_encode_row_name(expected.name), 'ver': expected.version}
                for expected in transaction.expected
            ],
            'writes': [
                {
                    **_encode_row_name(write.name),
                    'value': b64encode(write.content).decode(),
                }
                for write in transaction.writes
                if write.content is not None
            ],
            'remove': [
                _encode_row_name(write.name)
                for write in transaction.writes
                if write.content is None
            ],
        },
    )


def _encode_row_name(name: RowName) -> dict[str, str]:
    return {'table': name.table, 'part': name.partition, 'key': name.key}


def _parse_page(
    answer: WholeAnswer,
    table: str,
    partition: str,
) -> RowPage | Unavailable:
    return _parse(
        answer,
        _WirePage,
        lambda page: RowPage(
            rows=tuple(_build_row(row, table, partition) for row in page.rows),
            version=page.ver,
            has_more=page.more_pages,
        ),
    )


def _build_row(row: _WireRow, table: str, partition: str) -> StoredRow:
    name = RowName(
        table=row.table or table,
        partition=row.part or partition,
        key=row.key,
    )
    content = None
    if row.value is not None and not row.tombstone:
        content = _decode_value(name, row.value)
    return StoredRow(name=name, version=row.ver, content=content)


def _decode_value(name: RowName, text: str) -> bytes:
    """Decode base64; a row whose value is not base64 has no bytes."""
    try:
        return b64decode(text)
    except ValueError as error:
        event(
            'row_unreadable',
            table=name.table,
            key=name.key,
            reason=f'value is not base64: {error}',
        )
        return b''


def _parse(
    answer: WholeAnswer,
    kind: type[_WirePage],
    convert: Callable[[_WirePage], _Parsed],
) -> _Parsed | Unavailable:
    try:
        return convert(msgspec.json.decode(answer.body, type=kind))
    except DECODE_ERRORS as error:
        return Unavailable(
            reason=f'malformed response of the store: {error}',
            is_effect_possible=True,
        )
