"""Distinct types for the identifiers and quantities shared between modules."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
ProcessId = NewType("ProcessId", str)
WorkerId = NewType("WorkerId", str)
TargetId = NewType("TargetId", str)
TaskId = NewType("TaskId", str)
TeamId = NewType("TeamId", str)
WorkspaceId = NewType("WorkspaceId", str)
ServiceId = NewType("ServiceId", str)
KindId = NewType("KindId", str)
DomainId = NewType("DomainId", str)
RegionId = NewType("RegionId", str)
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
RequestKey = NewType("RequestKey", str)
StreamName = NewType("StreamName", str)
WriterId = NewType("WriterId", str)

AttemptNumber = NewType("AttemptNumber", int)
Epoch = NewType("Epoch", int)
Offset = NewType("Offset", int)
Revision = NewType("Revision", int)
Sequence = NewType("Sequence", int)

Seconds = NewType("Seconds", float)

MemberName = NewType("MemberName", str)
JobId = NewType("JobId", str)
QueueName = NewType("QueueName", str)
StepIndex = NewType("StepIndex", int)
