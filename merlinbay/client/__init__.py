"""A typed client of the binding, sync and trio. docs/CLIENT.md.

with Client("http://127.0.0.1:8181", token=...) as client:
job = client.run_job(JobTemplate(remoteCommand="sleep", args=["1"]), within=30)
print(client.wait_terminated(job).exitStatus)
"""

from merlinbay.client.aio import AsyncClient
from merlinbay.client.policy import DrmaaRemote, MayHaveRun, Policy, Unreachable
from merlinbay.client.sync import Client
from merlinbay.drmaa.schema import JobInfo, JobTemplate

__all__ = [
    "AsyncClient",
    "Client",
    "DrmaaRemote",
    "JobInfo",
    "JobTemplate",
    "MayHaveRun",
    "Policy",
    "Unreachable",
]
