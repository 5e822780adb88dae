"""Type aliases shared by all packages, with their units."""

from typing import Any

#: Duration in seconds.
Seconds = float
#: Reading of a monotonic clock, in seconds; only differences are meaningful.
MonotonicTime = float
#: Seconds since the Unix epoch. Comparable between instances, up to the
#: configured bound on clock differences.
WallTime = float
#: Identifier of one entry instance.
InstanceId = str
#: Identifier of one target.
TargetId = str
#: Identifier of one worker.
WorkerId = str
#: Identifier of one batch job.
JobId = str
#: Name of one data centre.
DataCentreName = str
#: Name of one latency-critical service.
ServiceName = str
#: Name of one team.
TeamName = str
#: JSON-compatible mapping that is stored as a row of the platform's tables.
RowBody = dict[str, Any]
