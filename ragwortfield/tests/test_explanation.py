"""Operators learn where a job would go, and nothing changes by the question."""

import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.core.resources import Resources
from ragwortfield.engine import job_explanations
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.job_explanations import (
    Explained,
    JobExplanations,
    OwnerUnreachable,
    UnknownJob,
)
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.explanation import (
    explain_known_job,
    explain_new_job,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.records import OwnerRecord
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    PlacementWorld,
)

_CPU = 30


def _build_job(**options):
    step = Step(
        count=options.pop('count', 1),
        need=Resources(cpu=options.pop('cpu', _CPU), memory_mb=1),
        estimate_s=1,
        **options,
    )
    return Job(
        job_id='00000000000000aa',
        queue='queue',
        spec='',
        steps=(step, replace(step, after=(0,))),
        accepted_at=0,
    )


class _WorldTest(unittest.TestCase):
    def setUp(self):
        self.world = PlacementWorld(workers=0)
        self.state = self.world.state
        self.state.settings = SchedulingSettings(remote_duration_factor=2)
        for rack in ('hot', 'other'):
            self.world.add_worker(f'{rack}0', rack=rack, labels=(rack,))

    def fill(self, worker_id, percent, **options):
        rack = worker_id[:-1]
        task = self.world.add_job(
            f'busy-{worker_id}', cpu=_CPU, required_label=rack, **options
        )[0]
        self.assertEqual(task.worker_id, worker_id)
        task.started_at = NOW - 0.5
        task.percent = percent

    def explain(self, **options):
        """Explain a job that is not submitted; return its first step."""
        queue = self.state.catalogue.queue_by_name['queue']
        explanation = explain_new_job(
            self.state, _build_job(**options), queue, NOW
        )
        return explanation.steps[0]


class DecisionTest(_WorldTest):
    def test_free_worker_is_named(self):
        step = self.explain(data_rack='other')
        self.assertEqual((step.decision, step.worker), ('start', 'other0'))
        self.assertEqual(step.suitable, ('hot0', 'other0'))
        self.assertEqual(step.expected_start_s, 0)

    def test_wait_for_the_rack_is_told_with_its_end(self):
        self.fill('hot0', 90)
        step = self.explain(data_rack='hot')
        self.assertEqual(step.decision, 'wait_for_rack')
        self.assertAlmostEqual(step.expected_start_s, 0.1556, places=3)
        self.assertEqual(
            step.excluded, {'capacity': ('hot0',), 'rack': ('other0',)}
        )

    def test_steps_before_count_in_the_expected_start(self):
        self.fill('hot0', 50)
        self.fill('other0', 50)
        first = self.explain()
        self.world.add_job('waiting', cpu=_CPU, count=2)
        second = self.explain()
        self.assertEqual(first.decision, 'wait_for_capacity')
        self.assertAlmostEqual(first.expected_start_s, 0.6, places=3)
        self.assertEqual((second.steps_before, second.tasks_before), (1, 2))
        self.assertGreater(second.expected_start_s, 1.5)

    def test_later_step_waits_for_the_first(self):
        queue = self.state.catalogue.queue_by_name['queue']
        explanation = explain_new_job(self.state, _build_job(), queue, NOW)
        self.assertEqual(explanation.steps[1].decision, 'wait_for_steps')

    def test_known_job_is_explained_with_its_runs(self):
        self.fill('hot0', 50)
        self.fill('other0', 50)
        self.world.add_job('known', cpu=_CPU)
        known = self.state.job_by_id['known']
        explanation = explain_known_job(self.state, known, NOW)
        self.assertEqual(explanation.status, 'pending')
        self.assertEqual(explanation.steps[0].decision, 'wait_for_capacity')
        busy = self.state.job_by_id['busy-hot0']
        (step,) = explain_known_job(self.state, busy, NOW).steps
        self.assertEqual((step.decision, step.bound), ('placed', 1))


class ExclusionTest(_WorldTest):
    """Each worker is told with all that excludes it."""

    def test_states_of_workers(self):
        draining = self.state.worker_by_id['hot0']
        draining.listed = replace(draining.listed, is_draining=True)
        self.state.worker_by_id['other0'].quarantined_until = NOW + 1
        self.assertEqual(
            self.explain().excluded,
            {'draining': ('hot0',), 'quarantine': ('other0',)},
        )

    def test_evacuated_zone(self):
        self.state.worker_by_id['hot0'].is_evacuated = True
        self.assertEqual(self.explain().excluded, {'evacuated_zone': ('hot0',)})

    def test_label_and_capacity(self):
        self.fill('hot0', 50)
        self.assertEqual(
            self.explain(required_label='gpu').excluded,
            {'label': ('other0',), 'label+capacity': ('hot0',)},
        )

    def test_limit_per_worker(self):
        tasks = self.world.add_job('job', cpu=1, count=3, per_worker_limit=1)
        self.assertEqual(tasks[2].worker_id, '')
        job = self.state.job_by_id['job']
        (step,) = explain_known_job(self.state, job, NOW).steps
        self.assertEqual(step.excluded, {'anti_affinity': ('hot0', 'other0')})

    def test_interference_of_fillers(self):
        self.world.set_interference_weights({('s', 'f'): STRONG_INTERFERENCE})
        self.world.add_serving_task('s', load=0.8, required_label='hot')
        step = self.explain(cpu=4, image='f', is_filler=True)
        self.assertEqual(step.excluded, {'interference': ('hot0',)})

    def test_disruption_budget(self):
        self.world.add_serving_task(
            's', load=0.2, cpu=_CPU, required_label='hot', max_unavailable=0
        )
        self.assertEqual(
            self.explain().excluded, {'capacity+disruption_budget': ('hot0',)}
        )


