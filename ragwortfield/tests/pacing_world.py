"""Worker with serving tasks and fillers under the owner's control of paces."""

from collections import deque

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseReport,
    ListedRun,
    OrderDone,
    PaceRun,
)
from ragwortfield.scheduling import interference_control, worker_reports
from ragwortfield.scheduling.job_state import create_occurrence
from ragwortfield.tests.placement_world import NOW, TARGET_MS, PlacementWorld

#: Tail latency of an idle serving task, in milliseconds.
_IDLE_MS = 4
_MAX_UTILISATION = 0.97
_FULL_PACE = 100
_MS_PER_S = 1000
_MILLICORES = 1000
#: Step of the simulated time, in milliseconds.
_TICK_MS = 50
#: Interval of the worker's reports, and the time that a reading covers.
_REPORT_MS = 500
#: Interval of the owner's decisions on paces.
_DECISION_MS = 100
#: Time from an order on pace until it takes effect.
_ORDER_DELAY_MS = 150
_WORKER_CPU = 64


class PacingWorld:
    """
    One worker with a serving task and fillers that work until they are paused.

    :param filler_count: number of fillers.
    :param filler_cpu: CPU that each of them uses at full pace, in cores.
    :param load: utilisation by the users of the serving task, as a function of
        the seconds since the start.
    :param weight: true weight of the fillers, as a function of the seconds
        since the start.
    :param learned_weight: weight that the owner has learned for them.
    """

    def __init__(
        self, *, filler_count, filler_cpu, load, weight, learned_weight
    ):
        world = PlacementWorld(workers=0)
        world.add_worker('w0', cpu=_WORKER_CPU)
        self._placement = world
        self.state = world.state
        model = self.state.interference_model
        model.min_tail_ms_by_image['a'] = _IDLE_MS / 0.8
        self.worker = self.state.worker_by_id['w0']
        self.serving = world.add_serving_task('a', load=0, cpu=20)
        # The fillers are bound while they count as harmless.
        self.learn(0)
        self.fillers = [
            world.add_job(
                f'filler-{number}', image='f', is_filler=True, cpu=filler_cpu
            )[0]
            for number in range(filler_count)
        ]
        assert all(task.worker_id == 'w0' for task in self.fillers)
        self.learn(learned_weight)
        estimate = self.state.get_step(self.serving).load
        estimate.level = load(0)
        estimate.long_term_level = load(0)
        self.pace_by_key = {task.key: _FULL_PACE for task in self.fillers}
        self.longest_miss_s = 0
        self.filler_work_s = 0
        self._load = load
        self._weight = weight
        self._now_ms = 0
        self._missed_since_ms = None
        self._utilisations = deque(maxlen=_REPORT_MS // _TICK_MS)
        self._orders = []

    def learn(self, amount):
        """Make the owner certain of the weight of the fillers."""
        self._placement.set_interference_weights({('a', 'f'): amount})
        model = self.state.interference_model
        model.weight_by_pair['a', 'f'].variance = 0.01

    def run(self, length_s):
        """Simulate; record for how long the task missed its target on end."""
        end_ms = self._now_ms + length_s * _MS_PER_S
        while self._now_ms < end_ms:
            self._now_ms += _TICK_MS
            self._advance()
            if self._now_ms % _REPORT_MS == 0:
                self._report()
            if self._now_ms % _DECISION_MS == 0:
                interference_control.adjust_paces(self.state, self._now())
                self._send_orders()

    def change_load(self, load):
        """Replace the utilisation by the users of the serving task."""
        self._load = load

    def lose_answer(self, task, percent):
        """Send an order that is carried out, and lose the answer to it."""
        order = PaceRun(
            worker_id='w0',
            address='',
            key=task.key,
            run=task.run,
            percent=percent,
            fencing_token=1,
        )
        self.pace_by_key[task.key] = percent
        interference_control.apply_pace_outcome(
            self.state,
            order,
            Unavailable(reason='no response', is_effect_possible=True),
            self._now(),
        )

    def take_over(self):
        """Replace the owner by one that has only read the stored rows."""
        for number, task in enumerate(self.fillers):
            job = self.state.job_by_id[task.key.job_id]
            record = job.occurrence_by_number[0].to_record()
            occurrence = create_occurrence(job.job, 0, record)
            job.occurrence_by_number[0] = occurrence
            self.worker.remove(task)
            self.fillers[number] = occurrence.steps[0].tasks[0]
            self.worker.add(self.fillers[number])

    def _now(self):
        return NOW + self._now_ms / _MS_PER_S

    def _share(self, task):
        pace = self.pace_by_key[task.key] / _FULL_PACE
        return pace * task.step.need.cpu / _WORKER_CPU

    def _advance(self):
        for due_ms, order in tuple(self._orders):
            if due_ms <= self._now_ms:
                self._orders.remove((due_ms, order))
                self.pace_by_key[order.key] = order.percent
                interference_control.apply_pace_outcome(
                    self.state,
                    order,
                    OrderDone(clock_ms=self._now_ms),
                    self._now(),
                )
        seconds = self._now_ms / _MS_PER_S
        used = sum(self._share(task) for task in self.fillers)
        self.filler_work_s += used * _WORKER_CPU * _TICK_MS / _MS_PER_S
        alone = self._load(seconds)
        utilisation = min(
            alone + used * self._weight(seconds), _MAX_UTILISATION
        )
        self._utilisations.append(utilisation)
        is_missed = _compute_tail_ms(utilisation) > TARGET_MS
        if is_missed and _compute_tail_ms(alone) <= TARGET_MS:
            if self._missed_since_ms is None:
                self._missed_since_ms = self._now_ms
            missed_ms = self._now_ms - self._missed_since_ms
            self.longest_miss_s = max(
                self.longest_miss_s, missed_ms / _MS_PER_S
            )
        else:
            self._missed_since_ms = None

    def _report(self):
        mean = sum(self._utilisations) / len(self._utilisations)
        runs = [
            ListedRun(
                key=self.serving.key,
                run=self.serving.run,
                checkpoint='',
                percent=100,
                reading=round(_compute_tail_ms(mean)),
            )
        ]
        runs.extend(
            ListedRun(
                key=task.key,
                run=task.run,
                checkpoint='',
                percent=0,
                reading=self._share(task) * _WORKER_CPU * _MILLICORES,
            )
            for task in self.fillers
        )
        worker_reports.apply_report(
            self.state,
            self.worker,
            LeaseReport(
                clock_ms=self._now_ms, born_ms=1, runs=tuple(runs), ends=()
            ),
            self._now(),
        )
        interference_control.apply_readings(
            self.state, self.worker, self._now()
        )

    def _send_orders(self):
        for order in self.state.orders:
            assert isinstance(order, PaceRun)
            self._orders.append((self._now_ms + _ORDER_DELAY_MS, order))
        self.state.orders = []


def _compute_tail_ms(utilisation):
    return _IDLE_MS / (1 - utilisation)
