"""Writer of the burn report's buckets into the platform's table."""

from ragwortfield.adapters.json_codec import to_document
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    TableService,
    Unavailable,
    Write,
)
from ragwortfield.report.recorder import BUCKET_S, BurnRow, RequestRecorder
from ragwortfield.types import InstanceId

#: Start of the keys of the rows.
BURN_REPORT_PREFIX = 'burn/'
_MINUTES_PER_HOUR = 60


class BurnWriter:
    """
    Writes one row an hour for its instance, and renews it as time goes on.

    :param instance_id: the instance.
    :param recorder: holds the buckets.
    :param table: the platform's table.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        recorder: RequestRecorder,
        table: TableService,
        clock: Clock,
    ) -> None:
        """Create a writer that has written nothing yet."""
        self._instance_id = instance_id
        self._recorder = recorder
        self._table = table
        self._clock = clock
        self._version_by_key: dict[str, int] = {}

    def write_round(self) -> None:
        """Write the rows of this hour and of the last one."""
        hour = int(self._clock.wall_time()) // BUCKET_S // _MINUTES_PER_HOUR
        for one in (hour - 1, hour):
            self._write_hour(one)

    def _write_hour(self, hour: int) -> None:
        first = hour * _MINUTES_PER_HOUR
        buckets = tuple(
            bucket
            for bucket in self._recorder.buckets_since(first)
            if bucket.minute < first + _MINUTES_PER_HOUR
        )
        if not buckets:
            return
        key = f'{BURN_REPORT_PREFIX}{hour}/{self._instance_id}'
        outcome = self._table.transact(
            (
                Write(
                    key=key,
                    expected_version=self._version_by_key.get(key, 0),
                    body=to_document(BurnRow(buckets=buckets)),
                ),
            )
        )
        if isinstance(outcome, Committed):
            self._version_by_key[key] = outcome.version_by_key[key]
        elif not isinstance(outcome, Unavailable):
            # An answer of this instance's own write was lost.
            self._version_by_key[key] = outcome.version
