"""Protecting tasks that serve users from the fillers beside them.

Pattern: fillers disturb the tasks that serve on the same worker, by amounts
that differ by pair of images, while the load of those tasks swings within
seconds. A task that serves loses nothing as long as it stays within its
target, so each has a headroom up to the target that the fillers beside it may
use. Fillers go where they disturb least; where they do disturb, the most
urgent ones share the headroom.
"""

from functools import partial

from ragwortfield.log import event
from ragwortfield.ports.task_worker import OrderDone, OrderOutcome, PaceRun
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.step_priority import UrgencyKey, compute_urgency
from ragwortfield.scheduling.interference_model import CpuShares
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Share of its target that a tail latency is steered to.
_AIM = 0.85
#: Share of its target above which what disturbs it stands still at once.
_LIMIT = 1.3
#: How far ahead loads are predicted: the readings cover half a second, and a
#: new pace takes effect after the next report.
_AHEAD_S: Seconds = 0.6
#: Weight from which on a pair of images counts as one that does not get on.
_NOTABLE_WEIGHT = 0.15
#: Weight from which on a pair of images counts as harsh.
_HARSH_WEIGHT = 1.0
#: Changes of pace below this are not worth a call, in percent.
_SMALL_CHANGE = 10
#: Paces are set in steps of this, in percent.
_STEP = 5
_FULL_PACE = 100
#: Time between two changes on one worker: the readings cover half a second.
_SETTLE_S: Seconds = 0.3
#: Readings closer together speak of the same half second.
_READING_STEP_MS = 240
#: Share of its full speed that a filler must find to be started.
_LEAST_SPEED = 0.9

#: What is left of the headroom, by image of the serving tasks.
HeadroomByImage = dict[str, float]


