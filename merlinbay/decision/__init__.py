"""Decides for a balancer whether requests are admitted and which servers they are sent to.

The package does no I/O: an adapter passes events to ``Balancer`` and carries out the actions it returns.
"""

from merlinbay.decision.actions import (
    Action,
    Cancel,
    CheckHealth,
    Dispatch,
    Fail,
    LogNotice,
    Reject,
    SetTimer,
    WatchEndpoints,
)
from merlinbay.decision.balancer import Balancer
from merlinbay.decision.events import (
    AttemptEnded,
    CallFailure,
    ClientDisconnected,
    DiscoveryChanged,
    EndpointEntry,
    EndpointsChanged,
    Event,
    ExecutionProgressed,
    ExecutionStarted,
    HealthCheckEnded,
    MaintenanceChanged,
    RequestReceived,
    StreamStarted,
    TimerFired,
)
from merlinbay.decision.outcomes import NEVER_RAN, Outcome
from merlinbay.decision.settings import DispatchLimits, RequestClass, SafetyMargins, Settings, Tenant
from merlinbay.decision.threshold import threshold

__all__ = [
    "NEVER_RAN",
    "Action",
    "AttemptEnded",
    "Balancer",
    "CallFailure",
    "Cancel",
    "CheckHealth",
    "ClientDisconnected",
    "DiscoveryChanged",
    "Dispatch",
    "DispatchLimits",
    "EndpointEntry",
    "EndpointsChanged",
    "Event",
    "ExecutionProgressed",
    "ExecutionStarted",
    "Fail",
    "HealthCheckEnded",
    "LogNotice",
    "MaintenanceChanged",
    "Outcome",
    "Reject",
    "RequestClass",
    "RequestReceived",
    "SafetyMargins",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "Tenant",
    "TimerFired",
    "WatchEndpoints",
    "threshold",
]
