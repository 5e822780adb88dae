"""What workers of the random world have seen, against the steps' terms."""

from itertools import combinations

from ragwortfield.engine.row_names import PROGRESS_TABLE
from ragwortfield.scheduling.records import ProgressRecord, decode_record


def check_placement(world):
    """
    Check labels and limits of all starts.

    :param world: the shard world.
    :raises AssertionError: for a start that a step's terms forbid.
    """
    for worker in world.workers.worker_by_id.values():
        at_work = set()
        for what, _, key, run, _ in worker.history:
            if what in {'end', 'lost'}:
                at_work.discard((key, run))
            if what != 'start':
                continue
            at_work.add((key, run))
            beside = [one for one, _ in at_work if one[:3] == key[:3]]
            _check_start(worker, key, _step(world, key), beside)


def check_gangs(world):
    """
    Check that members run under one number, and none after the gang's end.

    :param world: the shard world.
    :raises AssertionError: for members that are not in one run.
    """
    runs_by_gang = {}
    for worker in world.workers.worker_by_id.values():
        for gang, run in _gang_runs(world, worker):
            runs_by_gang.setdefault(gang, []).append(run)
    done_by_gang = _done_by_gang(world)
    for gang, runs in runs_by_gang.items():
        _check_numbers(runs)
        done_at = done_by_gang.get(gang, world.now)
        assert all(start <= done_at for _, _, start, _ in runs), (
            f'{gang} started after one of its members was done: {runs}'
        )
    _check_records(world)


def _check_start(worker, key, step, beside):
    label = step.required_label
    assert not label or label in worker.labels, (
        f'{key} started on {worker.worker_id} without {label}'
    )
    limit = step.per_worker_limit
    assert not limit or len(beside) <= limit, (
        f'{beside} run on {worker.worker_id}, limit {limit}'
    )


def _check_numbers(runs):
    for one, other in combinations(runs, 2):
        key, run, start, end = one
        other_key, other_run, other_start, other_end = other
        is_together = start < other_end and other_start < end
        assert not is_together or run == other_run, (
            f'{key} in run {run} beside {other_key} in run {other_run}'
        )


def _check_records(world):
    """Bindings are durable for all members of a gang or for none."""
    for row in world.store.row_by_name.values():
        if row.name.table != PROGRESS_TABLE or row.content is None:
            continue
        record = decode_record(row.content, ProgressRecord)
        terms = world.accepted_job_by_id[record.job_id].steps
        for step, tasks in zip(terms, record.steps, strict=True):
            numbers = {task.run for task in tasks}
            assert not step.is_gang or len(numbers) == 1, (
                f'{row.name.key}: members of a gang have runs {numbers}'
            )


def _done_by_gang(world):
    """Give the earliest time at which an end as done was noted."""
    noted = [
        (at, key)
        for worker in world.workers.worker_by_id.values()
        for what, at, key, _, detail in worker.history
        if (what, detail) == ('noted', 'done')
    ]
    return {key[:3]: at for at, key in sorted(noted, reverse=True)}


def _gang_runs(world, worker):
    """Give the gang of each member's run with key, run, start and end."""
    open_by_run = {}
    for what, at, key, run, _ in worker.history:
        if not _step(world, key).is_gang:
            continue
        if what == 'start':
            open_by_run[key, run] = at
        elif what in {'end', 'lost'}:
            yield key[:3], (key, run, open_by_run.pop((key, run)), at)
    for (key, run), start in open_by_run.items():
        yield key[:3], (key, run, start, world.now + 1)


def _step(world, key):
    job = world.accepted_job_by_id.get(key.job_id)
    assert job is not None, f'{key} ran, though its job was not accepted'
    return job.steps[key.step]
