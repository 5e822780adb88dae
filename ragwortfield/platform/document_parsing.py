"""Bodies of the platform, decoded once into the project's own types."""

import re
from typing import Annotated

import msgspec

from ragwortfield.adapters.json_codec import DECODE_ERRORS, Malformed
from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.catalogue import (
    ApprovalTerms,
    Catalogue,
    Pool,
    Queue,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.settings.instance import split_address
from ragwortfield.types import WallTime

_MS_PER_S = 1000
#: Processor is counted in thousandths of a core on the wire.
_MILLICORES = 1000
#: Longest text that a job may hand to its tasks, in bytes (users' pages).
_MAX_SPEC_BYTES = 4000
#: Most tasks of one job that are taken: their state makes up one row of at
#: most 64 KiB, with 74 bytes a task. A step of the users has up to 36.
MAX_TASKS_PER_JOB = 850
_STATES = frozenset(('ready', 'draining'))
_JOB_ID = re.compile('[0-9a-fA-F]{16}')


#: Largest whole number that a float holds exactly.
_LARGEST = 9_007_199_254_740_992
_Amount = Annotated[int, msgspec.Meta(ge=0, le=_LARGEST)]


class _Room(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Entry(msgspec.Struct):
    """
    Worker's own entry.

    ``service`` is its pool; ``labels`` are its kind and its rack.
    """

    service: str
    address: str
    zone: str
    state: str
    room: _Room
    labels: list[str] = []
    machine: str = ''
    clock_ms: int = 0
    born: int = 0
    remaining_ms: int = 0


class _Step(msgspec.Struct):
    """Step of a job; fields at zero are left out on the wire."""

    count: _Amount
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    est_ms: float = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    anti_affinity: _Amount = 0
    speculative: bool = False
    long_lived: bool = False
    image: str = ''
    target_ms: float = 0
    fills: bool = False
    may_miss: int | None = None


class _Job(msgspec.Struct):
    spec: str
    steps: list[_Step]
    repeat_count: _Amount = 0
    start_at_ms: float = 0
    interval_ms: float = 0


class _Advice(msgspec.Struct):
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct):
    """
    Queue in the configuration.

    ``stretch`` and ``target_latency_ms`` make up a job's objective.
    """

    name: str
    host: str
    path_prefix: str
    service: str = ''
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    target_latency_ms: float = 0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []


def parse_worker(worker_id: str, content: bytes) -> ListedWorker | Malformed:
    """
    Read a worker's own entry.

    :param worker_id: its identifier, the key of the entry.
    :param content: the entry.
    :returns: the worker, or why the entry names none.
    """
    try:
        entry = msgspec.json.decode(content, type=_Entry)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
    if entry.state not in _STATES:
        return Malformed(
            reason=f'state {entry.state!r}, expected ready or draining',
        )
    if split_address(entry.address) is None:
        return Malformed(
            reason=f'address {entry.address!r}, expected host and port',
        )
    return ListedWorker(
        worker_id=worker_id,
        pool=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        room=_resources(entry.room.cpu, entry.room.mem_mb, entry.room.gpu),
        labels=tuple(entry.labels),
        rack=entry.labels[-1] if len(entry.labels) > 1 else '',
        machine=entry.machine,
        is_draining=entry.state == 'draining',
        clock_ms=entry.clock_ms,
        born_ms=entry.born,
        remaining_ms=entry.remaining_ms,
    )


def parse_catalogue(content: bytes) -> Catalogue | Malformed:
    """
    Read a configuration.

    :param content: the operator's document.
    :returns: queues and pools, or why it cannot be used.
    """
    try:
        config = msgspec.json.decode(content, type=_Config)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
    return Catalogue(
        version=config.version,
        queue_by_name={one.name: _queue(one) for one in config.routes},
        pool_by_name={
            one.name: Pool(
                name=one.name,
                is_guarded=one.enforces_capacity,
                is_spare=one.spare,
            )
            for one in config.services
        },
    )


def parse_job(
    body: bytes,
    *,
    job_id: str,
    queue: str,
    accepted_at: WallTime,
) -> Job | Malformed:
    """
    Read a job that a client submits.

    :param body: the client's document.
    :param job_id: identifier that the client chose.
    :param queue: name of the queue.
    :param accepted_at: reading of the wall clock.
    :returns: the job, or what is wrong with it.
    """
    try:
        wire = msgspec.json.decode(body, type=_Job)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))
    problem = _problem(wire)
    if problem:
        return Malformed(reason=problem)
    return Job(
        job_id=job_id,
        queue=queue,
        spec=wire.spec,
        steps=tuple(_step(one) for one in wire.steps),
        accepted_at=accepted_at,
        repeat_count=wire.repeat_count,
        first_due_at=wire.start_at_ms / _MS_PER_S,
        interval_s=wire.interval_ms / _MS_PER_S,
    )


def is_job_id(text: str) -> bool:
    """
    Tell whether a text is an identifier of a job.

    :param text: the text.
    :returns: whether it is 16 hexadecimal digits.
    """
    return _JOB_ID.fullmatch(text) is not None


def _problem(wire: _Job) -> str:
    spec_bytes = len(wire.spec.encode())
    if spec_bytes > _MAX_SPEC_BYTES:
        return f'spec has {spec_bytes} bytes, expected {_MAX_SPEC_BYTES}'
    if not wire.steps:
        return 'no steps, expected at least one'
    if sum(one.count for one in wire.steps) > MAX_TASKS_PER_JOB:
        return f'more than {MAX_TASKS_PER_JOB} tasks'
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            return f'step {number} has count {step.count}, expected 1 or more'
        if any(not 0 <= one < number for one in step.after):
            return f'step {number} is after {step.after}, expected earlier ones'
    return ''


def _step(wire: _Step) -> Step:
    return Step(
        count=wire.count,
        need=_resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_s=wire.est_ms / _MS_PER_S,
        after=wire.after,
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


def _resources(cpu: int, mem_mb: int, gpu: int) -> Resources:
    return Resources(
        cpu=cpu / _MILLICORES,
        memory_mb=mem_mb,
        accelerators=gpu,
    )


def _queue(wire: _Route) -> Queue:
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
