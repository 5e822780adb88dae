"""Randomised runs: one place, no overcommitment, resumed exactly once."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from ragwortfield.core.jobs import JobState
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.testing.fake_worker import WorkerFaults
from ragwortfield.tests.job_world import JobWorld

_MAX_JOBS = 14
_MAX_RUNNERS = 3
_RARELY = strategies.sampled_from((False, False, True))
_NUMBERS = strategies.integers(min_value=1, max_value=4)


class JobMachine(RuleBasedStateMachine):
    """Two or three runners that race, under every fault of the brief."""

    @initialize()
    def start(self):
        self.world = JobWorld(workers=4)
        self.frozen = set()
        for duration in (30, 30, 12, 3):
            self.world.submit(command=f'sleep {duration}', cpu=3)
        self.world.run(1, None, self.world.check)

    def names(self):
        return [
            name for name in self.world.runner_by_id if name not in self.frozen
        ]

    @precondition(lambda self: len(self.world.job_ids) < _MAX_JOBS)
    @rule(
        duration=strategies.sampled_from((1, 4, 9, 30)),
        cpu=strategies.sampled_from((1, 3, 6, 10)),
    )
    def submit(self, duration, cpu):
        self.world.submit(command=f'sleep {duration}', cpu=cpu)

    @precondition(lambda self: len(self.world.job_ids) < _MAX_JOBS)
    @rule(cpu=strategies.sampled_from((1, 11)))
    def submit_impossible(self, cpu):
        self.world.submit(command='fail', cpu=cpu)

    @rule(seconds=strategies.sampled_from((1, 2, 6)))
    def let_time_pass(self, seconds):
        if self.names():
            self.world.run(seconds, self.names(), self.world.check)

    @rule(seconds=strategies.sampled_from((1, 3, 10)))
    def let_nobody_act(self, seconds):
        self.world.clock.advance(seconds)
        self.world.check()

    @precondition(lambda self: len(self.names()) > 1)
    @rule(
        data=strategies.data(),
        at=strategies.integers(0, 3),
        more=strategies.sampled_from((0, 1, 3, 9)),
    )
    def race(self, data, at, more):
        first, second = data.draw(
            strategies.permutations(self.names()),
        )[:2]
        table = self.world.table_by_id[first]
        table.interruptions = [
            *([lambda: None] * at),
            lambda: self.world.interrupt(second, more),
        ][::-1]
        self.world.round_of(first)
        table.interruptions = []
        self.world.check()

    @precondition(lambda self: self.names())
    @rule(data=strategies.data())
    def freeze(self, data):
        self.frozen.add(data.draw(strategies.sampled_from(self.names())))

    @precondition(lambda self: self.frozen)
    @rule()
    def thaw(self):
        self.frozen.clear()

    @precondition(lambda self: self.world.runner_by_id)
    @rule(data=strategies.data())
    def replace_runner(self, data):
        names = sorted(self.world.runner_by_id)
        name = data.draw(strategies.sampled_from(names))
        del self.world.runner_by_id[name]
        self.frozen.discard(name)
        if len(self.world.runner_by_id) < _MAX_RUNNERS:
            self.world.bear()

    @rule(is_down=_RARELY)
    def set_platform_faults(self, is_down):
        self.world.platform.faults.is_down = is_down

    @rule(lost=strategies.integers(min_value=1, max_value=3))
    def lose_answers(self, lost):
        self.world.platform.faults.lost_answers = lost

    @rule(number=_NUMBERS, is_unreachable=strategies.booleans())
    def cut_worker(self, number, is_unreachable):
        self.faults_of(number).is_unreachable = is_unreachable

    @rule(number=_NUMBERS, lost=strategies.integers(1, 3))
    def lose_worker_answers(self, number, lost):
        self.faults_of(number).lost_answers = lost

    @rule(number=_NUMBERS, factor=strategies.sampled_from((0.1, 1, 3)))
    def change_usage(self, number, factor):
        self.faults_of(number).usage_factor = factor

    @rule(number=_NUMBERS, is_failing=_RARELY)
    def let_worker_fail(self, number, is_failing):
        self.faults_of(number).is_failing_all = is_failing

    @rule(number=_NUMBERS, checkpoint=strategies.sampled_from((0, 2, 5)))
    def slow_checkpoints(self, number, checkpoint):
        self.faults_of(number).checkpoint_s = checkpoint

    @rule()
    def delay_starts(self):
        self.world.worker_control.is_delaying_starts = True

    @rule()
    def deliver_delayed_starts(self):
        self.world.worker_control.is_delaying_starts = False
        self.world.worker_control.deliver_delayed_starts()
        self.world.check()

    @precondition(lambda self: len(self.world.worker_by_id) > 2)
    @rule(number=_NUMBERS)
    def lose_worker(self, number):
        self.world.kill_worker(f'worker-{number}')

    def faults_of(self, number):
        worker = self.world.worker_by_id.get(f'worker-{number}')
        return WorkerFaults() if worker is None else worker.faults

    @precondition(lambda self: self.world.job_ids)
    @rule(data=strategies.data())
    def cancel(self, data):
        number = data.draw(
            strategies.integers(0, len(self.world.job_ids) - 1),
        )
        self.world.cancel(self.world.job_ids[number])

    def teardown(self):
        if hasattr(self, 'world'):
            self.heal()

    def heal(self):
        """Every job comes to an end once the faults are over."""
        world = self.world
        world.platform.faults.is_down = False
        world.platform.faults.lost_answers = 0
        for worker in world.worker_by_id.values():
            worker.faults = type(worker.faults)()
        world.worker_control.is_delaying_starts = False
        world.bear()
        world.run(40, None, world.check)
        states = {job.state for job in world.jobs().values()}
        if not world.is_settled():
            world.run(150, None, world.check)
        assert world.is_settled(), states
        world.check_results()


def test_job_machine():
    run_state_machine(JobMachine, steps=30)


def test_states_are_final():
    world = JobWorld()
    job_id = world.submit(command='sleep 2')
    world.run(6, None, world.check)
    assert world.jobs()[job_id].state is JobState.DONE
