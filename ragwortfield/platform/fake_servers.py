"""Stand-ins of the platform's store and workers, over HTTP.

They speak the platform's wire and keep their state in the in-memory
stand-ins of ``ragwortfield.testing``. Tests and the demonstration use them;
the scheduler does not.
"""

import time
from base64 import b64decode, b64encode
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import gevent
import msgspec

from ragwortfield.http_api.wsgi import (
    BodyError,
    Response,
    StartResponse,
    get_raw_path,
    read_body,
    send_response,
)
from ragwortfield.platform.task_worker_client import parse_task_name
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    HistoryGone,
    RowName,
    RowPage,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionDone,
)
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseOrder,
    OrderDone,
    OrderOutcome,
    OrderRefused,
    PaceRun,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.types import Seconds

_MAX_BODY_BYTES = 1048576
_MS_PER_S = 1000
#: Time between looks for a change, in seconds.
_POLL_S: Seconds = 0.005
#: Time between looks at the tasks of a worker, in seconds.
_WORK_S: Seconds = 0.02
_FULL = 100

Document = dict[str, Any]


class FakeStoreServer:
    """
    WSGI application of the store.

    :param store: where the rows are.
    """

    def __init__(self, *, store: FakeRowStore) -> None:
        """Create the application."""
        self.store = store

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Answer one call.

        :param environ: WSGI environment.
        :param start_response: the server's function.
        :returns: the body.
        """
        path, _, query = get_raw_path(environ).partition('?')
        asked = dict(parse_qsl(query))
        if self.store.is_down:
            return send_response(
                _document(HTTPStatus.SERVICE_UNAVAILABLE, {}), start_response
            )
        if path == '/rows-get':
            response = self._read(asked)
        elif path == '/rows-feed':
            response = self._follow(asked)
        else:
            response = self._commit(environ)
        return send_response(response, start_response)

    def _read(self, asked: dict[str, str]) -> Response:
        page = self.store.read(
            asked['table'],
            asked['part'] if 'part' in asked else '',
            first_key=asked.get('from', ''),
            end_key=asked.get('to', ''),
        )
        return _page(page)

    def _follow(self, asked: dict[str, str]) -> Response:
        wait_s = int(asked['wait_ms']) / _MS_PER_S
        end = time.monotonic() + wait_s
        after = int(asked['after'])
        while True:
            page = self.store.wait_for_changes(asked['table'], after, 0)
            is_news = not isinstance(page, RowPage) or page.rows
            if is_news or time.monotonic() > end:
                return _page(page)
            gevent.sleep(_POLL_S)

    def _commit(self, environ: dict[str, Any]) -> Response:
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return _document(body.status, {})
        wire = msgspec.json.decode(body)
        outcome = self.store.commit(_transaction(wire), 0)
        if isinstance(outcome, Unavailable):
            return _document(HTTPStatus.SERVICE_UNAVAILABLE, {})
        if isinstance(outcome, TransactionDone):
            return _document(HTTPStatus.OK, {'ver': outcome.version})
        rows = [_wire_row(row) for row in outcome.rows]
        return _document(HTTPStatus.PRECONDITION_FAILED, {'rows': rows})


class FakeTaskWorkerServer:
    """
    WSGI application of one worker, and the work of its tasks.

    A task's text is ``sleep SECONDS`` or ``fail``.

    :param worker: its state.
    """

    def __init__(self, *, worker: FakeTaskWorker) -> None:
        """Create the application."""
        self.worker = worker
        self._text_by_run: dict[tuple[TaskKey, int], str] = {}

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Answer one order.

        :param environ: WSGI environment.
        :param start_response: the server's function.
        :returns: the body.
        """
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return send_response(_document(body.status, {}), start_response)
        order = msgspec.json.decode(body)
        path = get_raw_path(environ)
        if path == '/hold':
            return send_response(self._hold(order), start_response)
        return send_response(self._order(path, order), start_response)

    def run_tasks(self) -> None:
        """Let the tasks work, for ever."""
        while True:
            gevent.sleep(_WORK_S)
            self.worker.expire_lease()
            now = self.worker.clock()
            for key, run in tuple(self.worker.run_by_key.items()):
                text = self._text_by_run.get((key, run.run), 'fail')
                name, _, length = text.partition(' ')
                if name == 'fail':
                    self.worker.end(key, EndKind.FAILED)
                elif now - run.started_at > float(length):
                    self.worker.end(key, EndKind.DONE)

    def _hold(self, order: Document) -> Response:
        lease = LeaseOrder(
            worker_id=self.worker.worker_id,
            address='',
            fencing_token=order['fence_token'],
            acknowledged=order['ack_cursor'],
            deadline_ms=order.get('deadline_ms'),
            wait_ms=order.get('wait_ms', 0),
        )
        report = self.worker.renew_lease(lease)
        end = time.monotonic() + lease.wait_ms / _MS_PER_S
        while not isinstance(report, OrderRefused) and not report.ends:
            if time.monotonic() > end:
                break
            gevent.sleep(_POLL_S)
            report = self.worker.renew_lease(lease)
        if isinstance(report, OrderRefused):
            return _answer(report)
        return _document(
            HTTPStatus.OK,
            {
                'clock_ms': report.clock_ms,
                'born': report.born_ms,
                'running': [
                    [_name(run.key), run.run, run.checkpoint, _FULL]
                    for run in report.runs
                ],
                'ended': [
                    [one.number, _name(one.key), one.run, one.kind, '']
                    for one in report.ends
                ],
            },
        )

    def _order(self, path: str, order: Document) -> Response:
        key = parse_task_name(order['task'])
        if key is None:
            return _document(HTTPStatus.BAD_REQUEST, {})
        common = {
            'worker_id': self.worker.worker_id,
            'address': '',
            'key': key,
            'run': order['run'],
            'fencing_token': order['fence_token'],
        }
        if path == '/run-stop':
            return _answer(self.worker.stop(StopRun(**common)))
        if path == '/pace':
            return _answer(
                self.worker.pace(PaceRun(**common, percent=order['percent'])),
            )
        self._text_by_run[key, order['run']] = order['spec']
        start = StartRun(
            **common,
            spec=order['spec'],
            checkpoint=order.get('last_checkpoint', ''),
            deadline_ms=order['deadline_ms'],
        )
        return _answer(self.worker.start(start))


