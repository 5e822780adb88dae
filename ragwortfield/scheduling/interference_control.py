"""Keeps serving tasks within their latency targets by pacing fillers.

Fillers (best-effort batch tasks) interfere with the serving tasks on the same
worker. How much depends on the pair of images, and the load of the serving
tasks swings within seconds. A serving task loses nothing as long as its tail
latency stays within the target, so each has a headroom: the additional
utilisation up to the target, which the fillers beside it may use. Fillers are
placed where they interfere least. Where they do interfere, their pace (the
speed at which they run, in percent) is reduced so that the most urgent ones
share the headroom. Weights change within seconds, so the interference of a
filler is uncertain until a reading covers it; the setting
``uncovered_filler_margin`` lets it count for more until then.
"""

from functools import partial

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import OrderDone, OrderOutcome, PaceRun
from ragwortfield.scheduling import target_misses
from ragwortfield.scheduling.interference_model import CpuShares
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import UrgencyKey, compute_urgency
from ragwortfield.scheduling.task_lifecycle import format_task_key
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Share of the target that tail latencies are controlled to.
_TAIL_LATENCY_AIM = 0.85
#: Share of the target above which interfering fillers are paused at once.
_OVERLOAD_LIMIT = 1.3
#: Forecast horizon of loads, in seconds: a reading covers half a second, and a
#: new pace takes effect only after the next report.
_FORECAST_S: Seconds = 0.6
#: Time for which a serving task may miss its target beside fillers before they
#: are all paused, whatever their weights, in seconds. A single reading can be
#: noise, or be mended by the paces that the model suggests.
_TOLERATED_MISS_S: Seconds = 0.4
#: Increase of the speed limit of the fillers on a worker after a pause, for
#: each reading in which no serving task misses its target because of them.
_LIMIT_INCREASE = 0.5
#: Weights up to this value are ignored as noise in the readings.
_MIN_NOTABLE_WEIGHT = 0.15
#: A filler with a weight above this value interferes strongly.
_MIN_STRONG_WEIGHT = 1.0
#: Smallest change of pace that is worth a call to the worker, in percentage
#: points; changes to zero or to the full pace are always made.
_MIN_PACE_CHANGE = 10
#: Paces are rounded to a multiple of this, in percent.
_PACE_STEP = 5
_FULL_PACE = 100
#: Progress of a serving task that has started up, in percent.
_FULL_PERCENT = 100
#: Minimum time between two changes of pace on one worker, in seconds: readings
#: cover half a second.
_PACE_INTERVAL_S: Seconds = 0.3
#: Minimum time between two readings of a worker, in milliseconds: readings
#: that are closer together cover the same half second.
_READING_INTERVAL_MS = 240
#: Time after the start of a run or a change of its pace from which on readings
#: show the new pace only, in seconds; includes the restore from a checkpoint.
_SETTLING_S: Seconds = 1.5
#: Error of the pace that a reading of CPU use shows, in percentage points.
_PACE_TOLERANCE = 15
#: Factors on the expected interference of fillers that no reading covers yet:
#: when one is considered for a start, when others are started beside it, and
#: when its pace is set. The setting ``uncovered_filler_margin`` scales what
#: they add. In simulations two thirds of the misses came from fillers in their
#: first 0.75 s, mostly as weights were too low; there, weights swing by 80 % of
#: their mean.
_START_CAUTION = 1.3
_NEIGHBOUR_CAUTION = 1.6
_PACE_CAUTION = 2.0
#: Time that a reading covers, in seconds.
_READING_S: Seconds = 0.5
#: Share of its full speed that a filler must reach to be started.
_MIN_START_SPEED = 0.9

#: Additional utilisation that is acceptable, by image of the serving tasks.
HeadroomByImage = dict[str, float]


