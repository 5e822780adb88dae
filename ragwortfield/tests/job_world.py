"""Job schedulers that contend for the same rows, with fake workers."""

from dataclasses import dataclass, field, replace

from ragwortfield.adapters.json_codec import to_document
from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.instance_state import (
    HeldSeat,
    InstanceIdentity,
    InstanceState,
)
from ragwortfield.core.jobs import (
    TERMINAL_STATES,
    Job,
    JobSpec,
    JobState,
    TaskPhase,
)
from ragwortfield.core.resources import Resources
from ragwortfield.core.seats import SeatId
from ragwortfield.engine.job_scheduler import JobScheduler
from ragwortfield.engine.job_table import (
    job_row_key,
    make_job_write,
    parse_job_rows,
    parse_worker_rows,
)
from ragwortfield.policies.membership import apply_listing
from ragwortfield.ports.platform import ListedInstance, Write
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.testing.entry_deployment import CONFIGURATION, TEAM
from ragwortfield.testing.fake_platform import FakePlatform, ManualClock
from ragwortfield.testing.fake_worker import FakeWorker, FakeWorkerControl

DATA_CENTRE = 'bergamo'
ROUND_INTERVAL_S = 0.5


@dataclass(kw_only=True)
class InterruptibleTable:
    """Table that lets another scheduler act before a transaction."""

    platform: FakePlatform
    interruptions: list = field(default_factory=list)

    def scan(self, prefix):
        return self.platform.scan(prefix)

    def transact(self, writes):
        if self.interruptions:
            interruption = self.interruptions.pop()
            interruption()
        return self.platform.transact(writes)


