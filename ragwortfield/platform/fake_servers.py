"""Fake HTTP servers of the platform's row store and workers.

They speak the platform's protocol and keep their state in the in-memory fakes
of ``ragwortfield.testing``. Only tests and the demonstration use them.
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
    get_header,
    get_raw_path,
    read_body,
    send_response,
)
from ragwortfield.platform.task_worker_client import (
    INCARNATION_HEADER,
    parse_task_name,
)
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
from ragwortfield.types import MonotonicTime, Seconds

_MAX_BODY_BYTES = 1048576
_MS_PER_S = 1000
#: Interval between checks for a changed row or an ended run, in seconds.
_POLL_INTERVAL_S: Seconds = 0.005
#: Interval between checks for tasks that are due to end, in seconds.
_TASK_CHECK_INTERVAL_S: Seconds = 0.02
_STRAGGLER_FACTOR = 7
_FULL_SPEED_PERCENT = 100
#: CPU amounts on the wire are in thousandths of a core.
_MILLICORES_PER_CORE = 1000
#: Latency target of the queue that ``encode_configuration`` writes, in
#: milliseconds.
_TARGET_LATENCY_MS = 1000

Document = dict[str, Any]


class FakeStoreServer:
    """
    WSGI application that fakes the row store.

    :param store: in-memory store with the rows.
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
        Handle one request.

        :param environ: WSGI environment.
        :param start_response: WSGI function that starts the response.
        :returns: chunks of the response body.
        """
        path, _, query = get_raw_path(environ).partition('?')
        parameters = dict(parse_qsl(query))
        if self.store.is_down:
            return send_response(
                _make_json_response(HTTPStatus.SERVICE_UNAVAILABLE, {}),
                start_response,
            )
        if path == '/rows-get':
            response = self._read(parameters)
        elif path == '/rows-feed':
            response = self._wait_for_changes(parameters)
        else:
            response = self._commit(environ)
        return send_response(response, start_response)

    def _read(self, parameters: dict[str, str]) -> Response:
        page = self.store.read(
            parameters['table'],
            parameters['part'] if 'part' in parameters else '',
            first_key=parameters.get('from', ''),
            end_key=parameters.get('to', ''),
        )
        return _make_page_response(page)

    def _wait_for_changes(self, parameters: dict[str, str]) -> Response:
        wait_s = int(parameters['wait_ms']) / _MS_PER_S
        wait_ends_at = time.monotonic() + wait_s
        after = int(parameters['after'])
        while True:
            version = self.store.version
            page = self.store.wait_for_changes(parameters['table'], after, 0)
            is_complete = not isinstance(page, RowPage) or page.rows
            if is_complete or time.monotonic() > wait_ends_at:
                return _make_page_response(page)
            self._wait_for_version_after(version, wait_ends_at)

    def _wait_for_version_after(
        self, version: int, wait_ends_at: MonotonicTime
    ) -> None:
        while time.monotonic() <= wait_ends_at:
            gevent.sleep(_POLL_INTERVAL_S)
            is_history_cut = self.store.history_start_version > version
            if self.store.version > version or is_history_cut:
                return
            if self.store.is_down:
                return

    def _commit(self, environ: dict[str, Any]) -> Response:
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return _make_json_response(body.status, {})
        wire = msgspec.json.decode(body)
        outcome = self.store.commit(_parse_transaction(wire), 0)
        if isinstance(outcome, Unavailable):
            return _make_json_response(HTTPStatus.SERVICE_UNAVAILABLE, {})
        if isinstance(outcome, TransactionDone):
            return _make_json_response(HTTPStatus.OK, {'ver': outcome.version})
        rows = [_encode_row(row) for row in outcome.rows]
        return _make_json_response(
            HTTPStatus.PRECONDITION_FAILED, {'rows': rows}
        )


class FakeTaskWorkerServer:
    """
    WSGI application that fakes one worker and simulates its tasks.

    The command of a task is ``sleep SECONDS`` or ``fail``.

    :param worker: state of the worker.
    :ivar slowdown: factor on the duration of all tasks.
    :ivar is_failing: whether all tasks fail.
    :ivar is_unhealthy: whether starts are refused without a reason.
    :ivar is_paused: whether no task makes progress or ends.
    :ivar straggler_interval: one run in each so many tasks of a step takes
        seven times as long; 0 for none.
    :ivar percent: speed of all tasks that the worker reports, in percent.
    """

    def __init__(self, *, worker: FakeTaskWorker) -> None:
        """Create the application."""
        self.worker = worker
        self.slowdown: float = 1
        self.is_failing = False
        self.is_unhealthy = False
        self.is_paused = False
        self.straggler_interval = 0
        self.percent = _FULL_SPEED_PERCENT
        self._command_by_run: dict[tuple[TaskKey, int], str] = {}

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Handle one order.

        :param environ: WSGI environment.
        :param start_response: WSGI function that starts the response.
        :returns: chunks of the response body.
        """
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return send_response(
                _make_json_response(body.status, {}), start_response
            )
        if get_header(environ, INCARNATION_HEADER) != self.worker.worker_id:
            return send_response(
                _make_json_response(HTTPStatus.MISDIRECTED_REQUEST, {}),
                start_response,
            )
        order = msgspec.json.decode(body)
        path = get_raw_path(environ)
        if path == '/run-start' and self.is_unhealthy:
            return send_response(
                _make_json_response(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    {'clock_ms': int(self.worker.now_ms())},
                ),
                start_response,
            )
        if path == '/hold':
            return send_response(self._renew_lease(order), start_response)
        return send_response(self._carry_out(path, order), start_response)

    def run_tasks(self) -> None:
        """Simulate the tasks in an endless loop: end those that are due."""
        while True:
            gevent.sleep(_TASK_CHECK_INTERVAL_S)
            if self.is_paused:
                continue
            self.worker.expire_lease()
            now = self.worker.clock()
            for key, run in tuple(self.worker.run_by_key.items()):
                command = self._command_by_run.get((key, run.run), 'fail')
                name, _, duration = command.partition(' ')
                if name == 'fail' or self.is_failing:
                    self.worker.end(key, EndKind.FAILED)
                elif now - run.started_at > float(
                    duration
                ) * self._find_slowdown(key, run.run):
                    self.worker.end(key, EndKind.DONE)

    def _find_slowdown(self, key: TaskKey, run: int) -> float:
        interval = self.straggler_interval
        # The next run of a straggler is not one again.
        if interval and not (key.index + 3 * run) % interval:
            return self.slowdown * _STRAGGLER_FACTOR
        return self.slowdown

    def _renew_lease(self, order: Document) -> Response:
        lease = LeaseOrder(
            worker_id=self.worker.worker_id,
            address='',
            fencing_token=order['fence_token'],
            acknowledged_end=order['ack_cursor'],
            deadline_ms=order.get('deadline_ms'),
            wait_ms=order.get('wait_ms', 0),
        )
        born_at = self.worker.born_at
        report = self.worker.renew_lease(lease)
        wait_ends_at = time.monotonic() + lease.wait_ms / _MS_PER_S
        while not isinstance(report, OrderRefused) and not report.ends:
            if time.monotonic() > wait_ends_at:
                break
            while not self.worker.ends and time.monotonic() <= wait_ends_at:
                gevent.sleep(_POLL_INTERVAL_S)
            if self.worker.born_at != born_at:
                # The process that the call was for has ended.
                break
            report = self.worker.renew_lease(lease)
        if isinstance(report, OrderRefused):
            return _make_order_response(report)
        return _make_json_response(
            HTTPStatus.OK,
            {
                'clock_ms': report.clock_ms,
                'born': report.born_ms,
                'running': [
                    [
                        _format_task_name(run.key),
                        run.run,
                        run.checkpoint,
                        self.percent,
                    ]
                    for run in report.runs
                ],
                'ended': [
                    [
                        end.number,
                        _format_task_name(end.key),
                        end.run,
                        end.kind,
                        '',
                    ]
                    for end in report.ends
                ],
            },
        )

    def _carry_out(self, path: str, order: Document) -> Response:
        key = parse_task_name(order['task'])
        if key is None:
            return _make_json_response(HTTPStatus.BAD_REQUEST, {})
        common = {
            'worker_id': self.worker.worker_id,
            'address': '',
            'key': key,
            'run': order['run'],
            'fencing_token': order['fence_token'],
        }
        if path == '/run-stop':
            return _make_order_response(self.worker.stop(StopRun(**common)))
        if path == '/pace':
            return _make_order_response(
                self.worker.pace(PaceRun(**common, percent=order['percent'])),
            )
        self._command_by_run[key, order['run']] = order['spec']
        start = StartRun(
            **common,
            spec=order['spec'],
            checkpoint=order.get('last_checkpoint', ''),
            deadline_ms=order['deadline_ms'],
        )
        return _make_order_response(self.worker.start(start))


