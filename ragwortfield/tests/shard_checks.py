"""Checks placement and gangs in the histories of a shard's workers."""

from itertools import combinations

from ragwortfield.engine.row_names import PROGRESS_TABLE
from ragwortfield.scheduling.records import ProgressRecord, decode_record


def check_placement(world):
    """
    Check all starts against the required labels and the limits per worker.

    :param world: the simulated shard.
    :raises AssertionError: if a worker started a task without having the label
        that its step requires, or more tasks of a step than the step allows.
    """
    for worker in world.workers.worker_by_id.values():
        running = set()
        for change, _, key, run, _ in worker.history:
            if change in {'end', 'lost'}:
                running.discard((key, run))
            if change != 'start':
                continue
            running.add((key, run))
            same_step_keys = [
                running_key
                for running_key, _ in running
                if running_key[:3] == key[:3]
            ]
            _check_start(worker, key, _get_step(world, key), same_step_keys)


def check_gangs(world):
    """
    Check that the members of a gang run together and end together.

    :param world: the simulated shard.
    :raises AssertionError: if members ran at the same time under different run
        numbers, a member started after the gang was done, or a stored progress
        row binds only some members.
    """
    runs_by_gang = {}
    for worker in world.workers.worker_by_id.values():
        for gang, run in _iterate_gang_runs(world, worker):
            runs_by_gang.setdefault(gang, []).append(run)
    done_at_by_gang = _find_done_at_by_gang(world)
    for gang, runs in runs_by_gang.items():
        _check_run_numbers(runs)
        done_at = done_at_by_gang.get(gang, world.now)
        assert all(start <= done_at for _, _, start, _ in runs), (
            f'{gang} started after one of its members was done: {runs}'
        )
    _check_progress_rows(world)


def check_speculative_runs(world, intervals):
    """
    Check the runs of tasks of speculative steps.

    :param world: the simulated shard.
    :param intervals: task, start, end, kind of end and time of its
        acknowledgement of each run, by start.
    :raises AssertionError: if three runs of a task went on at a time, or one
        started after an acknowledged end as done or after as many acknowledged
        failures as are attempts.
    """
    earlier_by_key = {}
    for interval in intervals:
        key, start, *_ = interval
        step = _get_step(world, key)
        if not step.is_speculative:
            continue
        earlier = earlier_by_key.setdefault(key, [])
        running = [other for other in earlier if other[2] > start]
        assert len(running) < 2, f'{interval} is the third run: {running}'
        acknowledged = [
            other
            for other in earlier
            if other[4] is not None and other[4] < start
        ]
        kinds = [kind for _, _, _, kind, _ in acknowledged]
        assert 'done' not in kinds, f'{interval} started after {acknowledged}'
        assert kinds.count('failed') < world.attempts, (
            f'{interval} started after {acknowledged}'
        )
        earlier.append(interval)


def _check_start(worker, key, step, same_step_keys):
    label = step.required_label
    assert not label or label in worker.labels, (
        f'{key} started on {worker.worker_id}, whose labels '
        f'{worker.labels} lack {label}'
    )
    limit = step.per_worker_limit
    assert not limit or len(same_step_keys) <= limit, (
        f'{same_step_keys} run on {worker.worker_id}, which may run {limit}'
    )


def _check_run_numbers(runs):
    for first, other in combinations(runs, 2):
        key, run, start, end = first
        other_key, other_run, other_start, other_end = other
        is_overlapping = start < other_end and other_start < end
        assert not is_overlapping or run == other_run, (
            f'{key} in run {run} while {other_key} in run {other_run}'
        )


def _check_progress_rows(world):
    """Check that the store has bindings of all members of a gang or of none."""
    for row in world.store.row_by_name.values():
        if row.name.table != PROGRESS_TABLE or row.content is None:
            continue
        if row.name in world.damaged_rows:
            continue
        record = decode_record(row.content, ProgressRecord)
        steps = world.accepted_job_by_id[record.job_id].steps
        for step, tasks in zip(steps, record.steps, strict=True):
            run_numbers = {task.run for task in tasks}
            assert not step.is_gang or len(run_numbers) == 1, (
                f'{row.name.key}: members of a gang have different run '
                f'numbers {run_numbers}'
            )


def _find_done_at_by_gang(world):
    """Find when the first end as done of each gang was acknowledged."""
    acknowledged_ends = [
        (at, key)
        for worker in world.workers.worker_by_id.values()
        for change, at, key, _, detail in worker.history
        if (change, detail) == ('noted', 'done')
    ]
    return {key[:3]: at for at, key in sorted(acknowledged_ends, reverse=True)}


def _iterate_gang_runs(world, worker):
    """Yield the gang of each member's run, with key, run, start and end."""
    started_at_by_run = {}
    for change, at, key, run, _ in worker.history:
        if not _get_step(world, key).is_gang:
            continue
        if change == 'start':
            started_at_by_run[key, run] = at
        elif change in {'end', 'lost'}:
            yield key[:3], (key, run, started_at_by_run.pop((key, run)), at)
    for (key, run), start in started_at_by_run.items():
        yield key[:3], (key, run, start, world.now + 1)


def _get_step(world, key):
    job = world.accepted_job_by_id.get(key.job_id)
    assert job is not None, f'{key} ran, though its job was not accepted'
    return job.steps[key.step]