@dataclass(kw_only=True)
class JobWorld:
    """Table, workers, and schedulers that each take every seat as their own."""

    scheduler_count: int = 2
    worker_count: int = 3
    cpu: float = 10
    clock: ManualClock = field(default_factory=ManualClock)

    def __post_init__(self):
        self.platform = FakePlatform(clock=self.clock)
        self.configuration = parse_configuration(CONFIGURATION, 'test')
        self.worker_control = FakeWorkerControl()
        self.worker_by_id = {}
        self.scheduler_by_id = {}
        self.table_by_scheduler_id = {}
        self.last_scheduler_number = 0
        self.job_ids = []
        self.lost_workers = []
        for number in range(1, self.worker_count + 1):
            self.add_worker(f'worker-{number}')
        for _ in range(self.scheduler_count):
            self.add_scheduler()

    def add_worker(self, name):
        worker = FakeWorker(
            worker_id=name,
            capacity=Resources(cpu=self.cpu, memory_mb=10_000),
            clock=self.clock,
        )
        self.worker_by_id[name] = worker
        self.worker_control.worker_by_address[name] = worker
        self.platform.add_instance(
            ListedInstance(
                instance_id=name,
                kind='worker',
                data_centre=DATA_CENTRE,
                address=name,
                capacity=worker.capacity,
            ),
        )

    def add_scheduler(self):
        self.last_scheduler_number += 1
        name = f'entry-{self.last_scheduler_number}'
        instance_state = InstanceState(
            identity=InstanceIdentity(
                instance_id=name,
                data_centre=DATA_CENTRE,
                region='lombardy',
                http_address=f'{name}:1',
                peer_address=f'{name}:2',
            ),
            version=VersionedConfiguration(
                version=1,
                configuration=self.configuration,
            ),
        )
        for index in range(4):
            seat_id = SeatId(data_centre=DATA_CENTRE, index=index)
            instance_state.held_seat_by_key[seat_id.row_key()] = HeldSeat(
                seat_id=seat_id,
                generation=self.last_scheduler_number,
                version=1,
                expires_at=0,
                usable_from=0,
            )
        table = InterruptibleTable(platform=self.platform)
        self.table_by_scheduler_id[name] = table
        self.scheduler_by_id[name] = JobScheduler(
            instance_state=instance_state,
            table=table,
            worker_control=self.worker_control,
            clock=self.clock,
        )
        return name

    def submit(self, *, command, cpu=3, urgency=1):
        spec = JobSpec(
            name='job',
            team=TEAM,
            resources=Resources(cpu=cpu, memory_mb=100),
            command=command,
            urgency=urgency,
        )
        job = Job(
            job_id=f'{DATA_CENTRE}.job-{len(self.job_ids)}',
            spec=spec,
            submitted_at=self.clock.wall_time(),
        )
        self.platform.transact(
            (
                Write(
                    key=job_row_key(self.configuration, job.job_id),
                    expected_version=0,
                    body=to_document(job),
                ),
            )
        )
        self.job_ids.append(job.job_id)
        return job.job_id

    def run_scheduler_round(self, name):
        scheduler = self.scheduler_by_id[name]
        instance_state = scheduler._instance_state  # noqa: SLF001
        listing = self.platform.list_instances()
        if hasattr(listing, 'instances'):
            apply_listing(instance_state, listing)
        instance_state.last_tick_at = self.clock.monotonic()
        scheduler.run_round()

    def run(self, seconds, scheduler_names=None, check=lambda: None):
        for _ in range(int(seconds / ROUND_INTERVAL_S)):
            self.clock.advance(ROUND_INTERVAL_S)
            for name in tuple(scheduler_names or self.scheduler_by_id):
                self.run_scheduler_round(name)
                check()

    def run_interrupting_round(self, name, cpu):
        if cpu:
            self.submit(command='sleep 20', cpu=cpu, urgency=0)
        self.clock.advance(0.1)
        self.run_scheduler_round(name)

    def kill_worker(self, name):
        worker = self.worker_by_id.pop(name, None)
        if worker is not None:
            worker.step()
            self.lost_workers.append(worker)
            del self.worker_control.worker_by_address[name]
            self.platform.remove_instance(name)

    def read_jobs(self):
        is_down = self.platform.faults.is_down
        self.platform.faults.is_down = False
        rows = parse_job_rows(self.platform.scan('jobs/'))
        self.platform.faults.is_down = is_down
        return {row.job.job_id: row.job for row in rows}

    def check(self):
        runs_by_job = {}
        for worker in self.worker_by_id.values():
            assert not worker.over_capacity, worker.worker_id
            for job_id, generation in worker.list_running_tasks():
                runs_by_job.setdefault(job_id, []).append(
                    (worker.worker_id, generation),
                )
        for job_id, runs in runs_by_job.items():
            assert len(runs) == 1, f'{job_id} runs at {runs}'
        self.check_task_runs()

    def check_task_runs(self):
        run_keys = set()
        completed_job_ids = set()
        for worker in self.worker_by_id.values():
            for span in worker.spans:
                run_key = (span.job_id, span.generation)
                assert run_key not in run_keys, f'{run_key} ran twice'
                run_keys.add(run_key)
                if span.phase is TaskPhase.DONE:
                    assert span.job_id not in completed_job_ids, (
                        f'{run_key} ended twice'
                    )
                    completed_job_ids.add(span.job_id)

    def cancel(self, job_id):
        is_down = self.platform.faults.is_down
        self.platform.faults.is_down = False
        for row in parse_job_rows(self.platform.scan('jobs/')):
            if (
                row.job.job_id == job_id
                and row.job.state not in TERMINAL_STATES
            ):
                cancelled = replace(row.job, is_cancel_wanted=True)
                self.platform.transact((make_job_write(row, cancelled),))
        self.platform.faults.is_down = is_down

    def check_completed_jobs(self):
        completed_generations = self.list_completed_generations()
        for job_id, job in self.read_jobs().items():
            # A worker that is lost for good may not have reported the end of
            # a task; the task then runs again, and its last run counts.
            if job.state is JobState.DONE:
                assert job.generation in completed_generations[job_id], (
                    job,
                    completed_generations,
                )
                assert max(completed_generations[job_id]) == job.generation, (
                    job,
                    completed_generations,
                )
            assert not any(
                job_id in row.worker.grants
                for row in parse_worker_rows(self.platform.scan('workers/'))
            ), f'{job_id} still has a grant'

    def list_completed_generations(self):
        completed_generations = {}
        for worker in [*self.worker_by_id.values(), *self.lost_workers]:
            for span in worker.spans:
                if span.phase is TaskPhase.DONE:
                    completed_generations.setdefault(span.job_id, []).append(
                        span.generation
                    )
        return completed_generations

    def is_every_job_finished(self):
        return all(
            job.state in TERMINAL_STATES for job in self.read_jobs().values()
        )
