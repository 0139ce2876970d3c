"""A typed client of the DRMAA front, sync and trio. See ``docs/CLIENT.md``.

with Client("http://127.0.0.1:8181", token=...) as client:
    job = client.run_job(JobTemplate(remoteCommand="sleep", args=["1"]), within=30)
    print(client.wait_terminated(job).exitStatus)
"""

from merlinbay.client.aio import AsyncClient
from merlinbay.client.policy import DrmaaRemoteError, MayHaveRunError, Policy, UnreachableError
from merlinbay.client.sync import Client
from merlinbay.drmaa.schema import JobInfo, JobTemplate

# Earlier names, taken for one release more.
DrmaaRemote = DrmaaRemoteError
MayHaveRun = MayHaveRunError
Unreachable = UnreachableError

__all__ = [
    "AsyncClient",
    "Client",
    "DrmaaRemote",
    "DrmaaRemoteError",
    "JobInfo",
    "JobTemplate",
    "MayHaveRun",
    "MayHaveRunError",
    "Policy",
    "Unreachable",
    "UnreachableError",
]