def encode_worker_entry(
    worker: FakeTaskWorker, address: str, pool: str
) -> bytes:
    """
    Encode the entry under which a worker of the platform registers itself.

    :param worker: the worker.
    :param address: host and port at which the worker accepts orders.
    :param pool: name of the worker's pool.
    :returns: the entry as JSON.
    """
    return msgspec.json.encode(
        {
            'service': pool,
            'address': address,
            'zone': 'bergamo',
            'state': 'draining' if worker.is_draining else 'ready',
            'room': {
                'cpu': int(worker.capacity.cpu * _MILLICORES_PER_CORE),
                'mem_mb': worker.capacity.memory_mb,
                'gpu': worker.capacity.accelerators,
            },
            'labels': list(worker.labels),
            'clock_ms': int(worker.now_ms()),
            'born': int(worker.born_at * _MS_PER_S),
        },
    )


def encode_configuration(
    version: int,
    prefix: str,
    pool: str,
    limits: dict[str, int] | None = None,
) -> bytes:
    """
    Encode a configuration with one queue as the platform's operator writes it.

    :param version: version of the configuration.
    :param prefix: path prefix of the queue.
    :param pool: name of the pool that runs the queue's tasks.
    :param limits: limits of the clients; ``None`` for a configuration without
        them.
    :returns: the document as JSON.
    """
    return encode_queues(version, {'queue': prefix}, pool, limits)


