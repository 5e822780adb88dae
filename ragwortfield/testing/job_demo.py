"""Demonstration of the job scheduler: ``ragwortfield-job-demo``.

Three instances on stand-ins of the platform run jobs while the owner of the
shard is killed, the store is away for a moment and one instance is stopped as
planned. Ends with status 1 when a job was lost or a task was done twice.
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
    SchedulerProcess,
    SchedulerDeployment,
)
from ragwortfield.types import JobId, Seconds

_INSTANCES = 3
_WORKERS = 3
_JOBS = 24
_STEPS = (3, 2)
#: Time between two submissions, in seconds.
_PAUSE_S: Seconds = 0.2
#: Length of the store's outage, in seconds.
_OUTAGE_S: Seconds = 1.5
#: Longest wait for all jobs, in seconds.
_LIMIT_S: Seconds = 60
#: Submissions after which the owner is killed, the store goes away and an
#: instance is stopped as planned.
_KILL_AFTER = 6
_OUTAGE_AFTER = 12
_STOP_AFTER = 18
_SUCCESS = 200


def main(_arguments: list[str]) -> int:
    """
    Run the demonstration.

    :returns: exit status.
    """
    logging.set_verbosity(logging.FATAL)
    deployment = SchedulerDeployment()
    try:
        deployment.start(instances=_INSTANCES, workers=_WORKERS)
        accepted = _submit_all(deployment)
        missing = _await_all(deployment, accepted)
    finally:
        deployment.stop()
    doubled = _doubled(deployment)
    sys.stdout.write(
        f'jobs accepted: {len(accepted)} of {_JOBS}\n'
        f'jobs not complete: {len(missing)}\n'
        f'tasks done twice: {len(doubled)}\n',
    )
    return 1 if missing or doubled or not accepted else 0


def run() -> None:
    """Start from the command line."""
    app.run(main)


def _submit_all(deployment: SchedulerDeployment) -> list[JobId]:
    accepted = []
    for number in range(_JOBS):
        _disturb(deployment, number)
        job_id = f'{number:016x}'
        if _submit(deployment, job_id):
            accepted.append(job_id)
        gevent.sleep(_PAUSE_S)
    return accepted


def _submit(deployment: SchedulerDeployment, job_id: JobId) -> bool:
    """Send until an instance accepts, as a client does."""
    body = encode_job('sleep 0.3', _STEPS)
    end = time.monotonic() + _LIMIT_S / 2
    while time.monotonic() < end:
        for instance in _running(deployment):
            answer = deployment.call(
                instance,
                'POST',
                f'{PREFIX}{job_id}',
                body,
            )
            if answer is not None and answer.status == _SUCCESS:
                return True
        gevent.sleep(_PAUSE_S)
    return False


def _disturb(deployment: SchedulerDeployment, number: int) -> None:
    owner = deployment.owner()
    if number == _KILL_AFTER and owner is not None:
        sys.stdout.write(f'killing the owner, {owner.name}\n')
        owner.process.kill()
        owner.process.wait()
    elif number == _OUTAGE_AFTER:
        sys.stdout.write(f'the store is away for {_OUTAGE_S} s\n')
        deployment.store.is_down = True
        gevent.spawn_later(_OUTAGE_S, _end_outage, deployment)
    elif number == _STOP_AFTER and owner is not None:
        sys.stdout.write(f'stopping {owner.name} as planned\n')
        owner.process.terminate()


def _end_outage(deployment: SchedulerDeployment) -> None:
    deployment.store.is_down = False


def _running(deployment: SchedulerDeployment) -> list[SchedulerProcess]:
    return [
        instance
        for instance in deployment.instance_by_name.values()
        if instance.process.poll() is None
    ]


def _await_all(
    deployment: SchedulerDeployment,
    accepted: list[JobId],
) -> list[JobId]:
    missing = list(accepted)
    end = time.monotonic() + _LIMIT_S
    while missing and time.monotonic() < end:
        missing = [
            job_id for job_id in missing if not _is_complete(deployment, job_id)
        ]
        gevent.sleep(_PAUSE_S)
    return missing


def _is_complete(deployment: SchedulerDeployment, job_id: JobId) -> bool:
    for instance in _running(deployment):
        answer = deployment.call(instance, 'GET', f'{PREFIX}{job_id}')
        if answer is not None and answer.status == _SUCCESS:
            state = msgspec.json.decode(answer.body)['state']
            return bool(state == 'complete')
    return False


def _doubled(deployment: SchedulerDeployment) -> list[str]:
    done = Counter(
        entry[2]
        for worker in deployment.worker_by_id.values()
        for entry in worker.history
        if (entry[0], entry[4]) == ('end', 'done')
    )
    return [str(key) for key, count in done.items() if count > 1]


if __name__ == '__main__':
    run()
