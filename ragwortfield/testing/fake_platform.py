"""In-memory fake of the platform with injectable faults, and a test clock."""

from dataclasses import dataclass, field, replace

from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    ListedInstance,
    Listing,
    Row,
    Rows,
    Unavailable,
    Write,
)
from ragwortfield.types import RowBody, Seconds


@dataclass(kw_only=True, slots=True)
class PlatformFaults:
    """
    Injected faults of the platform; none by default.

    :param is_down: whether every call fails without taking effect.
    :param delay_s: delay of each response of the HTTP server, in seconds;
        twice as long while the platform is down.
    :param lost_answers: number of the next transactions that are applied
        but whose responses are lost.
    :param list_lag_s: age of the instance list that is returned, in seconds.
    :param hidden_instances: instances that the list leaves out.
    :param cut_data_centres: data centres that cannot reach the platform; the
        fake does not apply it.
    """

    is_down: bool = False
    delay_s: Seconds = 0
    lost_answers: int = 0
    list_lag_s: Seconds = 0
    hidden_instances: tuple[str, ...] = ()
    cut_data_centres: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class _StoredRow:
    version: int
    body: RowBody


@dataclass(frozen=True, kw_only=True, slots=True)
class _InstanceListEvent:
    at: float
    instance: ListedInstance
    is_present: bool = True


@dataclass(kw_only=True, slots=True)
class PlatformCounts:
    """Numbers of calls served and rows written since the start."""

    transactions: int = 0
    rows_written: int = 0
    scans: int = 0
    conflicts: int = 0


class FakePlatform:
    """
    Fake platform: table rows, objects and the instance list.

    :param clock: source of time for the lag of the instance list.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.faults = PlatformFaults()
        self.counts = PlatformCounts()
        self._clock = clock
        self._row_by_key: dict[str, _StoredRow] = {}
        self._object_by_key: dict[str, bytes] = {}
        self._list_events: list[_InstanceListEvent] = []

    def scan(self, prefix: str) -> Rows | Unavailable:
        """
        Read every row whose key starts with a prefix.

        :param prefix: prefix of the keys.
        :returns: the rows in the order of their keys, or why there are none.
        """
        if self.faults.is_down:
            return Unavailable(reason='platform is down')
        self.counts.scans += 1
        rows = [
            Row(key=key, version=stored.version, body=stored.body)
            for key, stored in sorted(self._row_by_key.items())
            if key.startswith(prefix)
        ]
        return Rows(rows=tuple(rows))

    def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Committed | Conflict | Unavailable:
        """
        Apply all writes or none of them.

        :param writes: the writes with the row versions that they expect.
        :returns: the new versions, the first conflict, or why the outcome is
            not known.
        """
        if self.faults.is_down:
            return Unavailable(reason='platform is down')
        for write in writes:
            version = self._get_version(write.key)
            if version != write.expected_version:
                self.counts.conflicts += 1
                return Conflict(key=write.key, version=version)
        committed = Committed(
            version_by_key={write.key: self._apply(write) for write in writes},
        )
        self.counts.transactions += 1
        self.counts.rows_written += len(writes)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return Unavailable(reason='response lost', is_effect_possible=True)
        return committed

    def put(self, key: str, content: bytes) -> bool | Unavailable:
        """
        Store an object.

        :param key: name of the object.
        :param content: content of the object.
        :returns: true, or why it was not stored.
        """
        if self.faults.is_down:
            return Unavailable(reason='platform is down')
        self._object_by_key[key] = content
        return True

    def get(self, key: str) -> bytes | None | Unavailable:
        """
        Read an object.

        :param key: name of the object.
        :returns: its content, ``None`` when it does not exist, or why it
            cannot be read.
        """
        if self.faults.is_down:
            return Unavailable(reason='platform is down')
        return self._object_by_key.get(key)

    def list_instances(self) -> Listing | Unavailable:
        """
        Return the instance list as it was ``list_lag_s`` seconds ago.

        :returns: the list, or why there is none.
        """
        if self.faults.is_down:
            return Unavailable(reason='platform is down')
        as_of = self._clock.wall_time() - self.faults.list_lag_s
        instance_by_id: dict[str, ListedInstance] = {}
        for event in self._list_events:
            if event.at > as_of:
                continue
            if event.is_present:
                instance_by_id[event.instance.instance_id] = event.instance
            else:
                instance_by_id.pop(event.instance.instance_id, None)
        for hidden in self.faults.hidden_instances:
            instance_by_id.pop(hidden, None)
        return Listing(as_of=as_of, instances=tuple(instance_by_id.values()))

    def add_instance(self, instance: ListedInstance) -> None:
        """
        Add an instance to the list, or replace its entry.

        :param instance: the entry.
        """
        self._list_events.append(
            _InstanceListEvent(at=self._clock.wall_time(), instance=instance),
        )

    def remove_instance(self, instance_id: str) -> None:
        """
        Remove an instance from the list; an unknown one is ignored.

        :param instance_id: identifier of the instance.
        """
        instance = self._find_latest_entry(instance_id)
        if instance is not None:
            self._list_events.append(
                _InstanceListEvent(
                    at=self._clock.wall_time(),
                    instance=instance,
                    is_present=False,
                ),
            )

    def mark_leaving(self, instance_id: str) -> None:
        """
        Mark a listed instance as leaving; an unknown one is ignored.

        :param instance_id: identifier of the instance.
        """
        instance = self._find_latest_entry(instance_id)
        if instance is not None:
            self.add_instance(replace(instance, is_leaving=True))

    def _find_latest_entry(self, instance_id: str) -> ListedInstance | None:
        for event in reversed(self._list_events):
            if event.instance.instance_id == instance_id:
                return event.instance
        return None

    def _get_version(self, key: str) -> int:
        stored = self._row_by_key.get(key)
        return 0 if stored is None else stored.version

    def _apply(self, write: Write) -> int:
        if write.body is None:
            self._row_by_key.pop(write.key, None)
            return 0
        version = write.expected_version + 1
        self._row_by_key[write.key] = _StoredRow(
            version=version,
            body=write.body,
        )
        return version


@dataclass(kw_only=True, slots=True)
class ManualClock:
    """
    Clock that only moves when a test advances it.

    :param now_s: current reading of both the monotonic and the wall clock,
        in seconds.
    """

    now_s: float = field(default=10**6)

    def monotonic(self) -> float:
        """
        Read the monotonic clock.

        :returns: reading in seconds.
        """
        return self.now_s

    def wall_time(self) -> float:
        """
        Read the wall clock.

        :returns: reading in seconds.
        """
        return self.now_s

    def advance(self, seconds: Seconds) -> None:
        """
        Move both clocks forward.

        :param seconds: how far, in seconds.
        """
        self.now_s += seconds