class UnchangedStateTest(_WorldTest):
    # Guards against an answer that decides: it binds or declines a task, marks
    # a need as unmet, or counts a decision.
    def test_questions_change_nothing(self):
        self.fill('hot0', 90)
        self.world.add_job('waiting', cpu=_CPU, data_rack='hot')
        self.fill('other0', 50)
        self.world.add_job('unplaced', cpu=_CPU, data_rack='hot', count=3)
        self.world.add_job('gang', cpu=_CPU, is_gang=True, is_same_rack=True)
        self.world.add_worker('new0')
        before = repr(self.state)
        self.explain(data_rack='hot', count=4)
        self.explain(is_gang=True, count=2, is_same_rack=True)
        self.explain(is_long_lived=True, count=2)
        for job in self.state.job_by_id.values():
            explain_known_job(self.state, job, NOW)
        self.assertEqual(repr(self.state), before)

    # Guards against questions that reclassify workers or count decisions: a
    # question is no scheduling round.
    def test_questions_leave_the_speed_classes_as_they_are(self):
        for number in range(2):
            self.state.worker_by_id['hot0'].speed.observe(
                (f'job-{number}', 0, 0),
                (0, 1),
                0.1,
                NOW,
                is_predicted=False,
            )
        before = repr(self.state)
        self.explain(is_long_lived=True)
        self.assertEqual(repr(self.state), before)
        self.state.worker_by_id['hot0'].speed.is_slow = True
        before = repr(self.state)
        self.explain(is_long_lived=True)
        self.assertEqual(repr(self.state), before)


class _Runner:
    def __init__(self, state):
        self.shard = 0
        self.state = state
        self.is_ready = True


class _Ownership:
    def __init__(self, runner):
        self.owned = runner

    def runner(self, _shard):
        return self.owned


class _Peers:
    """Peers whose only instance is the owner."""

    def __init__(self):
        self.owner = None

    def call(self, _address, _name, body, _timeout_s):
        if self.owner is None:
            return Unavailable(reason='refused')
        return self.owner.answer(body)


class OwnerTest(_WorldTest):
    """An instance without the shard asks the owner."""

    def setUp(self):
        super().setUp()
        self.cluster = ClusterView(shards=1)
        self.cluster.owner_by_shard[0] = KnownOwner(
            record=OwnerRecord(
                instance_id='owner', epoch=3, address='owner:1', incarnation='1'
            ),
            version=1,
        )
        self.peers = _Peers()
        self.asked = self.build('asked', None)
        self.runner = _Runner(self.state)
        clock = mock.Mock(monotonic=lambda: NOW)
        patch = mock.patch.object(job_explanations, 'time', clock)
        patch.start()
        self.addCleanup(patch.stop)

    def build(self, instance_id, runner):
        return JobExplanations(
            instance_id=instance_id,
            cluster=self.cluster,
            ownership=_Ownership(runner),
            peers=self.peers,
        )

    def ask(self):
        queue = self.state.catalogue.queue_by_name['queue']
        return self.asked.explain_new(_build_job(), queue)

    def test_owner_answers_with_its_name(self):
        self.peers.owner = self.build('owner', self.runner)
        outcome = self.ask()
        self.assertIsInstance(outcome, Explained)
        self.assertEqual(outcome.document['owner'], 'owner')
        self.assertEqual(outcome.document['steps'][0]['decision'], 'start')

    def test_unreachable_owner_is_told(self):
        outcome = self.ask()
        self.assertIsInstance(outcome, OwnerUnreachable)
        self.assertEqual(outcome.reason, 'refused')

    def test_owner_that_loads_the_shard_is_told(self):
        self.runner.is_ready = False
        self.peers.owner = self.build('owner', self.runner)
        self.assertIsInstance(self.ask(), OwnerUnreachable)

    def test_unknown_job_is_told(self):
        self.peers.owner = self.build('owner', self.runner)
        outcome = self.asked.explain_known('00000000000000ff')
        self.assertEqual(outcome, UnknownJob(shard=0))
