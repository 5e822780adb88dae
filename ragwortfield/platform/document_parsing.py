"""Parsing of the platform's documents into the project's own types."""

import re

import msgspec

from ragwortfield.adapters.json_codec import DECODE_ERRORS, Malformed
from ragwortfield.core.client_limits import ClientLimits
from ragwortfield.core.resources import Resources
from ragwortfield.platform.bounded_types import (
    Amount,
    BodyLimit,
    ExactInteger,
    HeadLimit,
    PositiveNumber,
    TimeLimitMs,
    WholeNumber,
)
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.catalogue import (
    ApprovalTerms,
    Catalogue,
    Pool,
    Queue,
)
from ragwortfield.scheduling.job import (
    Job,
    Step,
    depends_on_earlier_steps,
)
from ragwortfield.settings.instance import split_address
from ragwortfield.types import WallTime

_MS_PER_S = 1000
#: CPU amounts on the wire are in thousandths of a core.
_MILLICORES_PER_CORE = 1000
#: Largest ``spec`` that a job may pass to its tasks, in bytes; the limit is
#: set in the users' documentation.
_MAX_SPEC_BYTES = 4000
#: Largest number of tasks of an accepted job. The state of all tasks is stored
#: in one row of at most 64 KiB and takes 74 bytes a task. Steps of the users'
#: jobs have up to 36 tasks.
MAX_TASKS_PER_JOB = 850
_WORKER_STATES = frozenset(('ready', 'draining'))
#: Identifier of a worker. It is sent in a header field, so it must not end one.
_WORKER_ID_PATTERN = re.compile('[!-~]+')
#: IPv4 address or host name. Resolvers cannot encode longer labels.
_HOST_PATTERN = re.compile(r'[\w-]{1,63}(?:\.[\w-]{1,63})*', re.ASCII)
_MAX_HOST_LENGTH = 253
_JOB_ID_PATTERN = re.compile('[0-9a-fA-F]{16}')


class _WireCapacity(msgspec.Struct):
    cpu: PositiveNumber
    mem_mb: PositiveNumber
    gpu: WholeNumber = 0


class _WireWorker(msgspec.Struct):
    """
    Entry under which a worker registers itself.

    ``service`` is the worker's pool; ``labels`` are its kind and its rack.
    ``remaining_ms`` may be negative once a draining worker has stayed longer
    than it had said. ``cold_remaining_ms`` is missing where workers are never
    cold.
    """

    service: str
    address: str
    zone: str
    state: str
    room: _WireCapacity
    labels: list[str] = []
    machine: str = ''
    clock_ms: WholeNumber = 0
    born: WholeNumber = 0
    remaining_ms: ExactInteger = 0
    cold_remaining_ms: ExactInteger = 0


class _WireStep(msgspec.Struct):
    """Step of a job; the wire format omits fields that are zero."""

    count: WholeNumber
    cpu: WholeNumber = 0
    mem_mb: WholeNumber = 0
    gpu: WholeNumber = 0
    est_ms: Amount = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    anti_affinity: WholeNumber = 0
    speculative: bool = False
    long_lived: bool = False
    image: str = ''
    target_ms: Amount = 0
    fills: bool = False
    may_miss: ExactInteger | None = None


class _WireJob(msgspec.Struct):
    spec: str
    steps: list[_WireStep]
    repeat_count: WholeNumber = 0
    start_at_ms: Amount = 0
    interval_ms: Amount = 0


class _WireApprovalTerms(msgspec.Struct):
    decide_ms: Amount = 0
    each_ms: Amount = 0
    valid_ms: Amount = 0


class _WireQueue(msgspec.Struct):
    """
    Queue in the configuration.

    ``stretch`` and ``target_latency_ms`` define the latency objective of the
    queue's jobs.
    """

    name: str
    host: str
    path_prefix: str
    service: str = ''
    priority: ExactInteger = 0
    attempts: ExactInteger = 1
    stretch: Amount = 1
    target_latency_ms: Amount = 0
    advice: _WireApprovalTerms | None = None


class _WirePool(msgspec.Struct):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _WireLimits(msgspec.Struct):
    """Limits of clients; the defaults are those of the specification."""

    max_header_bytes: HeadLimit = 16384
    max_body_bytes: BodyLimit = 262144
    header_timeout_ms: TimeLimitMs = 3000
    idle_timeout_ms: TimeLimitMs = 15000


class _WireConfiguration(msgspec.Struct):
    version: ExactInteger
    routes: list[_WireQueue] = []
    services: list[_WirePool] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


