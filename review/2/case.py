"""A keyed job is killed at one scheduler; its repeat, still waiting at another, is held and released.

The class is keyed: servers drop a repeat for a window after the first send that may have run. A repeat must
not be sent after that window.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from drmaa import OPERATOR, DrmaaClient, start, until
from standins import TROUBLE, CannotRunError, Case, Discovery, Node, admit, end_group, run_case, settings

WINDOW_S = 7.5
# Transcription runs carry a key; the servers of one rack drop a repeat for 7.5 s.
TRANSCRIBE = admit(name="transcribe", deadlineUs=600_000_000, aimUs=60_000_000, windowUs=int(WINDOW_S * 1e6))
JOB_RUNS_S, BUSY_S = 4, 30
SLACK_S = 0.05  # every time limit is 50 ms longer


async def play(case: Case) -> list[str]:
    """Run the job, kill it once, hold and release its repeat; return the breaks."""
    discovery = Discovery(case.record)
    await start(case, discovery, {"s-1": 1, "s-2": 1})
    node = Node(case, discovery.server.addr, settings(classes=[admit(), TRANSCRIBE]), OPERATOR)
    await node.start()
    client = DrmaaClient(case, "client", node)
    # Another job keeps s-2 busy, so that the repeat waits there.
    busy = case.folder / "busy.pid"
    await client.submit(f"echo $$ > {busy}; sleep {BUSY_S}", "s-2")
    await until(busy)
    pid, effects = case.folder / "job.pid", case.folder / "job.effects"
    # Each run of the job writes down when it took effect.
    job = await client.submit(f"date +%s.%N >> {effects}; echo $$ > {pid}; sleep {JOB_RUNS_S}", "s-1", "s-2")
    await until(pid)
    sent_at = time.time()
    await asyncio.sleep(1.0)
    if TROUBLE:
        end_group(pid.read_text())
        case.record.write("s-1", "job_killed", job=job, process=pid.read_text().strip())
    await asyncio.sleep(1.0)
    was_held = await client.act(job, "hold")
    if TROUBLE and not was_held:
        raise CannotRunError("the repeat could not be held")
    await asyncio.sleep(max(sent_at + WINDOW_S + 2.0 - time.time(), 0.0))
    await client.act(job, "release")
    told = await client.wait(job)
    runs = [float(line) for line in effects.read_text().split()]
    for number, at in enumerate(runs):
        case.record.write("scheduler", "ran", job=job, run=number + 1, after_first_s=f"{at - runs[0]:.3f}")
    case.record.write("case", "told", state=told.get("jobState"))
    late = [at - runs[0] for at in runs[1:] if at - runs[0] > WINDOW_S + SLACK_S]
    return [f"the job ran again {after:.1f} s after its first run, window {WINDOW_S} s" for after in late]


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
