"""Shared type aliases; units are part of the name or of the comment."""

from typing import Any

#: Duration in seconds.
Seconds = float
#: Reading of a monotonic clock, in seconds; only differences have a meaning.
MonotonicTime = float
#: Seconds since the Unix epoch, comparable between instances.
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
#: JSON-compatible mapping as stored in a row of the platform's tables.
RowBody = dict[str, Any]
