"""Fakes served over HTTP: the platform, and workers with targets."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import gevent
import msgspec

from ragwortfield.adapters.json_codec import (
    Malformed,
    decode_json,
    to_document,
)
from ragwortfield.adapters.platform_client import (
    TaskControlRequest,
    TransactRequest,
)
from ragwortfield.core.targets import TargetState
from ragwortfield.engine.target_connections import TARGET_STATE_HEADER
from ragwortfield.http_api.wsgi import (
    Response,
    StartResponse,
    get_header,
    get_raw_path,
    make_json_response,
    send_response,
)
from ragwortfield.http_api.wsgi_server import HttpServer
from ragwortfield.ports.platform import (
    Conflict,
    ListedInstance,
    RenewTasks,
    StartTask,
    Unavailable,
)
from ragwortfield.testing.fake_platform import FakePlatform, PlatformFaults
from ragwortfield.testing.fake_worker import FakeWorker, WorkerFaults

#: Maximum number of concurrent connections to a fake.
_MAX_CONNECTIONS = 1000
#: Time for which a silent target holds a request, in seconds.
_SILENT_HOLD_S = 3600.0
_MS_PER_S = 1000


class FakePlatformServer:
    """
    WSGI application of the fake platform.

    :param platform: state and faults of the platform.
    """

    def __init__(self, *, platform: FakePlatform) -> None:
        self.platform = platform

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Serve one request.

        :param environ: WSGI environment.
        :param start_response: the server's function.
        :returns: body of the response.
        """
        path = urlsplit(get_raw_path(environ))
        method = environ['REQUEST_METHOD']
        body = environ['wsgi.input'].read()
        if path.path == '/switches':
            return send_response(self._set_faults(method, body), start_response)
        gevent.sleep(self.platform.faults.delay_s)
        if path.path == '/instances':
            return send_response(
                self._change_instance_list(body), start_response
            )
        if self.platform.faults.is_down:
            gevent.sleep(self.platform.faults.delay_s)
            return send_response(_make_down_response(), start_response)
        response = self._serve(method, path.path, path.query, body)
        return send_response(response, start_response)

    def _serve(
        self,
        method: str,
        path: str,
        query: str,
        body: bytes,
    ) -> Response:
        if path == '/tables/scan':
            prefix = parse_qs(query).get('prefix', [''])[0]
            return _make_platform_response(self.platform.scan(prefix))
        if path == '/tables/transact':
            transaction = decode_json(body, TransactRequest)
            if isinstance(transaction, Malformed):
                return _make_bad_request(transaction)
            return _make_platform_response(
                self.platform.transact(transaction.writes)
            )
        if path == '/list':
            return _make_platform_response(self.platform.list_instances())
        if path.startswith('/objects/'):
            return self._serve_object(method, unquote(path), body)
        return make_json_response(
            HTTPStatus.NOT_FOUND, {'error': f'unknown path {path!r}'}
        )

    def _serve_object(self, method: str, path: str, body: bytes) -> Response:
        if method == 'PUT':
            self.platform.put(path, body)
            return make_json_response(HTTPStatus.OK, {})
        content = self.platform.get(path)
        if not isinstance(content, bytes):
            return make_json_response(HTTPStatus.NOT_FOUND, {'error': 'absent'})
        return Response(status=HTTPStatus.OK, fields=(), body=content)

    def _set_faults(self, method: str, body: bytes) -> Response:
        if method == 'POST':
            self.platform.faults = _apply_changes(
                self.platform.faults,
                body,
                PlatformFaults,
            )
        return make_json_response(
            HTTPStatus.OK,
            {
                'switches': to_document(self.platform.faults),
                'counts': to_document(self.platform.counts),
            },
        )

    def _change_instance_list(self, body: bytes) -> Response:
        change = decode_json(body, InstanceListChange)
        if isinstance(change, Malformed):
            return _make_bad_request(change)
        for instance in change.add:
            self.platform.add_instance(instance)
        for instance_id in change.remove:
            self.platform.remove_instance(instance_id)
        for instance_id in change.leaving:
            self.platform.mark_leaving(instance_id)
        return make_json_response(HTTPStatus.OK, {})


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceListChange:
    """Change of the fake platform's list of instances."""

    add: tuple[ListedInstance, ...] = ()
    remove: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class TargetFaults:
    """
    Injected faults of a target; none by default.

    :param delay_s: added duration of each request, in seconds.
    :param is_failing: whether every request gets status 500 immediately.
    :param is_truncating: whether responses are shorter than their declared
        length.
    :param is_silent: whether requests are accepted but not answered.
    :param is_leaving: whether the target reports that it is leaving.
    """

    delay_s: float = 0
    is_failing: bool = False
    is_truncating: bool = False
    is_silent: bool = False
    is_leaving: bool = False