def apply_readings(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> Seconds:
    """
    Update the interference model from the readings of a worker's report.

    Does nothing if the latest readings used are too recent.

    :param state: state of the shard.
    :param worker: worker whose report has been applied.
    :param now: monotonic time, in seconds.
    :returns: longest time for which one of its serving tasks has missed its
        target beside fillers, in seconds.
    """
    longest_miss_s: Seconds = 0
    if (
        worker.report_clock_ms - worker.last_reading_clock_ms
        < _READING_INTERVAL_MS
    ):
        return longest_miss_s
    worker.last_reading_clock_ms = worker.report_clock_ms
    _reconcile_paces(worker, now)
    shares = _compute_cpu_shares(worker)
    changes = _compute_changes(worker.cpu_share_by_filler, shares)
    worker.cpu_share_by_filler = shares
    worker.latency_ratio_by_image = {}
    worker.record_change()
    for task in worker.run_by_key.values():
        if not _has_usable_reading(task) or task.reading is None:
            continue
        target_ms = task.step.latency_target_ms
        step = state.get_step(task)
        step.load.predict(now)
        image = task.step.image
        own_utilisation = state.interference_model.learn(
            image,
            step.load,
            shares,
            changes=changes,
            tail_ms=task.reading,
            target_ms=target_ms,
        )
        # The load of this task can exceed the mean of its step.
        task.own_utilisation = (
            own_utilisation + max(step.load.trend, 0) * _FORECAST_S
        )
        before = worker.latency_ratio_by_image.get(image, 0)
        worker.latency_ratio_by_image[image] = max(
            before, task.reading / target_ms
        )
        missed_s = target_misses.record_reading(state, worker, task, now)
        longest_miss_s = max(longest_miss_s, missed_s)
    _adapt_speed_limit(worker, longest_miss_s)
    return longest_miss_s


def adjust_paces(state: ShardState, now: MonotonicTime) -> None:
    """
    Queue pace orders for the fillers on each worker.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    for worker in state.worker_by_id.values():
        if not worker.filler_cpu or not _is_pace_update_due(worker, now):
            continue
        paces = _plan_paces(state, worker, now)
        changed = [
            (task, pace)
            for task, pace in paces
            if _is_pace_change_due(task, pace)
        ]
        for task, pace in changed:
            _queue_pace_order(state, worker, task, pace)
        uncovered_count = sum(
            pace < _FULL_PACE and not _is_covered_by_reading(worker, task)
            for task, pace in changed
        )
        state.decisions.count('uncovered_filler_slowed', uncovered_count)
        if changed:
            worker.paced_at = now
            event(
                'paces_set',
                worker=worker.worker_id,
                worst=max(worker.latency_ratio_by_image.values(), default=0),
                paces=','.join(str(pace) for _, pace in paces),
                uncovered=uncovered_count,
            )


def apply_pace_outcome(
    state: ShardState,
    order: PaceRun,
    outcome: OrderOutcome,
    now: MonotonicTime,
) -> None:
    """
    Apply the outcome of a pace order to its task.

    Does nothing if the task is unknown or has a newer run.

    :param state: state of the shard.
    :param order: order that was sent.
    :param outcome: outcome of the call to the worker.
    :param now: monotonic time, in seconds.
    """
    worker = state.worker_by_id.get(order.worker_id)
    if worker is not None and not isinstance(outcome, Unavailable):
        worker.suspect_restart(outcome.clock_ms)
    task = state.find_run(order.key, order.run)
    if task is None or task.run != order.run:
        return
    if isinstance(outcome, OrderDone):
        if order.percent < task.pace:
            task.slowed_at = now
        task.pace = order.percent
        task.is_pace_known = True
    elif isinstance(outcome, Unavailable) and outcome.is_effect_possible:
        task.is_pace_known = False
    task.paced_at = now
    task.is_pacing = False


def compute_headroom(
    state: ShardState,
    worker: WorkerState,
    *,
    is_long_term: bool,
) -> HeadroomByImage:
    """
    Compute the headroom of the serving tasks on a worker.

    :param state: state of the shard.
    :param worker: the worker.
    :param is_long_term: whether the long-term load counts as well, if it is
        higher than the forecast.
    :returns: by image, the additional utilisation that brings the most loaded
        task to the aimed tail latency; not negative.
    """
    headroom: HeadroomByImage = {}
    for task in worker.run_by_key.values():
        target_ms = task.step.latency_target_ms
        if not target_ms:
            continue
        image = task.step.image
        load = state.get_step(task).load
        expected = max(load.forecast(_FORECAST_S), task.own_utilisation)
        if is_long_term:
            expected = max(expected, load.long_term_level)
        aim = state.interference_model.compute_utilisation(
            image, _TAIL_LATENCY_AIM * target_ms, target_ms
        )
        task_headroom = max(aim - expected, 0)
        headroom[image] = min(headroom.get(image, task_headroom), task_headroom)
    return headroom


def compute_spare_headroom(
    state: ShardState, worker: WorkerState
) -> HeadroomByImage:
    """
    Compute the headroom that the present fillers leave at full pace.

    :param state: state of the shard.
    :param worker: the worker.
    :returns: additional utilisation by image of the serving tasks; can be
        negative.
    """
    headroom = compute_headroom(state, worker, is_long_term=True)
    for task in worker.run_by_key.values():
        if not task.step.is_filler:
            continue
        for serving in headroom:
            headroom[serving] -= _predict_interference(
                state, worker, serving, task, caution=_NEIGHBOUR_CAUTION
            )
    return headroom


def estimate_speed_and_interference(
    state: ShardState,
    worker: WorkerState,
    spare_headroom: HeadroomByImage,
    image: str,
    cpu: float,
) -> tuple[float, float]:
    """
    Estimate the effect of starting one more filler on a worker.

    :param state: state of the shard.
    :param worker: the worker.
    :param spare_headroom: spare headroom of the worker.
    :param image: image of the filler.
    :param cpu: CPU that the filler requests, in cores.
    :returns: share of its full speed at which the filler could run, 0 to 1,
        and the largest utilisation that it would add at full speed, both with
        a margin for the uncertainty of the weights.
    """
    share = cpu / worker.listed.capacity.cpu
    speed = worker.filler_speed_limit
    worst: float = 0
    for serving, headroom in spare_headroom.items():
        weight = _get_notable_weight(state, serving, image)
        interference = (
            weight * share * state.settings.scale_margin(_START_CAUTION)
        )
        if interference > 0:
            speed = min(speed, max(headroom, 0) / interference)
        worst = max(worst, interference)
    return speed, worst


def is_speed_sufficient(speed: float) -> bool:
    """
    Tell whether a filler is worth starting at a speed.

    :param speed: share of its full speed, 0 to 1.
    :returns: whether the speed reaches the minimum.
    """
    return speed >= _MIN_START_SPEED


def _reconcile_paces(worker: WorkerState, now: MonotonicTime) -> None:
    """
    Replace remembered paces that the CPU use of the fillers contradicts.

    An order can be carried out without an answer, or after a newer one, and a
    run that an earlier owner started can have any pace.
    """
    for task in _list_running_fillers(worker):
        if not _shows_pace(task, now) or task.reading is None:
            continue
        shown_pace = min(
            round(task.reading / task.step.need.cpu * _FULL_PACE), _FULL_PACE
        )
        if task.is_pace_known and not _is_contradicted(task.pace, shown_pace):
            continue
        event(
            'pace_corrected',
            task=format_task_key(task),
            run=task.run,
            worker=worker.worker_id,
            remembered=task.pace,
            shown=shown_pace,
            is_known=task.is_pace_known,
        )
        task.pace = shown_pace
        task.is_pace_known = True


def _shows_pace(task: TaskState, now: MonotonicTime) -> bool:
    if task.is_pacing or not task.step.need.cpu:
        return False
    return now - max(task.started_at, task.paced_at) >= _SETTLING_S


def _is_contradicted(pace: int, shown_pace: int) -> bool:
    # Fillers that compete for CPU use less than their pace allows, but none of
    # them uses nothing.
    is_standing_still = shown_pace == 0 and pace > _PACE_TOLERANCE
    return is_standing_still or shown_pace > pace + _PACE_TOLERANCE


def _adapt_speed_limit(worker: WorkerState, longest_miss_s: Seconds) -> None:
    worst_ratio = max(worker.latency_ratio_by_image.values(), default=0)
    if longest_miss_s >= _TOLERATED_MISS_S:
        worker.filler_speed_limit = 0
    elif worst_ratio <= 1 or not worker.are_fillers_working():
        worker.filler_speed_limit = min(
            worker.filler_speed_limit + _LIMIT_INCREASE, 1
        )


def _is_pace_update_due(worker: WorkerState, now: MonotonicTime) -> bool:
    if now - worker.paced_at >= _PACE_INTERVAL_S:
        return True
    # A filler starts at full pace, so its first pace is set without delay.
    return any(
        task.step.is_filler and task.started_at > worker.paced_at
        for task in worker.run_by_key.values()
    )


def _has_usable_reading(task: TaskState) -> bool:
    is_started = task.percent >= _FULL_PERCENT
    return bool(task.step.latency_target_ms and task.reading and is_started)


def _predict_interference(
    state: ShardState,
    worker: WorkerState,
    serving: str,
    task: TaskState,
    *,
    caution: float,
) -> float:
    weight = _get_notable_weight(state, serving, task.step.image)
    if not _is_covered_by_reading(worker, task):
        weight *= state.settings.scale_margin(caution)
    return weight * task.step.need.cpu / worker.listed.capacity.cpu


def _is_covered_by_reading(worker: WorkerState, task: TaskState) -> bool:
    # What a reading shows beyond the expected counts as load of the serving
    # task itself, so an error of the weight no longer matters.
    if task.stage != RunStage.RUNNING:
        return False
    return worker.reported_at - task.started_at >= _READING_S


def _get_notable_weight(state: ShardState, serving: str, image: str) -> float:
    # Small weights are noise in the readings.
    weight = state.interference_model.weight(serving, image)
    return weight if weight > _MIN_NOTABLE_WEIGHT else 0


def _list_running_fillers(worker: WorkerState) -> list[TaskState]:
    return [
        task
        for task in worker.run_by_key.values()
        if task.step.is_filler and task.stage == RunStage.RUNNING
    ]


def _compute_cpu_shares(worker: WorkerState) -> CpuShares:
    share_by_image: CpuShares = {}
    for task in _list_running_fillers(worker):
        used = task.reading
        if used is None:
            used = task.step.need.cpu * task.pace / _FULL_PACE
        share = used / worker.listed.capacity.cpu
        image = task.step.image
        share_by_image[image] = share_by_image.get(image, 0) + share
    return share_by_image


def _compute_changes(before: CpuShares, shares: CpuShares) -> CpuShares:
    images = before | shares
    return {
        image: abs(shares.get(image, 0) - before.get(image, 0))
        for image in images
    }


def _plan_paces(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> list[tuple[TaskState, int]]:
    fillers = _list_running_fillers(worker)
    headroom = compute_headroom(state, worker, is_long_term=False)
    for serving, latency_ratio in worker.latency_ratio_by_image.items():
        if latency_ratio > _OVERLOAD_LIMIT and serving in headroom:
            headroom[serving] = 0
    paces = []
    fillers.sort(key=partial(_rank_filler, state, worker, now))
    for task in fillers:
        speed = _allocate_speed(state, worker, headroom, task)
        paces.append(
            (task, round(speed * _FULL_PACE / _PACE_STEP) * _PACE_STEP)
        )
    return paces


def _allocate_speed(
    state: ShardState,
    worker: WorkerState,
    headroom: HeadroomByImage,
    task: TaskState,
) -> float:
    """Return the speed allowed to a filler; deduct it from the headroom."""
    interference_by_serving = {
        serving: _predict_interference(
            state, worker, serving, task, caution=_PACE_CAUTION
        )
        for serving in headroom
    }
    speed = min(
        (
            headroom[serving] / interference
            for serving, interference in interference_by_serving.items()
            if interference > 0
        ),
        default=1.0,
    )
    speed = min(speed, worker.filler_speed_limit)
    for serving, interference in interference_by_serving.items():
        headroom[serving] = max(headroom[serving] - speed * interference, 0)
    return speed


def _rank_filler(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
    task: TaskState,
) -> tuple[bool, UrgencyKey]:
    """
    Return the sort key of a filler when the headroom is shared out.

    Fillers that interfere little come first, since they use the headroom best.
    """
    is_strong = any(
        state.interference_model.weight(serving, task.step.image)
        > _MIN_STRONG_WEIGHT
        for serving in worker.serving_by_image
    )
    job = state.job_by_id[task.key.job_id]
    return is_strong, compute_urgency(job, state.get_step(task), now)


def _is_pace_change_due(task: TaskState, pace: int) -> bool:
    if task.is_pacing or task.is_stop_wanted or pace == task.pace:
        return False
    is_limit = pace in {0, _FULL_PACE}
    return is_limit or abs(pace - task.pace) >= _MIN_PACE_CHANGE


def _queue_pace_order(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    pace: int,
) -> None:
    task.is_pacing = True
    state.orders.append(
        PaceRun(
            worker_id=worker.worker_id,
            address=worker.listed.address,
            key=task.key,
            run=task.run,
            percent=pace,
            fencing_token=state.epoch,
        ),
    )