def take_readings(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> None:
    """
    Learn from the readings of a worker's report.

    :param state: tables of the shard.
    :param worker: the worker, with the report taken in.
    :param now: reading of the monotonic clock.
    """
    if worker.report_clock_ms - worker.last_reading_clock_ms < _READING_STEP_MS:
        return
    worker.last_reading_clock_ms = worker.report_clock_ms
    shares = _used_shares(worker)
    changes = _changes(worker.cpu_share_by_filler, shares)
    worker.cpu_share_by_filler = shares
    worker.latency_ratio_by_image = {}
    worker.record_change()
    for task in worker.run_by_key.values():
        if not _is_read(task) or task.reading is None:
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
        # The load may weigh more on one worker than the step's mean tells.
        task.own_utilisation = (
            own_utilisation + max(step.load.trend, 0) * _AHEAD_S
        )
        before = worker.latency_ratio_by_image.get(image, 0)
        worker.latency_ratio_by_image[image] = max(
            before, task.reading / target_ms
        )


def adjust_paces(state: ShardState, now: MonotonicTime) -> None:
    """
    Set the pace of the fillers on each worker.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    for worker in state.worker_by_id.values():
        if not worker.filler_cpu or not _is_adjustable(worker, now):
            continue
        wanted = _wanted_paces(state, worker, now)
        changed = [(task, pace) for task, pace in wanted if _is_due(task, pace)]
        for task, pace in changed:
            _order_pace(state, worker, task, pace)
        if changed:
            worker.paced_at = now
            event(
                'paces_set',
                worker=worker.worker_id,
                worst=max(worker.latency_ratio_by_image.values(), default=0),
                paces=','.join(str(pace) for _, pace in wanted),
            )


def apply_pace_outcome(
    state: ShardState,
    order: PaceRun,
    outcome: OrderOutcome,
    now: MonotonicTime,
) -> None:
    """
    Take in what came of a change of pace.

    :param state: tables of the shard.
    :param order: the order.
    :param outcome: answer of the worker.
    :param now: reading of the monotonic clock.
    """
    task = state.find_task(order.key)
    if task is None or task.run != order.run:
        return
    if isinstance(outcome, OrderDone):
        if order.percent < task.pace:
            task.slowed_at = now
        task.pace = order.percent
    task.is_pacing = False


def compute_headroom(
    state: ShardState,
    worker: WorkerState,
    *,
    is_lasting: bool,
) -> HeadroomByImage:
    """
    Tell how much disturbance the serving tasks of a worker bear.

    :param state: tables of the shard.
    :param worker: the worker.
    :param is_lasting: whether it should last for longer than a moment.
    :returns: by image, the use that brings the worst task to its aim.
    """
    left: HeadroomByImage = {}
    for task in worker.run_by_key.values():
        target_ms = task.step.latency_target_ms
        if not target_ms:
            continue
        image = task.step.image
        load = state.get_step(task).load
        expected = max(load.forecast(_AHEAD_S), task.own_utilisation)
        if is_lasting:
            expected = max(expected, load.long_term_level)
        aim = state.interference_model.compute_utilisation(
            image, _AIM * target_ms, target_ms
        )
        room = max(aim - expected, 0)
        left[image] = min(left.get(image, room), room)
    return left


def compute_spare_headroom(
    state: ShardState, worker: WorkerState
) -> HeadroomByImage:
    """
    Tell how much disturbance is borne beyond the present fillers' full pace.

    :param state: tables of the shard.
    :param worker: the worker.
    :returns: by image of the serving tasks; may be negative.
    """
    left = compute_headroom(state, worker, is_lasting=True)
    for task in worker.run_by_key.values():
        if not task.step.is_filler:
            continue
        for serving in left:
            left[serving] -= _demand(state, worker, serving, task)
    return left


def estimate_speed_and_interference(
    state: ShardState,
    worker: WorkerState,
    spare: HeadroomByImage,
    image: str,
    cpu: float,
) -> tuple[float, float]:
    """
    Judge a worker for one more filler.

    :param state: tables of the shard.
    :param worker: the worker.
    :param spare: its spare headroom.
    :param image: image of the filler.
    :param cpu: processor that it asks for, in cores.
    :returns: share of its full speed that it would find, and how much it
        would disturb.
    """
    share = cpu / worker.listed.room.cpu
    speed = 1.0
    cost: float = 0
    for serving, left in spare.items():
        demand = _notable_weight(state, serving, image) * share
        if demand > 0:
            speed = min(speed, max(left, 0) / demand)
        cost = max(cost, demand)
    return speed, cost


def is_speed_sufficient(speed: float) -> bool:
    """
    Tell whether a filler should be started at a speed.

    :param speed: share of its full speed.
    :returns: whether it is worth its place.
    """
    return speed >= _LEAST_SPEED


def _is_adjustable(worker: WorkerState, now: MonotonicTime) -> bool:
    if now - worker.paced_at >= _SETTLE_S:
        return True
    # A filler starts at full pace, so its first pace must not wait.
    return any(
        task.step.is_filler and task.started_at > worker.paced_at
        for task in worker.run_by_key.values()
    )


def _is_read(task: TaskState) -> bool:
    is_started = task.percent >= _FULL_PACE
    return bool(task.step.latency_target_ms and task.reading and is_started)


def _demand(
    state: ShardState,
    worker: WorkerState,
    serving: str,
    task: TaskState,
) -> float:
    weight = _notable_weight(state, serving, task.step.image)
    return weight * task.step.need.cpu / worker.listed.room.cpu


def _notable_weight(state: ShardState, serving: str, image: str) -> float:
    # Small weights are noise of the readings.
    weight = state.interference_model.weight(serving, image)
    return weight if weight > _NOTABLE_WEIGHT else 0


def _used_shares(worker: WorkerState) -> CpuShares:
    share_by_image: CpuShares = {}
    for task in worker.run_by_key.values():
        if not task.step.is_filler or task.stage != RunStage.RUNNING:
            continue
        used = task.reading
        if used is None:
            used = task.step.need.cpu * task.pace / _FULL_PACE
        share = used / worker.listed.room.cpu
        image = task.step.image
        share_by_image[image] = share_by_image.get(image, 0) + share
    return share_by_image


def _changes(before: CpuShares, shares: CpuShares) -> CpuShares:
    images = before | shares
    return {
        image: abs(shares.get(image, 0) - before.get(image, 0))
        for image in images
    }


def _wanted_paces(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> list[tuple[TaskState, int]]:
    fillers = [
        task
        for task in worker.run_by_key.values()
        if task.step.is_filler and task.stage == RunStage.RUNNING
    ]
    left = compute_headroom(state, worker, is_lasting=False)
    for serving, over in worker.latency_ratio_by_image.items():
        if over > _LIMIT and serving in left:
            left[serving] = 0
    wanted = []
    fillers.sort(key=partial(_rank, state, worker, now))
    for task in fillers:
        share = _take_share(state, worker, left, task)
        wanted.append((task, round(share * _FULL_PACE / _STEP) * _STEP))
    return wanted


def _take_share(
    state: ShardState,
    worker: WorkerState,
    left: HeadroomByImage,
    task: TaskState,
) -> float:
    """Give a filler what is left for it, and take that off the rest."""
    demand_by_serving = {
        serving: _demand(state, worker, serving, task) for serving in left
    }
    share = min(
        (
            left[serving] / demand
            for serving, demand in demand_by_serving.items()
            if demand > 0
        ),
        default=1.0,
    )
    share = min(share, 1.0)
    for serving, demand in demand_by_serving.items():
        left[serving] = max(left[serving] - share * demand, 0)
    return share


def _rank(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
    task: TaskState,
) -> tuple[bool, UrgencyKey]:
    """Gentle fillers first, since they get most out of the headroom."""
    is_harsh = any(
        state.interference_model.weight(serving, task.step.image)
        > _HARSH_WEIGHT
        for serving in worker.serving_by_image
    )
    job = state.job_by_id[task.key.job_id]
    return is_harsh, compute_urgency(job, state.get_step(task), now)


def _is_due(task: TaskState, pace: int) -> bool:
    if task.is_pacing or task.is_stop_wanted or pace == task.pace:
        return False
    is_extreme = pace in {0, _FULL_PACE}
    return is_extreme or abs(pace - task.pace) >= _SMALL_CHANGE


def _order_pace(
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
