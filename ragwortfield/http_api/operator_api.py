"""HTTP interface of operators: JSON calls that need the operator token."""

import hmac
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from ragwortfield.adapters.json_codec import Malformed, decode_json, to_document
from ragwortfield.core.configuration import Configuration
from ragwortfield.core.jobs import TERMINAL_STATES, JobRow, JobSpec
from ragwortfield.engine.burn_report_writer import BURN_REPORT_PREFIX
from ragwortfield.engine.entry_node import EntryNode
from ragwortfield.engine.job_table import (
    create_job,
    job_row_key,
    make_job_write,
    make_worker_write,
    parse_job_rows,
    parse_worker_rows,
)
from ragwortfield.engine.platform_sync import (
    CONFIGURATION_HISTORY_PREFIX,
    CONFIGURATION_KEY,
)
from ragwortfield.http_api.wsgi import (
    BodyError,
    Response,
    get_header,
    get_raw_path,
    make_json_response,
    read_body,
)
from ragwortfield.log import event
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    Unavailable,
    Write,
)
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.settings.toml_parsing import SettingsError

#: Prefix of the paths of this interface.
OPERATOR_PATH_PREFIX = '/operators/'
#: Name of the header field with the operator token.
OPERATOR_TOKEN_HEADER = 'ragwortfield-operator'
#: Largest body of a call, in bytes.
_MAX_BODY_BYTES = 1024 * 1024
#: Attempts to change a row that other instances may change at the same time.
_MAX_ATTEMPTS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptConfigurationCall:
    """
    Body of a call that puts a new configuration in force.

    :param text: the configuration, as TOML.
    :param expected_version: version that the operator edited; 0 for the first
        configuration.
    """

    text: str
    expected_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJobsCall:
    """
    Body of a call that submits jobs.

    :param jobs: the jobs; each gets its own row.
    :param data_centre: where they run; empty for the data centre of the
        instance that is called.
    """

    jobs: tuple[JobSpec, ...]
    data_centre: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceView:
    """
    State of an entry instance as the called instance knows it.

    :param silent_s: time since its last heartbeat, in seconds; 0 for the
        called instance itself.
    :param free_by_service: free slots at its targets, by service.
    """

    instance_id: str
    data_centre: str
    configuration_version: int
    seats: tuple[str, ...]
    silent_s: float = 0
    is_leaving: bool = False
    is_store_reachable: bool = True
    free_by_service: dict[str, int] = field(default_factory=dict)


