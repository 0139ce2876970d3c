"""What becomes of batch jobs: calls, the core's news and the clock in; effects out. No I/O, in h11's manner.

The caller tells the time with every call and calls ``take`` afterwards. A call that cannot be answered at
once is any object of the caller's; it comes back in exactly one ``Reply``.

    client's calls  ->  submit, submit_array, hold, release, control, terminate, reap, wait; on_array
    the core's news ->  placed, started, suspended, possibly_ran, unplaced, lost_sight, found_queued,
                        finished, refused, failed, recalled, controlled
    effects         ->  OfferJob, WithdrawJob, RecallJob, ControlJob, CallReply

News may only be told of a job that is with the core: the caller drops what belongs to an earlier offer.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from merlinbay.batch.errors import DrmaaError, invalid_argument, invalid_state, try_later, unsupported
from merlinbay.batch.jobs import Job, JobArray, JobSession, JobStage, Submission, indices
from merlinbay.batch.queue import JobQueue
from merlinbay.batch.registry import (
    NO_BACKLOG,
    ROOM,
    ArrayCall,
    BatchLimits,
    ControlJob,
    JobChange,
    RecallJob,
    WithdrawJob,
)
from merlinbay.batch.states import JobState, JobTransition
from merlinbay.decision.events import UnresolvedAttempt

STOP_RETRY_US = 1_000_000  # when a client of a node that stops may try another, or this one again


class BatchEngine(JobQueue):
    """Sessions, jobs, arrays and waits of one front."""

    def __init__(self, bounds: BatchLimits, new_id: Callable[[], str]) -> None:
        super().__init__(bounds, new_id)
        self.ends = Counter()
        self.stopping = False

    # Submission.

    def submit(self, session: JobSession, what: Submission, now_us: int, call: object = None) -> Job:
        """Take a job. Without a backlog it is offered at once, and ``call`` answered when that is settled."""
        if session.backlog is None:
            for name, wanted in (
                ("submitAsHold", what.held),
                ("startTime", what.start_us),
                ("priority", what.priority),
            ):
                if wanted:
                    raise DrmaaError(
                        "UnsupportedAttributeException", f"{name}: session {session.name!r} {NO_BACKLOG}"
                    )
        self._admit(session, 1, what, now_us)
        self.orders += 1
        job = Job(self.new_id(), session, what, self.orders, self._rank(session, what, now_us), now_us)
        session.jobs[job.id] = job
        if what.held:
            job.state = JobState.QUEUED_HELD
        if self.watcher is not None:
            self.watcher.changed(JobChange.STATE, job)
        if session.backlog is None:
            job.submit_call = call
            self._send(job)
        elif what.held:
            self._arm(job)
        else:
            self._queue(job, now_us)
        return job

    def submit_array(
        self,
        session: JobSession,
        what: Submission,
        begin: int,
        end: int,
        step: int,
        max_parallel: int,
        now_us: int,
    ) -> JobArray:
        """Take an array."""
        if session.backlog is None:
            raise unsupported(f"session {session.name!r} {NO_BACKLOG}, which arrays wait in")
        if max_parallel < 0:
            raise invalid_argument("maxParallel")
        found = indices(begin, end, step, self.bounds.array)
        self._admit(session, len(found), what, now_us)
        array = JobArray(
            self.new_id(),
            session,
            what,
            found,
            max_parallel,
            self._rank(session, what, now_us),
            now_us,
            held=what.held,
        )
        session.arrays[array.id] = array
        self._arm_array(array, now_us)
        self._feed(array, now_us)
        return array

    def _admit(self, session: JobSession, jobs: int, what: Submission, now_us: int) -> None:
        if self.stopping:
            raise try_later("the node stops", STOP_RETRY_US)
        if self.jobs + jobs > self.bounds.jobs:
            raise try_later(
                f"the front has {self.jobs} jobs of {self.bounds.jobs}", session.quota.drain.wait_us(1)
            )
        if (
            session.backlog is not None
            and what.account not in session.lanes
            and len(session.lanes) >= self.bounds.accounts
        ):
            self._forget_lanes(session)
            if len(session.lanes) >= self.bounds.accounts:
                raise try_later(
                    f"the session has {self.bounds.accounts} accounts with jobs",
                    session.quota.drain.wait_us(1),
                )
        refusal = session.quota.refusal(jobs, what.size, what.account, now_us)
        if refusal is not None:
            text, wait_us = refusal
            raise try_later(text, wait_us) if wait_us else DrmaaError(ROOM, text)
        self.jobs += jobs

    def _rank(self, session: JobSession, what: Submission, now_us: int) -> int:
        step = session.backlog.priority_us if session.backlog is not None else 0
        return max(now_us, what.start_us) - what.priority * step

    def _arm_array(self, array: JobArray, now_us: int) -> None:
        """Have the array looked at when it is due, or when what was never made is given up."""
        late = self.give_up_us(array.session, array.what, array.submitted_us)
        if array.what.start_us > now_us and (not late or array.what.start_us < late):
            array.timer = self.timers.at(array.what.start_us, lambda now: self._array_due(array, now))
        elif late:
            array.timer = self.timers.at(late, lambda now: self._array_late(array, now))

    def _array_due(self, array: JobArray, now_us: int) -> None:
        self._arm_array(array, now_us)
        self._feed(array, now_us)

    def stop(self, now_us: int) -> None:
        """Take nothing new, and end what waits: it will not be placed any more."""
        self.stopping = True
        for session in self.sessions.values():
            for array in list(session.arrays.values()):
                self._end_unmade(array, "the node stops", now_us)
            for job in list(session.jobs.values()):
                if job.stage in (JobStage.PARKED, JobStage.WAITING):
                    self._give_up(job, now_us)

    def _give_up(self, job: Job, now_us: int) -> None:
        self._fail_unplaced(job, now_us, "TryLaterException", "the node stops", STOP_RETRY_US)

    def destroy(self, session: JobSession, now_us: int) -> None:
        """Destroy a session: what has not been placed ends; what is placed goes on, with nobody to ask."""
        session.is_open, session.destroyed = False, True
        why = "the session was destroyed"
        for array in list(session.arrays.values()):
            self._end_unmade(array, why, now_us)
        for job in list(session.jobs.values()):
            if job.ended:
                self._drop(job)
            elif job.stage in (JobStage.PARKED, JobStage.WAITING):
                self.terminate(job, now_us, why)
            else:
                for call in self._calls(job):
                    self.reply(call, error=DrmaaError("InvalidSessionException", why))
        del self.sessions[session.name]

    # Calls on a job. Each raises ``DrmaaError``, or answers ``call`` now or later.

    def hold(self, job: Job, now_us: int, call: object = None) -> None:
        """Keep it from starting."""
        self._allowed(job, JobTransition.HOLD)
        if job.stage in (JobStage.OFFERED, JobStage.PLACED):
            if job.session.backlog is None:
                raise unsupported(f"session {job.session.name!r} {NO_BACKLOG}, which held jobs wait in")
            if not job.may_repeat(now_us):
                # A recall would end the job, because it could never be sent again.
                raise invalid_state("it may have run, and the time in which it may be sent again has passed")
            # Guards against a hold that crosses the placement: the placement is settled first.
            if job.hold_calls is None:
                job.hold_calls = []
                if job.stage is JobStage.PLACED:
                    self.effects.append(RecallJob(job))
            job.hold_calls.append(call)
            return
        self._unqueue(job)
        self._move(job, JobTransition.HOLD)
        self._arm(job)
        self.reply(call, job)
        if job.array is not None:
            self._feed(job.array, now_us)

    def release(self, job: Job, now_us: int, call: object = None) -> None:
        """Let a held job go on."""
        self._allowed(job, JobTransition.RELEASE)
        if self._is_late(job, now_us):
            # Guards against a release that comes with the deadline: the job ends, and that is what is said.
            self._late(job, now_us)
            raise invalid_state(f"the job is {job.state.value}: {job.annotation}")
        self._move(job, JobTransition.RELEASE)
        self._ready(job, now_us)
        self.reply(call, job)

    def control(self, job: Job, action: str, now_us: int, call: object = None) -> None:
        """Have its server ``suspend`` or ``resume`` it."""
        self._allowed(job, JobTransition.SUSPEND if action == "suspend" else JobTransition.RESUME)
        if job.stage is not JobStage.PLACED or job.state is JobState.UNDETERMINED:
            raise invalid_state("no server can be asked about the job at present")
        if job.control is not None:
            raise invalid_state(f"a {job.control[0]} is under way")
        job.control = (action, call)
        self.effects.append(ControlJob(job, action))

    def terminate(self, job: Job, now_us: int, why: str = "terminated") -> None:
        """End it, wherever it is."""
        self._allowed(job, JobTransition.FAIL)
        if job.stage in (JobStage.OFFERED, JobStage.PLACED):
            self.effects.append(WithdrawJob(job))
        self._end(job, JobTransition.FAIL, now_us, annotation=why)

    def reap(self, job: Job) -> None:
        """Drop the record of a job that has ended."""
        if not job.ended:
            raise invalid_state(f"the job is {job.state.value}")
        self._drop(job)

    # Calls on an array.

    def job(self, session: JobSession, job_id: str) -> Job:
        """Return a job by its id, a member of an array included. Raises ``DrmaaError``."""
        job = session.jobs.get(job_id)
        if job is None:
            array_id, _, index = job_id.partition(".")
            array = session.arrays.get(array_id)
            if array is not None and index.isdigit() and len(index) < 11:
                return self._member(array, int(index))
            raise invalid_argument(f"no job {job_id!r}", missing=True)
        return job

    def array(self, session: JobSession, array_id: str) -> JobArray:
        """Return an array by its id. Raises ``DrmaaError``."""
        array = session.arrays.get(array_id)
        if array is None:
            raise invalid_argument(f"no array {array_id!r}", missing=True)
        return array

    def on_array(self, array: JobArray, action: str, now_us: int, call: object) -> None:
        """Do ``hold``, ``release``, ``suspend``, ``resume`` or ``terminate`` to all whose state allows it.

        Where it allows it for none, the call is answered with why.
        """
        gathered = ArrayCall(call, left=1)  # one for the array itself, so that it is answered last
        error: DrmaaError | None = invalid_state(f"no member can {action}")
        if (action == "terminate" and self._end_unmade(array, "terminated", now_us)) or (
            action in ("hold", "release")
            and array.held is (action == "release")
            and any(True for _ in array.unmade())
        ):
            error = None
        if action == "hold":  # Guards against members that enter the lane while the others are held.
            array.held = True
        for job in list(array.made.values()):
            try:
                if action == "terminate":
                    self.terminate(job, now_us)
                    gathered.done += 1
                else:
                    gathered.left += 1
                    if action == "hold":
                        self.hold(job, now_us, gathered)
                    elif action == "release":
                        self.release(job, now_us, gathered)
                    else:
                        self.control(job, action, now_us, gathered)
            except DrmaaError as found:
                if action != "terminate":
                    self.reply(gathered, error=found)
        if action == "release":
            array.held = False
        self._feed(array, now_us)
        self.reply(gathered, error=None if gathered.done else error)

    def reap_array(self, array: JobArray) -> None:
        """Drop an array whose members have all ended."""
        if array.left:
            raise invalid_state(f"{array.left} members have not ended")
        for job in list(array.made.values()):
            self._drop(job)
        self._drop(array)

    # What the core tells.

    def placed(self, job: Job, server: str, now_us: int) -> None:
        """Note that a real server was chosen; again for a copy or a repeat."""
        job.server, job.servers = server, (*job.servers, server)
        if self.watcher is not None:
            self.watcher.changed(JobChange.ATTRIBUTE, job)  # allocatedMachines
        if job.stage is not JobStage.OFFERED:
            return
        job.stage = JobStage.PLACED
        if job.timer is not None:
            self.timers.cancel(job.timer)
            job.timer = None
        if job.session.backlog is not None:
            self.pace.record_placement(job.job_class)
        if job.hold_calls:
            self.effects.append(RecallJob(job))
        call, job.submit_call = job.submit_call, None
        self.reply(call, job)

    def started(self, job: Job, server: str, now_us: int) -> None:
        """Note that a real server started it, or went on with it."""
        if job.state is JobState.RUNNING:
            return
        job.server, job.ran = server or job.server, True
        job.running_us = job.running_us or now_us
        job.started_us = job.started_us or now_us
        moved, job.machine = job.machine not in ("", job.server), job.server
        self._move(job, JobTransition.RESUME if job.state is JobState.SUSPENDED else JobTransition.START)
        if moved and self.watcher is not None:
            self.watcher.changed(JobChange.MACHINE, job)

    def suspended(self, job: Job, now_us: int) -> None:
        """Note that its server suspended it."""
        if job.state in (JobState.RUNNING, JobState.UNDETERMINED):
            self._move(job, JobTransition.SUSPEND)

    def possibly_ran(
        self, job: Job, attempt: UnresolvedAttempt | None, repeat_until_us: int, now_us: int
    ) -> None:
        """Note that an attempt of it has ended that may have run.

        It may be sent again until ``repeat_until_us``, 0 for at any time, in this offer and in later ones.
        """
        job.may_have_run = True
        if not repeat_until_us:
            return
        if attempt is not None:
            attempts = (*job.unresolved, attempt)
            job.unresolved = tuple(sorted(attempts, key=lambda one: one.dispatched_at_us))
        job.repeat_until_us = min(job.repeat_until_us or repeat_until_us, repeat_until_us)

    def unplaced(self, job: Job, now_us: int) -> None:
        """Note that no server has it any more; the core decides anew."""
        job.running_us = 0
        if job.state in (JobState.RUNNING, JobState.SUSPENDED):
            self._move(job, JobTransition.REQUEUE)
        elif job.state is JobState.UNDETERMINED:
            self._move(job, JobTransition.REQUEUE if job.ran else JobTransition.FIND_QUEUED)
        if job.control is not None:
            call, job.control = job.control[1], None
            self.reply(call, error=invalid_state(f"the job is {job.state.value}"))

    def lost_sight(self, job: Job, now_us: int) -> None:
        """Note that its server cannot be asked."""
        if job.state in (JobState.QUEUED, JobState.RUNNING, JobState.SUSPENDED, JobState.REQUEUED):
            self._move(job, JobTransition.LOSE_SIGHT)

    def found_queued(self, job: Job, now_us: int) -> None:
        """Note that its server says that it waits there."""
        if job.state is JobState.UNDETERMINED:
            self._move(job, JobTransition.REQUEUE if job.ran else JobTransition.FIND_QUEUED)

    def finished(self, job: Job, output: bytes, now_us: int, exit_status: int = 0, cpu_us: int = 0) -> None:
        """End it as done."""
        job.exit_status, job.cpu_us = exit_status, cpu_us
        self._end(job, JobTransition.FINISH, now_us, output=output)

    def failed(
        self,
        job: Job,
        exception: str,
        annotation: str,
        now_us: int,
        exit_status: int | None = None,
        signal: str = "",
        output: bytes = b"",
    ) -> None:
        """End it as failed; it may have run."""
        job.exit_status, job.signal = exit_status, signal
        self._end(job, JobTransition.FAIL, now_us, exception, annotation, output=output)

    def refused(self, job: Job, retry_after_us: int, now_us: int) -> None:
        """Let it wait again: nothing was done, or nothing that a repeat would harm."""
        if job.session.backlog is None or job.session.destroyed:
            text = "refused unsent or handed back"
            self._fail_unplaced(job, now_us, "TryLaterException", text, retry_after_us)
            return
        if job.stage is JobStage.PLACED:
            self.unplaced(job, now_us)
        self._take_back(job)
        self.pace.record_refusal(job.shape, job.job_class, retry_after_us, now_us)
        if self.stopping:
            self._give_up(job, now_us)
        elif job.hold_calls:
            self._now_held(job, now_us)
            if job.array is not None:
                self._feed(job.array, now_us)
        else:
            self._ready(job, now_us)

    def recalled(self, job: Job, done: bool, now_us: int) -> None:
        """Note whether its server gave it back unstarted."""
        if not done:
            calls, job.hold_calls = job.hold_calls or [], None
            for call in calls:
                self.reply(
                    call,
                    error=invalid_state(f"its server does not give it back; the job is {job.state.value}"),
                )
        elif job.session.destroyed:
            self._end(job, JobTransition.FAIL, now_us, annotation="the session was destroyed")
        elif job.state not in (JobState.QUEUED, JobState.REQUEUED):
            # Guards against a server that tells of a start and then gives the job back: it may have run.
            self._end(job, JobTransition.FAIL, now_us, "InternalException", "given back; it may have run")
        else:
            self._take_back(job)
            self._now_held(job, now_us)
            if job.array is not None:
                self._feed(job.array, now_us)

    def controlled(self, job: Job, action: str, error: DrmaaError | None, now_us: int) -> None:
        """Note whether its server suspended or resumed it."""
        if job.control is None or job.control[0] != action:
            return
        call, job.control = job.control[1], None
        if error is None and job.state is (JobState.RUNNING if action == "suspend" else JobState.SUSPENDED):
            self._move(job, JobTransition.SUSPEND if action == "suspend" else JobTransition.RESUME)
        self.reply(call, job, error)

    def _now_held(self, job: Job, now_us: int) -> None:
        if self._is_late(job, now_us):
            # A held job that can never be sent would be told as held and end at once.
            self._late(job, now_us)
            return
        calls, job.hold_calls = job.hold_calls or [], None
        self._move(job, JobTransition.HOLD)
        self._arm(job)
        for call in calls:
            self.reply(call, job)
