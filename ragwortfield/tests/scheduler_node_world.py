"""Scheduler instances for tests, on a store in memory."""

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.ownership import SchedulerIdentity
from ragwortfield.engine.scheduler_node import (
    OwnerSettings,
    PlatformTables,
    SchedulerNode,
)
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl


def reject_worker(_worker_id, _content):
    """Parse no entry of a worker."""
    return Malformed(reason='none')


def build_scheduler_node(store, *, instance_id='i', **tables):
    """
    Build an instance that has not started.

    :param store: its store.
    :param instance_id: its identifier.
    :param tables: fields of its ``PlatformTables`` beside those for workers,
        and those for workers that differ.
    """
    for_workers = {'worker_table': 'workers', 'parse_worker': reject_worker}
    return SchedulerNode(
        identity=SchedulerIdentity(
            instance_id=instance_id,
            incarnation='1',
            address=f'{instance_id}:1',
        ),
        data_centre='dc',
        cores=1,
        store=store,
        make_workers=FakeTaskWorkerControl,
        approval_service=ApprovalServiceClient(address=''),
        table_names=PlatformTables(**(for_workers | tables)),
        owner_settings=OwnerSettings(),
    )
