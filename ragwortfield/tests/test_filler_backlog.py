"""Fillers that need more CPU together than the workers have."""

import unittest

from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_WORKERS = 2
#: Fillers of half a worker each; together they need 1.5 times the CPU.
_JOBS = 6
_FILLER_CPU = 2
#: Time without a run in which capacity of the pool is free, after which a job
#: counts as lost by the users' rule LOST, in seconds.
_MAX_WAIT_S = 3
_ROUND_S = 0.5


class FillerBacklogTest(unittest.TestCase):
    # Guards against jobs of fillers that have no run for long while memory is
    # free: the CPU that fillers need does not count against the capacity.
    def test_each_job_has_a_run_while_memory_is_free(self):
        world = ShardWorld(workers=_WORKERS)
        world.take_over()
        job_ids = {
            world.submit(
                build_single_step(
                    cpu=_FILLER_CPU, image='filler', is_filler=True
                )
            )
            for _ in range(_JOBS)
        }
        for _ in range(int(2 * _MAX_WAIT_S / _ROUND_S)):
            world.owners[-1].act()
            world.advance(_ROUND_S)
        running = {
            key.job_id
            for worker in world.workers.worker_by_id.values()
            for key in worker.run_by_key
        }
        self.assertEqual(running, job_ids)