def encode_worker_entry(
    worker: FakeTaskWorker, address: str, pool: str
) -> bytes:
    """
    Write a worker's own entry as the platform's workers do.

    :param worker: the worker.
    :param address: where it takes orders.
    :param pool: its pool.
    :returns: the entry.
    """
    return msgspec.json.encode(
        {
            'service': pool,
            'address': address,
            'zone': 'bergamo',
            'state': 'ready',
            'room': {
                'cpu': int(worker.capacity.cpu * _MS_PER_S),
                'mem_mb': worker.capacity.memory_mb,
                'gpu': worker.capacity.accelerators,
            },
            'labels': ['kind', 'rack-1'],
            'clock_ms': int(worker.now_ms()),
            'born': int(worker.born_at * _MS_PER_S),
        },
    )


def encode_configuration(version: int, prefix: str, pool: str) -> bytes:
    """
    Write a configuration with one queue as the platform's operator does.

    :param version: its version.
    :param prefix: path prefix of the queue.
    :param pool: pool that runs its tasks.
    :returns: the document.
    """
    return msgspec.json.encode(
        {
            'version': version,
            'routes': [
                {
                    'name': 'queue',
                    'host': '127.0.0.1',
                    'path_prefix': prefix,
                    'service': pool,
                    'attempts': 2,
                    'stretch': 2.0,
                    'target_latency_ms': _MS_PER_S,
                },
            ],
            'services': [{'name': pool, 'enforces_capacity': True}],
        },
    )


def encode_job(text: str, counts: tuple[int, ...]) -> bytes:
    """
    Write a job as the platform's clients do.

    :param text: what each task does.
    :param counts: tasks of each step; each step waits for the one before.
    :returns: the document.
    """
    steps = [
        {
            'count': count,
            'cpu': 500,
            'mem_mb': 1,
            'est_ms': 100,
            'after': [number - 1] if number else [],
        }
        for number, count in enumerate(counts)
    ]
    return msgspec.json.encode({'spec': text, 'steps': steps})


def _transaction(wire: Document) -> Transaction:
    writes = [
        RowWrite(name=_row_name(one), content=b64decode(one['value']))
        for one in wire['writes']
    ]
    writes.extend(
        RowWrite(name=_row_name(one), content=None) for one in wire['remove']
    )
    return Transaction(
        expected=tuple(
            ExpectedVersion(name=_row_name(one), version=one['ver'])
            for one in wire['expected_rev']
        ),
        writes=tuple(writes),
    )


def _row_name(wire: Document) -> RowName:
    return RowName(table=wire['table'], part=wire['part'], key=wire['key'])


def _wire_row(row: StoredRow) -> Document:
    document = {
        'table': row.name.table,
        'part': row.name.part,
        'key': row.name.key,
        'ver': row.version,
    }
    if row.content is None:
        return {**document, 'tombstone': True}
    return {**document, 'value': b64encode(row.content).decode()}


def _page(page: RowPage | HistoryGone | Unavailable) -> Response:
    if isinstance(page, HistoryGone):
        return _document(HTTPStatus.GONE, {})
    if isinstance(page, Unavailable):
        return _document(HTTPStatus.SERVICE_UNAVAILABLE, {})
    return _document(
        HTTPStatus.OK,
        {
            'rows': [_wire_row(row) for row in page.rows],
            'ver': page.version,
            'more_pages': page.has_more,
        },
    )


def _answer(outcome: OrderOutcome) -> Response:
    if isinstance(outcome, OrderDone):
        return _document(HTTPStatus.OK, {'clock_ms': outcome.clock_ms})
    if isinstance(outcome, OrderRefused):
        return _document(
            HTTPStatus.CONFLICT,
            {'clock_ms': outcome.clock_ms, 'reason': outcome.refusal.value},
        )
    return _document(HTTPStatus.INTERNAL_SERVER_ERROR, {})


def _document(status: int, document: Document) -> Response:
    return Response(
        status=status,
        fields=(('content-type', 'application/json'),),
        body=msgspec.json.encode(document),
    )


def _name(key: TaskKey) -> str:
    return '.'.join(str(part) for part in key)