class OperatorApi:
    """
    Handles the operators' calls.

    :param node: node that is shown and whose platform is used.
    :param token: the operator token.
    """

    def __init__(self, *, node: EntryNode, token: str) -> None:
        """Create the interface."""
        self._node = node
        self._token = token.encode()
        # By method and first segment of the path. Handlers take the rest of
        # the path, decoded, and the body.
        self._handler_by_route: dict[
            tuple[str, str],
            Callable[[str, bytes], Response],
        ] = {
            ('GET', 'configuration'): self._show_configuration,
            ('POST', 'configuration'): self._accept_configuration,
            ('POST', 'jobs'): self._submit_jobs,
            ('GET', 'jobs'): self._list_jobs,
            ('DELETE', 'jobs'): self._cancel_job,
            ('GET', 'workers'): self._list_workers,
            ('POST', 'workers'): self._set_worker_draining,
            ('GET', 'targets'): self._list_targets,
            ('GET', 'instances'): self._list_instances,
            ('GET', 'burn'): self._show_burn_report,
        }

    def serve(self, environ: dict[str, Any]) -> Response:
        """
        Handle one call.

        :param environ: WSGI environment.
        :returns: the response.
        """
        token = get_header(environ, OPERATOR_TOKEN_HEADER).encode()
        if not hmac.compare_digest(token, self._token):
            return _make_error_response(
                HTTPStatus.UNAUTHORIZED,
                'wrong-operator-token',
                f'header field {OPERATOR_TOKEN_HEADER!r} is not the operator '
                'token',
            )
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return _make_error_response(body.status, body.code, body.message)
        path = get_raw_path(environ)[len(OPERATOR_PATH_PREFIX) :].partition(
            '?'
        )[0]
        collection, _, subpath = path.partition('/')
        handler = self._handler_by_route.get(
            (environ['REQUEST_METHOD'], collection)
        )
        if handler is None:
            return _make_error_response(
                HTTPStatus.NOT_FOUND,
                'unknown-call',
                f'unknown call {environ["REQUEST_METHOD"]} {path!r} of the '
                "operators' interface",
            )
        return handler(unquote(subpath), body)

    def _show_configuration(self, subpath: str, body: bytes) -> Response:
        instance_state = self._node.instance_state
        if instance_state.version is None:
            return _make_error_response(
                HTTPStatus.NOT_FOUND,
                'no-configuration',
                'this instance has no configuration yet',
            )
        views = self._list_instance_views()
        return make_json_response(
            HTTPStatus.OK,
            {
                'version': instance_state.version.version,
                'text': instance_state.configuration_text,
                'in_force': {
                    view.instance_id: view.configuration_version
                    for view in views
                },
            },
        )

    def _accept_configuration(self, subpath: str, body: bytes) -> Response:
        call = decode_json(body, AcceptConfigurationCall)
        if isinstance(call, Malformed):
            return _make_error_response(
                HTTPStatus.BAD_REQUEST, 'bad-call', call.reason
            )
        configuration = parse_configuration(call.text, 'configuration')
        if isinstance(configuration, SettingsError):
            return _make_error_response(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'bad-configuration',
                configuration.text(),
            )
        problem = self._find_seat_change(configuration)
        if problem:
            return _make_error_response(
                HTTPStatus.UNPROCESSABLE_ENTITY, 'places-changed', problem
            )
        version = call.expected_version + 1
        row_body = {'text': call.text}
        outcome = self._node.platform.transact(
            (
                Write(
                    key=CONFIGURATION_KEY,
                    expected_version=call.expected_version,
                    body=row_body,
                ),
                Write(
                    key=f'{CONFIGURATION_HISTORY_PREFIX}{version:010d}',
                    expected_version=0,
                    body=row_body,
                ),
            )
        )
        if isinstance(outcome, Conflict):
            return self._handle_configuration_conflict(call, outcome)
        if isinstance(outcome, Unavailable):
            return self._resolve_unknown_acceptance(call, version, outcome)
        self._node.platform_sync.read_configuration()
        self._node.peer_connections.send_heartbeats()
        event('configuration_accepted', version=version)
        return make_json_response(HTTPStatus.OK, {'version': version})

    def _handle_configuration_conflict(
        self,
        call: AcceptConfigurationCall,
        conflict: Conflict,
    ) -> Response:
        self._node.platform_sync.read_configuration()
        return _make_error_response(
            HTTPStatus.CONFLICT,
            'configuration-conflict',
            f'current version is {conflict.version}, expected version '
            f'{call.expected_version}, from which this change was made',
        )

    def _resolve_unknown_acceptance(
        self,
        call: AcceptConfigurationCall,
        version: int,
        outcome: Unavailable,
    ) -> Response:
        # The response may have been lost; the history row tells whether the
        # configuration was written.
        if outcome.is_effect_possible:
            key = f'{CONFIGURATION_HISTORY_PREFIX}{version:010d}'
            found = self._node.platform.scan(key)
            if not isinstance(found, Unavailable):
                texts = [row.body.get('text') for row in found.rows]
                if call.text in texts:
                    self._node.platform_sync.read_configuration()
                    return make_json_response(
                        HTTPStatus.OK, {'version': version}
                    )
                return _make_error_response(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'not-accepted',
                    f'the configuration was not accepted: {outcome.reason}',
                )
        code = 'not-accepted'
        if outcome.is_effect_possible:
            code = 'acceptance-unknown'
        return _make_error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            f'the platform did not confirm the configuration: {outcome.reason}',
        )

    def _find_seat_change(self, configuration: Configuration) -> str:
        # Each seat stands for a fraction of every target's slots. If versions
        # with different numbers of seats were in force at the same time, two
        # holders could use the same slots.
        current = self._node.instance_state.configuration()
        if current is None:
            return ''
        for name, data_centre in current.data_centres.items():
            new = configuration.data_centres.get(name)
            if new is not None and new.seats != data_centre.seats:
                return (
                    f"key 'data_centres.{name}.seats' is {new.seats}, "
                    f'expected {data_centre.seats}: the number must not change '
                    'while the data centre is in the configuration'
                )
        return ''

    def _submit_jobs(self, subpath: str, body: bytes) -> Response:
        call = decode_json(body, SubmitJobsCall)
        if isinstance(call, Malformed):
            return _make_error_response(
                HTTPStatus.BAD_REQUEST, 'bad-call', call.reason
            )
        configuration = self._node.instance_state.configuration()
        if configuration is None:
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                'this instance has no configuration yet',
            )
        problem = _find_submission_problem(configuration, call)
        if problem:
            return _make_error_response(
                HTTPStatus.UNPROCESSABLE_ENTITY, 'bad-job', problem
            )
        data_centre = (
            call.data_centre or self._node.instance_state.identity.data_centre
        )
        wall_time = self._node.clock.wall_time()
        jobs = [create_job(spec, data_centre, wall_time) for spec in call.jobs]
        outcome = self._node.platform.transact(
            tuple(
                Write(
                    key=job_row_key(configuration, job.job_id) or '',
                    expected_version=0,
                    body=to_document(job),
                )
                for job in jobs
            ),
        )
        if isinstance(outcome, Committed):
            return make_json_response(
                HTTPStatus.OK, {'jobs': [job.job_id for job in jobs]}
            )
        if isinstance(outcome, Unavailable) and outcome.is_effect_possible:
            job_ids = ', '.join(job.job_id for job in jobs)
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'submission-unknown',
                'the platform did not confirm the jobs; list them before '
                f'submitting again: {job_ids}',
            )
        return _make_error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'not-submitted',
            f'the platform did not write the {len(jobs)} jobs',
        )

    def _list_jobs(self, subpath: str, body: bytes) -> Response:
        if subpath:
            found = self._find_job(subpath)
            if isinstance(found, Response):
                return found
            return make_json_response(HTTPStatus.OK, found.job)
        scanned = self._node.platform.scan('jobs/')
        if isinstance(scanned, Unavailable):
            return _make_unavailable_response(scanned)
        return make_json_response(
            HTTPStatus.OK,
            {'jobs': [to_document(row.job) for row in parse_job_rows(scanned)]},
        )

    def _cancel_job(self, subpath: str, body: bytes) -> Response:
        for _ in range(_MAX_ATTEMPTS):
            found = self._find_job(subpath)
            if isinstance(found, Response):
                return found
            is_final = found.job.state in TERMINAL_STATES
            if is_final or found.job.is_cancel_wanted:
                return make_json_response(HTTPStatus.OK, found.job)
            changed = replace(found.job, is_cancel_wanted=True)
            outcome = self._node.platform.transact(
                (make_job_write(found, changed),)
            )
            if isinstance(outcome, Committed):
                return make_json_response(HTTPStatus.OK, changed)
            if isinstance(outcome, Unavailable):
                return _make_unavailable_response(outcome)
        return _make_error_response(
            HTTPStatus.CONFLICT,
            'job-changing',
            f'job {subpath!r} was changed by others in each of '
            f'{_MAX_ATTEMPTS} attempts to cancel it',
        )

    def _find_job(self, job_id: str) -> JobRow | Response:
        configuration = self._node.instance_state.configuration()
        key = None
        if configuration is not None:
            key = job_row_key(configuration, job_id)
        if key is None:
            return _make_error_response(
                HTTPStatus.NOT_FOUND,
                'unknown-job',
                f'job {job_id!r} is unknown',
            )
        found = self._node.platform.scan(key)
        if isinstance(found, Unavailable):
            return _make_unavailable_response(found)
        for row in parse_job_rows(found):
            if row.key == key:
                return row
        return _make_error_response(
            HTTPStatus.NOT_FOUND, 'unknown-job', f'job {job_id!r} is unknown'
        )

    def _list_workers(self, subpath: str, body: bytes) -> Response:
        scanned = self._node.platform.scan('workers/')
        if isinstance(scanned, Unavailable):
            return _make_unavailable_response(scanned)
        wall_time = self._node.clock.wall_time()
        return make_json_response(
            HTTPStatus.OK,
            {
                'workers': [
                    {
                        **to_document(row.worker),
                        'is_quarantined': row.worker.quarantined_until
                        > wall_time,
                    }
                    for row in parse_worker_rows(scanned)
                ],
            },
        )

    def _set_worker_draining(self, subpath: str, body: bytes) -> Response:
        worker_id, _, action = subpath.rpartition('/')
        if action not in {'drain', 'undrain'}:
            return _make_error_response(
                HTTPStatus.NOT_FOUND,
                'unknown-call',
                f"unknown action {action!r}, expected 'drain' or 'undrain'",
            )
        for _ in range(_MAX_ATTEMPTS):
            scanned = self._node.platform.scan('workers/')
            if isinstance(scanned, Unavailable):
                return _make_unavailable_response(scanned)
            rows = [
                row
                for row in parse_worker_rows(scanned)
                if row.worker.worker_id == worker_id
            ]
            if not rows:
                break
            changed = replace(
                rows[0].worker,
                is_draining=action == 'drain',
            )
            outcome = self._node.platform.transact(
                (make_worker_write(rows[0], changed),)
            )
            if isinstance(outcome, Committed):
                return make_json_response(HTTPStatus.OK, changed)
        return _make_error_response(
            HTTPStatus.NOT_FOUND,
            'unknown-worker',
            f'worker {worker_id!r} is unknown, or could not be changed in '
            f'{_MAX_ATTEMPTS} attempts',
        )

    def _list_targets(self, subpath: str, body: bytes) -> Response:
        instance_state = self._node.instance_state
        now = self._node.clock.monotonic()
        targets = []
        for target in instance_state.target_by_id.values():
            health = instance_state.health_by_target.get(target.target_id)
            share = instance_state.share_by_target.get(target.target_id)
            ejected_s: float = 0
            if health is not None:
                ejected_s = max(health.ejected_until - now, 0)
            targets.append(
                {
                    **to_document(target),
                    'in_use': instance_state.slots_in_use_by_target.get(
                        target.target_id, 0
                    ),
                    'share': 0 if share is None else share.slots,
                    'ejected_for_s': ejected_s,
                }
            )
        return make_json_response(HTTPStatus.OK, {'targets': targets})

    def _list_instances(self, subpath: str, body: bytes) -> Response:
        return make_json_response(
            HTTPStatus.OK, {'instances': self._list_instance_views()}
        )

    def _show_burn_report(self, subpath: str, body: bytes) -> Response:
        scanned = self._node.platform.scan(BURN_REPORT_PREFIX)
        if isinstance(scanned, Unavailable):
            return _make_unavailable_response(scanned)
        configuration = self._node.instance_state.configuration()
        services = {} if configuration is None else configuration.services
        return make_json_response(
            HTTPStatus.OK,
            {
                'objectives': {
                    name: service.objective_share
                    for name, service in services.items()
                },
                'rows': [row.body for row in scanned.rows],
                'now': self._node.clock.wall_time(),
            },
        )

    def _list_instance_views(self) -> list[InstanceView]:
        instance_state = self._node.instance_state
        now = self._node.clock.monotonic()
        own = InstanceView(
            instance_id=instance_state.identity.instance_id,
            data_centre=instance_state.identity.data_centre,
            configuration_version=instance_state.configuration_version(),
            seats=tuple(sorted(instance_state.held_seat_by_key)),
            is_leaving=instance_state.is_leaving,
        )
        others = [
            InstanceView(
                instance_id=peer.instance_id,
                data_centre=peer.data_centre,
                configuration_version=peer.configuration_version,
                seats=tuple(sorted(peer.generation_by_seat)),
                silent_s=now - peer.heard_at,
                is_leaving=peer.is_leaving,
                is_store_reachable=peer.is_store_reachable,
                free_by_service=peer.free_by_service,
            )
            for _, peer in sorted(instance_state.peer_by_id.items())
        ]
        return [own, *others]


def _find_submission_problem(
    configuration: Configuration, call: SubmitJobsCall
) -> str:
    if not call.jobs:
        return 'got 0 jobs, expected at least 1'
    is_known = call.data_centre in configuration.data_centres
    if call.data_centre and not is_known:
        return f'data centre {call.data_centre!r} is not in the configuration'
    for spec in call.jobs:
        if spec.team not in configuration.teams:
            return f'team {spec.team!r} is not in the configuration'
        requested = spec.resources
        amounts = (
            requested.cpu,
            requested.memory_mb,
            requested.accelerators,
        )
        if min(amounts) < 0 or max(amounts) <= 0:
            return (
                f'job {spec.name!r} requests {requested.cpu:g} cores, '
                f'{requested.memory_mb} MiB and {requested.accelerators} '
                'accelerators, expected no negative amount and at least '
                'one above 0'
            )
    return ''


def _make_unavailable_response(outcome: Unavailable) -> Response:
    return _make_error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'platform-unavailable',
        f'the platform did not answer: {outcome.reason}',
    )


def _make_error_response(status: int, code: str, message: str) -> Response:
    return make_json_response(status, {'error': code, 'message': message})
