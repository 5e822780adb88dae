"""Demonstration of the job scheduler: ``ragwortfield-job-demo``.

Three instances on fakes of the store and the workers run jobs while the owner
of the shard is killed, the store is unavailable for a time and the next owner
is stopped gracefully. Ends with status 1 when no job was accepted, a job was
not completed or a task was done twice.
"""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import sys
import time
from collections import Counter

import gevent
import msgspec
from absl import app, logging

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import (
    PREFIX,
    SchedulerDeployment,
    SchedulerProcess,
)
from ragwortfield.types import JobId, Seconds

_INSTANCE_COUNT = 3
_WORKER_COUNT = 3
_JOB_COUNT = 24
#: Number of tasks in each step of a job.
_TASK_COUNTS = (3, 2)
#: Time between two submissions and between two checks, in seconds.
_INTERVAL_S: Seconds = 0.2
#: Duration of the store's outage, in seconds.
_OUTAGE_S: Seconds = 1.5
#: Longest wait until all jobs are complete, and twice the longest wait until a
#: job is accepted, in seconds.
_COMPLETION_TIMEOUT_S: Seconds = 60
#: Numbers of submissions after which the owner is killed, the store becomes
#: unavailable and the owner is stopped gracefully.
_KILL_AFTER = 6
_OUTAGE_AFTER = 12
_STOP_AFTER = 18
_STATUS_OK = 200


def main(_arguments: list[str]) -> int:
    """
    Run the demonstration.

    :returns: exit status.
    """
    logging.set_verbosity(logging.FATAL)
    deployment = SchedulerDeployment()
    try:
        deployment.start(instances=_INSTANCE_COUNT, workers=_WORKER_COUNT)
        accepted = _submit_all(deployment)
        missing = _wait_until_complete(deployment, accepted)
    finally:
        deployment.stop()
    done_twice = _find_tasks_done_twice(deployment)
    sys.stdout.write(
        f'jobs accepted: {len(accepted)} of {_JOB_COUNT}\n'
        f'jobs not complete: {len(missing)}\n'
        f'tasks done twice: {len(done_twice)}\n',
    )
    return 1 if missing or done_twice or not accepted else 0


def run() -> None:
    """Run the demonstration from the command line."""
    app.run(main)


def _submit_all(deployment: SchedulerDeployment) -> list[JobId]:
    accepted = []
    for number in range(_JOB_COUNT):
        _inject_fault(deployment, number)
        job_id = f'{number:016x}'
        if _submit(deployment, job_id):
            accepted.append(job_id)
        gevent.sleep(_INTERVAL_S)
    return accepted


def _submit(deployment: SchedulerDeployment, job_id: JobId) -> bool:
    """Retry on all instances until one accepts, as clients do."""
    body = encode_job('sleep 0.3', _TASK_COUNTS)
    deadline = time.monotonic() + _COMPLETION_TIMEOUT_S / 2
    while time.monotonic() < deadline:
        for instance in _list_running(deployment):
            answer = deployment.call(
                instance,
                'POST',
                f'{PREFIX}{job_id}',
                body,
            )
            if answer is not None and answer.status == _STATUS_OK:
                return True
        gevent.sleep(_INTERVAL_S)
    return False


def _inject_fault(deployment: SchedulerDeployment, number: int) -> None:
    owner = deployment.owner()
    if number == _KILL_AFTER and owner is not None:
        sys.stdout.write(f'killing the owner, {owner.name}\n')
        owner.process.kill()
        owner.process.wait()
    elif number == _OUTAGE_AFTER:
        sys.stdout.write(f'the store is unavailable for {_OUTAGE_S} s\n')
        deployment.store.is_down = True
        gevent.spawn_later(_OUTAGE_S, _end_outage, deployment)
    elif number == _STOP_AFTER and owner is not None:
        sys.stdout.write(f'stopping the owner, {owner.name}, gracefully\n')
        owner.process.terminate()


def _end_outage(deployment: SchedulerDeployment) -> None:
    deployment.store.is_down = False


def _list_running(deployment: SchedulerDeployment) -> list[SchedulerProcess]:
    return [
        instance
        for instance in deployment.instance_by_name.values()
        if instance.process.poll() is None
    ]


def _wait_until_complete(
    deployment: SchedulerDeployment,
    accepted: list[JobId],
) -> list[JobId]:
    missing = list(accepted)
    deadline = time.monotonic() + _COMPLETION_TIMEOUT_S
    while missing and time.monotonic() < deadline:
        missing = [
            job_id for job_id in missing if not _is_complete(deployment, job_id)
        ]
        gevent.sleep(_INTERVAL_S)
    return missing


def _is_complete(deployment: SchedulerDeployment, job_id: JobId) -> bool:
    for instance in _list_running(deployment):
        answer = deployment.call(instance, 'GET', f'{PREFIX}{job_id}')
        if answer is not None and answer.status == _STATUS_OK:
            state = msgspec.json.decode(answer.body)['state']
            return bool(state == 'complete')
    return False


def _find_tasks_done_twice(deployment: SchedulerDeployment) -> list[str]:
    done_count_by_task = Counter(
        entry[2]
        for worker in deployment.worker_by_id.values()
        for entry in worker.history
        if (entry[0], entry[4]) == ('end', 'done')
    )
    return [str(key) for key, count in done_count_by_task.items() if count > 1]


if __name__ == '__main__':
    run()
