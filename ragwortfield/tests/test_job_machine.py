"""Randomised runs: a job runs once at a time, within capacity, to one end."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from ragwortfield.core.jobs import JobState
from ragwortfield.testing.fake_worker import WorkerFaults
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.job_world import JobWorld

_MAX_JOBS = 14
_MAX_SCHEDULERS = 3
_MOSTLY_FALSE = strategies.sampled_from((False, False, True))
_WORKER_NUMBERS = strategies.integers(min_value=1, max_value=4)


class JobMachine(RuleBasedStateMachine):
    """Two or three schedulers that contend, under every injected fault."""

    @initialize()
    def start(self):
        self.world = JobWorld(worker_count=4)
        self.frozen_schedulers = set()
        for duration in (30, 30, 12, 3):
            self.world.submit(command=f'sleep {duration}', cpu=3)
        self.world.run(1, None, self.world.check)

    def list_active_schedulers(self):
        return [
            name
            for name in self.world.scheduler_by_id
            if name not in self.frozen_schedulers
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
        if self.list_active_schedulers():
            self.world.run(
                seconds, self.list_active_schedulers(), self.world.check
            )

    @rule(seconds=strategies.sampled_from((1, 3, 10)))
    def leave_schedulers_idle(self, seconds):
        self.world.clock.advance(seconds)
        self.world.check()

    @precondition(lambda self: len(self.list_active_schedulers()) > 1)
    @rule(
        data=strategies.data(),
        call_index=strategies.integers(0, 3),
        extra_cpu=strategies.sampled_from((0, 1, 3, 9)),
    )
    def interrupt_round(self, data, call_index, extra_cpu):
        first, second = data.draw(
            strategies.permutations(self.list_active_schedulers()),
        )[:2]
        table = self.world.table_by_scheduler_id[first]
        table.interruptions = [
            *([lambda: None] * call_index),
            lambda: self.world.run_interrupting_round(second, extra_cpu),
        ][::-1]
        self.world.run_scheduler_round(first)
        table.interruptions = []
        self.world.check()

    @precondition(lambda self: self.list_active_schedulers())
    @rule(data=strategies.data())
    def freeze(self, data):
        self.frozen_schedulers.add(
            data.draw(strategies.sampled_from(self.list_active_schedulers()))
        )

    @precondition(lambda self: self.frozen_schedulers)
    @rule()
    def thaw(self):
        self.frozen_schedulers.clear()

    @precondition(lambda self: self.world.scheduler_by_id)
    @rule(data=strategies.data())
    def replace_scheduler(self, data):
        names = sorted(self.world.scheduler_by_id)
        name = data.draw(strategies.sampled_from(names))
        del self.world.scheduler_by_id[name]
        self.frozen_schedulers.discard(name)
        if len(self.world.scheduler_by_id) < _MAX_SCHEDULERS:
            self.world.add_scheduler()

    @rule(is_down=_MOSTLY_FALSE)
    def switch_platform_outage(self, is_down):
        self.world.platform.faults.is_down = is_down

    @rule(lost=strategies.integers(min_value=1, max_value=3))
    def lose_answers(self, lost):
        self.world.platform.faults.lost_answers = lost

    @rule(number=_WORKER_NUMBERS, is_unreachable=strategies.booleans())
    def cut_worker(self, number, is_unreachable):
        self.get_worker_faults(number).is_unreachable = is_unreachable

    @rule(number=_WORKER_NUMBERS, lost=strategies.integers(1, 3))
    def lose_worker_answers(self, number, lost):
        self.get_worker_faults(number).lost_answers = lost

    @rule(number=_WORKER_NUMBERS, factor=strategies.sampled_from((0.1, 1, 3)))
    def change_usage(self, number, factor):
        self.get_worker_faults(number).usage_factor = factor

    @rule(number=_WORKER_NUMBERS, is_failing=_MOSTLY_FALSE)
    def let_worker_fail(self, number, is_failing):
        self.get_worker_faults(number).is_failing_all = is_failing

    @rule(number=_WORKER_NUMBERS, checkpoint=strategies.sampled_from((0, 2, 5)))
    def slow_checkpoints(self, number, checkpoint):
        self.get_worker_faults(number).checkpoint_s = checkpoint

    @rule()
    def delay_starts(self):
        self.world.worker_control.is_delaying_starts = True

    @rule()
    def deliver_delayed_starts(self):
        self.world.worker_control.is_delaying_starts = False
        self.world.worker_control.deliver_delayed_starts()
        self.world.check()

    @precondition(lambda self: len(self.world.worker_by_id) > 2)
    @rule(number=_WORKER_NUMBERS)
    def lose_worker(self, number):
        self.world.kill_worker(f'worker-{number}')

    def get_worker_faults(self, number):
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
            self.check_recovery()

    def check_recovery(self):
        """Check that every job reaches a final state after the faults."""
        world = self.world
        world.platform.faults.is_down = False
        world.platform.faults.lost_answers = 0
        for worker in world.worker_by_id.values():
            worker.faults = type(worker.faults)()
        world.worker_control.is_delaying_starts = False
        world.add_scheduler()
        world.run(40, None, world.check)
        states = {job.state for job in world.read_jobs().values()}
        if not world.is_every_job_finished():
            world.run(150, None, world.check)
        assert world.is_every_job_finished(), states
        world.check_completed_jobs()


def test_job_machine():
    run_state_machine(JobMachine, steps=30)


def test_states_are_final():
    world = JobWorld()
    job_id = world.submit(command='sleep 2')
    world.run(6, None, world.check)
    assert world.read_jobs()[job_id].state is JobState.DONE
