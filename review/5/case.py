"""A job that was cancelled runs: its instance was frozen as it was handed in."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from standins import call, run_case  # noqa: E402

FREEZE_S = 4.0
JOBS = 5
#: Time after which a client leaves, and cancels on another instance.
LEAVES_AFTER_S = 0.3
STEP = {'count': 2, 'cpu': 2300, 'mem_mb': 4600, 'est_ms': 800}
DEADLINE = [('X-Ragwortfield-Deadline-Ms', '3000')]


async def hand_in_and_leave(deployment, job_id, first, second):
    """Hand a job in, leave without its answer, and cancel it elsewhere."""
    job = {'steps': [STEP], 'accepted_at': None, 'cancelled_at': None}
    deployment.jobs[job_id] = job
    answer = await call(
        deployment.front(first), 'POST', f'/jobs/{job_id}',
        {'spec': '{"ms": [800], "need": [[2300, 4600]]}', 'steps': [STEP]},
        DEADLINE, timeout_s=LEAVES_AFTER_S,
    )
    deployment.log('submitted', job=job_id, node=first, answer=answer)
    for _ in range(3):
        answer = await call(
            deployment.front(second), 'DELETE', f'/jobs/{job_id}', None,
            DEADLINE,
        )
        deployment.log('cancelled', job=job_id, node=second, answer=answer)
        if answer is not None and answer[0] in {200, 410}:
            job['cancelled_at'] = deployment.now()
            return


async def play(deployment, trouble):
    await deployment.start(nodes=3, workers=8)
    await asyncio.sleep(2)
    owner = deployment.owner()
    first, second = [name for name in deployment.nodes if name != owner]
    deployment.log('roles', owner=owner, frozen=first, other=second)
    if trouble:
        deployment.nodes[first].send_signal(signal.SIGSTOP)
        deployment.log('frozen', node=first)
    frozen_at = deployment.now()
    for number in range(JOBS):
        await hand_in_and_leave(
            deployment, f'{0x5C0E7A21D94B0000 + number:016x}', first, second
        )
    await asyncio.sleep(max(frozen_at + FREEZE_S - deployment.now(), 0))
    if trouble:
        deployment.nodes[first].send_signal(signal.SIGCONT)
        deployment.log('thawed', node=first)
    await asyncio.sleep(6)
    if any(job['cancelled_at'] is None for job in deployment.jobs.values()):
        deployment.log('not-run', why='a cancel was not acknowledged')
        return 2
    limit_s = deployment.bounds['cancel_ms'] / 1000
    late = []
    for started_at, worker_id, task, run, _ in deployment.starts:
        age_s = started_at - deployment.jobs[task.split('.')[0]]['cancelled_at']
        if age_s > limit_s:
            late.append(task)
            deployment.log('started-after-cancel', task=task, run=run,
                           worker=worker_id, age_s=round(age_s, 3))
    for job_id in deployment.jobs:
        await deployment.ask(job_id, second)
    print(f'{len(late)} starts of {len({one.split(".")[0] for one in late})} '
          f'jobs over {limit_s} s after their cancelling was acknowledged')
    return 1 if late else 0


run_case(HERE / 'record.txt', play)
