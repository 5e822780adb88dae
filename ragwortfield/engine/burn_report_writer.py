"""Writer of the burn report's minute buckets to the platform's table."""

from ragwortfield.adapters.json_codec import to_document
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    TableService,
    Unavailable,
    Write,
)
from ragwortfield.report.request_recorder import (
    BUCKET_S,
    BurnRow,
    RequestRecorder,
)
from ragwortfield.types import InstanceId

#: Prefix of the row keys; an hour and an instance identifier follow.
BURN_REPORT_PREFIX = 'burn/'
_MINUTES_PER_HOUR = 60


class BurnReportWriter:
    """
    Writes one row per hour for its instance, and updates it during the hour.

    :param instance_id: identifier of the instance.
    :param recorder: keeps the buckets in memory.
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
        """Write the rows of the current and of the previous hour."""
        current_hour = (
            int(self._clock.wall_time()) // BUCKET_S // _MINUTES_PER_HOUR
        )
        for written_hour in (current_hour - 1, current_hour):
            self._write_hour(written_hour)

    def _write_hour(self, hour: int) -> None:
        first_minute = hour * _MINUTES_PER_HOUR
        buckets = tuple(
            bucket
            for bucket in self._recorder.list_buckets_since(first_minute)
            if bucket.minute < first_minute + _MINUTES_PER_HOUR
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
            # Only this instance writes the row, so the conflict means that an
            # earlier write took effect and its response was lost.
            self._version_by_key[key] = outcome.version