@dataclass(kw_only=True, slots=True)
class TargetCounts:
    """
    Counters of a target since its start.

    :param at_once: requests that are running now.
    :param most_at_once: maximum number of concurrent requests so far.
    :param over_slots: requests that arrived while all slots were taken.
    :param after_leaving: requests that arrived while the target was leaving.
    :param runs_by_booking: how often each booking was run.
    """

    requests: int = 0
    at_once: int = 0
    most_at_once: int = 0
    over_slots: int = 0
    after_leaving: int = 0
    runs_by_booking: dict[str, int] = field(default_factory=dict)


class FakeWorkerServer:
    """
    WSGI application of a fake worker and its target, on one address.

    Paths that are neither control calls, fault injection nor ``/health`` go
    to the target. It echoes the request after ``ms`` milliseconds, a
    parameter of the query, and counts each ``POST`` of ``/bookings``.

    :param worker: state and faults of the worker.
    :param slots: slots of the target. Requests beyond them are run too and
        counted in ``over_slots``.
    """

    def __init__(self, *, worker: FakeWorker, slots: int) -> None:
        self.worker = worker
        self.slots = slots
        self.target_faults = TargetFaults()
        self.counts = TargetCounts()
        self._serve_by_path: dict[str, Callable[[bytes], Response]] = {
            '/control/start': self._start,
            '/control/renew': self._renew,
            '/control/stop': self._stop,
            '/control/throttle': self._throttle,
            '/control/forget': self._discard_reports,
            '/stand-in': self._describe,
            '/stand-in/target': self._set_target_faults,
            '/stand-in/worker': self._set_worker_faults,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Serve one request.

        :param environ: WSGI environment.
        :param start_response: the server's function.
        :returns: body of the response.
        """
        path = urlsplit(get_raw_path(environ))
        body = environ['wsgi.input'].read()
        serve = self._serve_by_path.get(path.path)
        if serve is not None:
            return send_response(serve(body), start_response)
        if path.path == '/health':
            return send_response(self._check_health(), start_response)
        query = parse_qs(path.query)
        response = self._serve_target(environ, path.path, query, body)
        if self.target_faults.is_truncating:
            return _send_truncated(response, start_response)
        return send_response(response, start_response)

    def _serve_target(
        self,
        environ: dict[str, Any],
        path: str,
        query: dict[str, list[str]],
        body: bytes,
    ) -> Response:
        counts = self.counts
        counts.requests += 1
        if self.target_faults.is_leaving:
            counts.after_leaving += 1
        counts.at_once += 1
        counts.most_at_once = max(counts.most_at_once, counts.at_once)
        if counts.at_once > self.slots:
            counts.over_slots += 1
        try:
            return self._run_request(environ, path, query, body)
        finally:
            counts.at_once -= 1

    def _run_request(
        self,
        environ: dict[str, Any],
        path: str,
        query: dict[str, list[str]],
        body: bytes,
    ) -> Response:
        if self.target_faults.is_failing:
            return make_json_response(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                {'error': 'failing'},
                *self._make_state_header(),
            )
        work_s = float(query.get('ms', ['0'])[0]) / _MS_PER_S
        if self.target_faults.is_silent:
            gevent.sleep(_SILENT_HOLD_S)
        gevent.sleep(work_s + self.target_faults.delay_s)
        if path == '/bookings' and environ['REQUEST_METHOD'] == 'POST':
            booking = body.decode()
            runs = self.counts.runs_by_booking
            runs[booking] = runs.get(booking, 0) + 1
        return Response(
            status=HTTPStatus.OK,
            fields=(
                ('content-type', 'text/plain'),
                ('x-echo', get_header(environ, 'x-echo')),
                *self._make_state_header(),
            ),
            body=body or get_raw_path(environ).encode(),
        )

    def _make_state_header(self) -> tuple[tuple[str, str], ...]:
        state = TargetState.LIVE
        if self.target_faults.is_leaving:
            state = TargetState.LEAVING
        return ((TARGET_STATE_HEADER, state.value),)

    def _check_health(self) -> Response:
        if self.target_faults.is_silent:
            gevent.sleep(_SILENT_HOLD_S)
        return make_json_response(HTTPStatus.OK, {}, *self._make_state_header())

    def _start(self, body: bytes) -> Response:
        order = decode_json(body, StartTask)
        if isinstance(order, Malformed):
            return _make_bad_request(order)
        is_started = self.worker.start(order)
        return make_json_response(
            HTTPStatus.OK if is_started else HTTPStatus.CONFLICT, {}
        )

    def _renew(self, body: bytes) -> Response:
        order = decode_json(body, RenewTasks)
        if isinstance(order, Malformed):
            return _make_bad_request(order)
        return make_json_response(
            HTTPStatus.OK, self.worker.renew_leases(order)
        )

    def _stop(self, body: bytes) -> Response:
        request = msgspec.json.decode(body, type=TaskControlRequest)
        for job_id, generation in request.generation_by_job.items():
            self.worker.stop(job_id, generation)
        return make_json_response(HTTPStatus.OK, {})

    def _throttle(self, body: bytes) -> Response:
        request = msgspec.json.decode(body, type=TaskControlRequest)
        for job_id in request.generation_by_job:
            self.worker.throttle(job_id, request.share)
        return make_json_response(HTTPStatus.OK, {})

    def _discard_reports(self, body: bytes) -> Response:
        request = msgspec.json.decode(body, type=TaskControlRequest)
        self.worker.discard_reports(request.generation_by_job)
        return make_json_response(HTTPStatus.OK, {})

    def _describe(self, body: bytes) -> Response:
        self.worker.step()
        return make_json_response(
            HTTPStatus.OK,
            {
                'target': to_document(self.counts),
                'spans': to_document(self.worker.spans),
                'running': self.worker.list_running_tasks(),
                'over_capacity': self.worker.over_capacity,
            },
        )

    def _set_target_faults(self, body: bytes) -> Response:
        self.target_faults = _apply_changes(
            self.target_faults,
            body,
            TargetFaults,
        )
        return make_json_response(HTTPStatus.OK, self.target_faults)

    def _set_worker_faults(self, body: bytes) -> Response:
        self.worker.faults = _apply_changes(
            self.worker.faults,
            body,
            WorkerFaults,
        )
        return make_json_response(HTTPStatus.OK, self.worker.faults)


def start_fake_server(address: tuple[str, int], application: Any) -> HttpServer:
    """
    Serve a fake over HTTP.

    :param address: host and port; port 0 selects a free one.
    :param application: WSGI application of this module.
    :returns: the running server.
    """
    server = HttpServer(
        address=address,
        application=application,
        max_connections=_MAX_CONNECTIONS,
    )
    server.start()
    return server


def _apply_changes(faults: Any, body: bytes, faults_type: Any) -> Any:
    changes = msgspec.json.decode(body)
    field_names = {known_field.name for known_field in fields(faults_type)}
    return replace(
        faults,
        **{
            name: new_value
            for name, new_value in changes.items()
            if name in field_names
        },
    )


def _make_platform_response(outcome: Any) -> Response:
    if isinstance(outcome, Conflict):
        return make_json_response(HTTPStatus.CONFLICT, outcome)
    if isinstance(outcome, Unavailable):
        return make_json_response(
            HTTPStatus.SERVICE_UNAVAILABLE, {'error': outcome.reason}
        )
    return make_json_response(HTTPStatus.OK, outcome)


def _make_bad_request(malformed: Malformed) -> Response:
    return make_json_response(
        HTTPStatus.BAD_REQUEST, {'error': malformed.reason}
    )


def _make_down_response() -> Response:
    return make_json_response(
        HTTPStatus.SERVICE_UNAVAILABLE, {'error': 'platform is down'}
    )


def _send_truncated(
    response: Response,
    start_response: StartResponse,
) -> Iterable[bytes]:
    declared_length = len(response.body) + 10
    start_response(
        '200 OK',
        [('content-length', str(declared_length)), ('connection', 'close')],
    )
    return [response.body]
