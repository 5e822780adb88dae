"""Jobs whose only start failed are no longer counted as waiting."""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from standins import Deployment, Record

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
WORKERS = 10
#: Tasks that fill all workers but one.
FILLING, FILLING_CPU, FILLING_S = 36, 8000, 100
JOBS, CPU = 8, 2300
VISIBLE_S = 3.0
DOWN_S = 3.5


def work(_task, spec):
    return float(spec), 'done'


def job(spec, count, cpu):
    return {
        'spec': spec,
        'steps': [
            {
                'count': count,
                'cpu': cpu,
                'mem_mb': 4600,
                'est_ms': int(float(spec) * 1000),
            }
        ],
    }


async def submit(deployment, record, number, document, accepted):
    job_id = f'{number:016x}'
    answer = await deployment.ask(number, 'POST', job_id, document)
    record.write(f'client: POST {job_id} -> {answer}')
    if answer is not None and answer[0] == 200:
        accepted[job_id] = record.now()


def begun_jobs(deployment):
    return {
        task.split('.')[0]
        for worker in deployment.workers.values()
        for _, task, _ in worker.starts
    }


async def main():
    record = Record(FOLDER)
    deployment = Deployment(record)
    try:
        await deployment.start(3, WORKERS, work)
    except TimeoutError as error:
        record.write(f'the case could not run: {error}')
        deployment.stop()
        return 2
    try:
        accepted = {}
        filling = job(str(FILLING_S), FILLING, FILLING_CPU)
        await submit(deployment, record, 1, filling, accepted)
        await asyncio.sleep(4)
        empty = [w for w in deployment.workers.values() if not w.runs]
        if len(empty) != 1:
            record.write(f'the case could not run: {len(empty)} empty workers')
            return 2
        if TROUBLE:
            empty[0].lose()
            record.write(f'worker {empty[0].worker_id} crashes for good')
        await asyncio.gather(
            *(
                submit(
                    deployment, record, 100 + n, job('0.8', 1, CPU), accepted
                )
                for n in range(JOBS)
            )
        )
        await asyncio.sleep(2)
        owner = deployment.owner()
        if TROUBLE:
            deployment.entries[owner].signal(signal.SIGKILL)
            record.write(f'{owner}, which last wrote to the store, is killed')
            await asyncio.sleep(2.5)
            deployment.store.put('servers', '', empty[0].worker_id, None)
            await asyncio.sleep(DOWN_S - 2.5)
            deployment.entries[owner].start()
            record.write(f'{owner} is started again')
        await asyncio.sleep(VISIBLE_S + 2 + 1)
        wrong = 0
        for _ in range(6):
            waiting = [
                job_id
                for job_id, at in accepted.items()
                if job_id not in begun_jobs(deployment)
                and record.now() - at > VISIBLE_S + 2
            ]
            for number, name in enumerate(deployment.entries):
                if name == owner:
                    continue
                answer = await deployment.ask(number, 'GET', '')
                record.write(
                    f'client: GET of the queue at {name} -> {answer}; '
                    f'{len(waiting)} jobs have not begun'
                )
                if answer is not None and answer[0] == 200:
                    wrong += answer[1]['waiting'] < len(waiting) / 2
            await asyncio.sleep(0.5)
        for job_id in list(accepted)[1:3]:
            answer = await deployment.ask(0, 'GET', job_id)
            record.write(f'client: GET {job_id} -> {answer}')
        record.write(f'judge: {wrong} answers gave under half of the jobs')
        record.write('judge: rule MIXED ' + ('broken' if wrong else 'held'))
        return 1 if wrong else 0
    finally:
        deployment.stop()


async def limited():
    try:
        return await asyncio.wait_for(main(), 105)
    except TimeoutError:
        return 2


sys.exit(asyncio.run(limited()))