def parse_worker(worker_id: str, content: bytes) -> ListedWorker | Malformed:
    """
    Parse the entry under which a worker registers itself.

    :param worker_id: identifier of the worker; the key of the entry.
    :param content: the entry as JSON.
    :returns: the worker, or why the entry is invalid.
    """
    try:
        wire = msgspec.json.decode(content, type=_WireWorker)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
    if wire.state not in _WORKER_STATES:
        return Malformed(
            reason=f'state {wire.state!r}, expected ready or draining',
        )
    if not _is_worker_address(wire.address):
        return Malformed(
            reason=f'address {wire.address!r}, expected host and port',
        )
    if _WORKER_ID_PATTERN.fullmatch(worker_id) is None:
        return Malformed(
            reason=f'key {worker_id!r}, expected printable ASCII characters',
        )
    return ListedWorker(
        worker_id=worker_id,
        pool=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        capacity=_build_resources(
            wire.room.cpu, wire.room.mem_mb, wire.room.gpu
        ),
        labels=tuple(wire.labels),
        rack=wire.labels[-1] if len(wire.labels) > 1 else '',
        machine=wire.machine,
        is_draining=wire.state == 'draining',
        clock_ms=wire.clock_ms,
        born_ms=wire.born,
        remaining_ms=max(wire.remaining_ms, 0),
        cold_remaining_ms=max(wire.cold_remaining_ms, 0),
    )


def parse_catalogue(content: bytes) -> Catalogue | Malformed:
    """
    Parse a configuration.

    :param content: the operator's document as JSON.
    :returns: queues and pools, or why the document is invalid.
    """
    try:
        wire = msgspec.json.decode(content, type=_WireConfiguration)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
    return Catalogue(
        version=wire.version,
        queue_by_name={
            queue.name: _build_queue(queue) for queue in wire.routes
        },
        pool_by_name={
            pool.name: Pool(
                name=pool.name,
                is_guarded=pool.enforces_capacity,
                is_spare=pool.spare,
            )
            for pool in wire.services
        },
        client_limits=ClientLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=wire.limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def parse_job(
    body: bytes,
    *,
    job_id: str,
    queue: str,
    accepted_at: WallTime,
) -> Job | Malformed:
    """
    Parse a job that a client submits.

    :param body: the client's document as JSON.
    :param job_id: identifier that the client chose.
    :param queue: name of the queue.
    :param accepted_at: wall time at which the job is accepted.
    :returns: the job, or why the document is invalid.
    """
    try:
        wire = msgspec.json.decode(body, type=_WireJob)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
    problem = _find_problem(wire)
    if problem:
        return Malformed(reason=problem)
    return Job(
        job_id=job_id,
        queue=queue,
        spec=wire.spec,
        steps=tuple(_build_step(step) for step in wire.steps),
        accepted_at=accepted_at,
        repeat_count=wire.repeat_count,
        first_due_at=wire.start_at_ms / _MS_PER_S,
        interval_s=wire.interval_ms / _MS_PER_S,
    )


def is_job_id(text: str) -> bool:
    """
    Check whether a text is a job identifier.

    :param text: the text.
    :returns: whether the text consists of 16 hexadecimal digits.
    """
    return _JOB_ID_PATTERN.fullmatch(text) is not None


def _is_worker_address(address: str) -> bool:
    parts = split_address(address)
    if parts is None or len(parts[0]) > _MAX_HOST_LENGTH:
        return False
    return _HOST_PATTERN.fullmatch(parts[0]) is not None


def _find_problem(wire: _WireJob) -> str:
    spec_bytes = len(wire.spec.encode())
    if spec_bytes > _MAX_SPEC_BYTES:
        return (
            f'spec has {spec_bytes} bytes, expected {_MAX_SPEC_BYTES} or less'
        )
    if not wire.steps:
        return 'no steps, expected at least one'
    task_count = sum(step.count for step in wire.steps)
    if task_count > MAX_TASKS_PER_JOB:
        return f'{task_count} tasks, expected at most {MAX_TASKS_PER_JOB}'
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            return f'step {number} has count {step.count}, expected 1 or more'
        if not depends_on_earlier_steps(number, step.after):
            return (
                f'step {number} is after {step.after}, '
                'expected only earlier steps'
            )
    return ''


def _build_step(wire: _WireStep) -> Step:
    return Step(
        count=wire.count,
        need=_build_resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_s=wire.est_ms / _MS_PER_S,
        after=tuple(dict.fromkeys(wire.after)),
        is_checkpointed=wire.saves_progress,
        is_gang=wire.gang,
        is_same_rack=wire.same_rack,
        required_label=wire.required_label,
        data_rack=wire.data_rack,
        per_worker_limit=wire.anti_affinity,
        is_speculative=wire.speculative,
        is_long_lived=wire.long_lived,
        image=wire.image,
        latency_target_ms=wire.target_ms,
        is_filler=wire.fills,
        max_unavailable=wire.may_miss,
    )


def _build_resources(cpu: int, mem_mb: int, gpu: int) -> Resources:
    return Resources(
        cpu=cpu / _MILLICORES_PER_CORE,
        memory_mb=mem_mb,
        accelerators=gpu,
    )


def _build_queue(wire: _WireQueue) -> Queue:
    advice = None
    if wire.advice is not None:
        advice = ApprovalTerms(
            decide_s=wire.advice.decide_ms / _MS_PER_S,
            each_s=wire.advice.each_ms / _MS_PER_S,
            valid_s=wire.advice.valid_ms / _MS_PER_S,
        )
    return Queue(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        pool=wire.service,
        priority=wire.priority,
        attempts=wire.attempts,
        stretch=wire.stretch,
        slack_s=wire.target_latency_ms / _MS_PER_S,
        advice=advice,
    )