def encode_queues(
    version: int,
    prefix_by_queue: dict[str, str],
    pool: str,
    limits: dict[str, int] | None = None,
) -> bytes:
    """
    Encode a configuration with several queues of the same terms.

    :param version: version of the configuration.
    :param prefix_by_queue: path prefix of each queue.
    :param pool: name of the pool that runs the tasks of all queues.
    :param limits: limits of the clients; ``None`` for a configuration without
        them.
    :returns: the document as JSON.
    """
    document: Document = {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': '127.0.0.1',
                'path_prefix': prefix,
                'service': pool,
                'attempts': 2,
                'stretch': 2.0,
                'target_latency_ms': _TARGET_LATENCY_MS,
            }
            for name, prefix in prefix_by_queue.items()
        ],
        'services': [{'name': pool, 'enforces_capacity': True}],
    }
    if limits is not None:
        document['limits'] = limits
    return msgspec.json.encode(document)


def encode_job(
    command: str, counts: tuple[int, ...], **step_fields: Any
) -> bytes:
    """
    Encode a job as the platform's clients submit it.

    :param command: what each task does, such as ``sleep 1``.
    :param counts: number of tasks of each step; each step depends on the
        previous one.
    :param step_fields: further fields of each step, on the wire.
    :returns: the document as JSON.
    """
    steps = [
        {
            'count': count,
            'cpu': 500,
            'mem_mb': 1,
            'est_ms': 100,
            'after': [number - 1] if number else [],
            **step_fields,
        }
        for number, count in enumerate(counts)
    ]
    return msgspec.json.encode({'spec': command, 'steps': steps})


def _parse_transaction(wire: Document) -> Transaction:
    writes = [
        RowWrite(name=_parse_row_name(row), content=b64decode(row['value']))
        for row in wire['writes']
    ]
    writes.extend(
        RowWrite(name=_parse_row_name(row), content=None)
        for row in wire['remove']
    )
    return Transaction(
        expected=tuple(
            ExpectedVersion(name=_parse_row_name(row), version=row['ver'])
            for row in wire['expected_rev']
        ),
        writes=tuple(writes),
    )


def _parse_row_name(wire: Document) -> RowName:
    return RowName(table=wire['table'], partition=wire['part'], key=wire['key'])


def _encode_row(row: StoredRow) -> Document:
    document = {
        'table': row.name.table,
        'part': row.name.partition,
        'key': row.name.key,
        'ver': row.version,
    }
    if row.content is None:
        return {**document, 'tombstone': True}
    return {**document, 'value': b64encode(row.content).decode()}


def _make_page_response(page: RowPage | HistoryGone | Unavailable) -> Response:
    if isinstance(page, HistoryGone):
        return _make_json_response(HTTPStatus.GONE, {})
    if isinstance(page, Unavailable):
        return _make_json_response(HTTPStatus.SERVICE_UNAVAILABLE, {})
    return _make_json_response(
        HTTPStatus.OK,
        {
            'rows': [_encode_row(row) for row in page.rows],
            'ver': page.version,
            'more_pages': page.has_more,
        },
    )


def _make_order_response(outcome: OrderOutcome) -> Response:
    if isinstance(outcome, OrderDone):
        return _make_json_response(
            HTTPStatus.OK, {'clock_ms': outcome.clock_ms}
        )
    if isinstance(outcome, OrderRefused):
        return _make_json_response(
            HTTPStatus.CONFLICT,
            {'clock_ms': outcome.clock_ms, 'reason': outcome.refusal.value},
        )
    return _make_json_response(HTTPStatus.INTERNAL_SERVER_ERROR, {})


def _make_json_response(status: int, document: Document) -> Response:
    return Response(
        status=status,
        fields=(('content-type', 'application/json'),),
        body=msgspec.json.encode(document),
    )


def _format_task_name(key: TaskKey) -> str:
    return '.'.join(str(part) for part in key)
