"""Lasting tasks of lost workers, when their owner is removed as well."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from standins import run_case  # noqa: E402

JOBS = 4
STEP = {'count': 6, 'cpu': 6400, 'mem_mb': 13000, 'est_ms': 500,
        'long_lived': True}
LOST_WORKERS = 3
#: From the disruption on: contact_ms, the calm 4 s and 3 s of the rule, and the
#: second until the removed instance is replaced.
BROKEN_AFTER_S = 1 + 3 + 4 + 3


async def play(deployment, trouble):
    await deployment.start(nodes=3, workers=24)
    jobs = [f'{0x5C0E7A21D94B0000 + number:016x}' for number in range(JOBS)]
    for job_id in jobs:
        if not await deployment.submit(job_id, [STEP], [0]):
            return 2
    await asyncio.sleep(5)
    wanted = {f'{job_id}.0.0.{index}' for job_id in jobs
              for index in range(STEP['count'])}
    if wanted - set(deployment.running()):
        deployment.log('not-run', why='not all tasks run')
        return 2
    if trouble:
        busy = [one for one in deployment.workers.values() if one.runs]
        owner = deployment.owner()
        deployment.log('owner-removed', node=owner)
        deployment.nodes[owner].kill()
        for worker in busy[:LOST_WORKERS]:
            asyncio.create_task(deployment.lose_worker(worker))
        await asyncio.sleep(1)
        deployment.nodes.pop(owner).wait()
        deployment.start_node('edge-new')
    await asyncio.sleep(BROKEN_AFTER_S - 1)
    away = wanted - set(deployment.running())
    waited_s = BROKEN_AFTER_S
    while wanted - set(deployment.running()) and waited_s < 30:
        await asyncio.sleep(0.2)
        waited_s += 0.2
    used = sum(one.used_cpu() for one in deployment.workers.values())
    deployment.log('result', away=len(away), used_cpu=used,
                   all_run_after_s=round(waited_s, 1))
    print(f'{len(away)} of {len(wanted)} lasting tasks not running '
          f'{BROKEN_AFTER_S} s after the disruption; all run after '
          f'{waited_s:.1f} s')
    return 1 if away else 0


run_case(HERE / 'record.txt', play)
