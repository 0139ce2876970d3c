"""The backlog: which job is offered to the core next, when one is given up, and how each ends."""

from __future__ import annotations

from collections import Counter

from merlinbay.batch.errors import DrmaaError, invalid_state
from merlinbay.batch.fair_share import AccountQueue
from merlinbay.batch.jobs import Job, JobArray, JobSession, JobStage, Submission
from merlinbay.batch.registry import Effect, JobChange, JobRegistry, OfferJob
from merlinbay.batch.states import HELD, JobState, JobTransition


class JobQueue(JobRegistry):
    """Jobs on their way from their submission to the core, and from there to their end."""

    ends: Counter[JobState]  # how jobs ended,
    ended = 0  # and how many
    look_us = 0  # when the backlog is looked at next, though nothing else happens

    @property
    def waiting(self) -> int:
        """The number of jobs in the lanes."""
        return self.root.waiting

    def take(self, now_us: int) -> list[Effect]:
        """Offer what may be offered now; return the effects so far, and forget them."""
        if self.waiting:
            self._offer(now_us)
        effects, self.effects = self.effects, []
        return effects

    def tick(self, now_us: int) -> None:
        """Do what is due."""
        self.timers.run(now_us)

    def next_us(self) -> int:
        """Return when ``tick`` may have something to do; ``timers.NEVER``: as it stands, never."""
        return self.timers.soonest

    # The lanes.

    def _queue(self, job: Job, now_us: int) -> None:
        """Let a job wait in its account's lane, once it may."""
        if self._is_late(job, now_us):
            self._late(job, now_us)
            return
        job.stage = JobStage.PARKED
        if job.what.start_us > now_us:
            self._arm(job, job.what.start_us)
            return
        self._arm(job)
        job.stage = JobStage.WAITING
        self.pace.add_waiting(job.shape, job.job_class, now_us)
        self._lane(job).add(job)
        if job.array is not None:
            job.array.queued += 1

    def _ready(self, job: Job, now_us: int) -> None:
        """Let a job wait in its lane, or for its turn in its array before that."""
        if job.array is None:
            self._queue(job, now_us)
            return
        # Guards against members beyond maxParallel: none enters the lane but by its array's count.
        self._arm(job)
        job.array.back[job] = None
        self._feed(job.array, now_us)

    def _unqueue(self, job: Job) -> None:
        if job.stage is JobStage.WAITING:
            self._lane(job).remove(job)
            self.pace.remove_waiting(job.shape, job.job_class)
            if job.array is not None:
                job.array.queued -= 1
            job.stage = JobStage.PARKED

    def _lane(self, job: Job) -> AccountQueue:
        session, account = job.session, job.what.account
        assert session.branch is not None
        lane = session.lanes.get(account)
        if lane is None:
            lane = session.lanes[account] = AccountQueue(session.branch)
        return lane

    def _forget_lanes(self, session: JobSession) -> None:
        """Forget the accounts that have nothing waiting and no more served than the others."""
        branch = session.branch
        assert branch is not None
        for account, lane in list(session.lanes.items()):
            if not lane.waiting and lane.tag <= branch.served:
                del session.lanes[account]

    def _offer(self, now_us: int) -> None:
        """Offer what comes next, as far as the pace allows."""
        while may := self.pace.offerable_shapes(now_us):
            found = self.root.first(may.__contains__)
            assert found is not None
            lane, job = found
            assert isinstance(job, Job)
            self._unqueue(job)
            if job.array is not None:
                job.array.out += 1
                self._feed(job.array, now_us)
            self.pace.record_offer(job.job_class)
            job.booked = self.pace.expected_run_time_s(job.job_class) * job.what.slots
            lane.charge(job.booked)
            self._send(job)
        # What is shut for a while is looked at again when it opens.
        next_look_us = self.pace.next_look_us(now_us)
        if next_look_us and not now_us < self.look_us <= next_look_us:
            self.look_us = next_look_us
            self.timers.at(self.look_us, lambda now: None)

    def _send(self, job: Job) -> None:
        job.stage, job.offer = JobStage.OFFERED, job.offer + 1
        self.effects.append(OfferJob(job))

    def _take_back(self, job: Job) -> None:
        """Take it that neither the core nor a server has a job of the backlog, and it did no work."""
        self._lane(job).charge(-job.booked)
        if job.stage is JobStage.OFFERED:
            self.pace.record_decision(job.job_class)
        if job.array is not None:
            job.array.out -= 1
        job.booked, job.stage = 0.0, JobStage.PARKED

    # Arrays.

    def _feed(self, array: JobArray, now_us: int) -> None:
        """Let members whose turn it is enter the lane."""
        if array.what.start_us > now_us:
            return
        while array.room(self.bounds.window):
            if array.back:
                job = next(iter(array.back))
                del array.back[job]
            elif not array.held and array.cursor < len(array.range):
                index = array.range[array.cursor]
                array.cursor += 1
                if array.codes[array.cursor - 1]:
                    continue
                job = self._member(array, index)
            else:
                return
            if job.stage is JobStage.PARKED and job.state not in HELD:
                self._queue(job, now_us)

    def _member(self, array: JobArray, index: int) -> Job:
        self.orders += 1
        made = len(array.made)
        job = array.member(index, self.orders)
        if self.watcher is not None and len(array.made) > made:
            self.watcher.changed(JobChange.STATE, job)
        return job

    def _end_unmade(self, array: JobArray, why: str, now_us: int) -> int:
        """End the members that were never made; return how many there were."""
        number = 0
        for index in array.unmade():
            array.note_end(index, JobState.FAILED)
            number += 1
        if number:
            array.annotation = why
            if self.watcher is not None:
                self.watcher.unmade_ended(array, number)
            self.jobs -= number
            self.ends[JobState.FAILED] += number
            self.ended += number
            array.session.quota.give_back(
                number, 0 if array.left else array.what.size, array.what.account, now_us
            )
            if not array.left:
                self._array_ended(array, now_us)
        return number

    def _array_ended(self, array: JobArray, now_us: int) -> None:
        self.timers.cancel(array.timer)
        if array.session.destroyed:
            self._drop(array)
        else:
            self._keep(array, now_us)

    # Time.

    def give_up_us(self, session: JobSession, what: Submission, submitted_us: int) -> int:
        """Return when a job that has not been placed is given up; 0: never."""
        backlog = session.backlog
        late = (
            max(submitted_us, what.start_us) + backlog.wait_most_us
            if backlog is not None and backlog.wait_most_us
            else 0
        )
        return min(late, what.deadline_us) if late and what.deadline_us else late or what.deadline_us

    def _arm(self, job: Job, not_before_us: int = 0) -> None:
        """Have the job looked at when it may wait in its lane, or when it is given up."""
        self.timers.cancel(job.timer)
        job.timer = None
        late = self._job_given_up_us(job)
        if not_before_us and (not late or not_before_us < late):
            job.timer = self.timers.at(not_before_us, lambda now: self._due(job, now))
        elif late:
            job.timer = self.timers.at(late, lambda now: self._late(job, now))

    def _due(self, job: Job, now_us: int) -> None:
        job.timer = None
        if job.state in HELD:
            self._arm(job)
        else:
            self._ready(job, now_us)

    def _job_given_up_us(self, job: Job) -> int:
        """Return when a job that waits is given up; 0: never."""
        late = self.give_up_us(job.session, job.what, job.submitted_us)
        return min(late, job.repeat_until_us) if late and job.repeat_until_us else late or job.repeat_until_us

    def _is_late(self, job: Job, now_us: int) -> bool:
        late = self._job_given_up_us(job)
        return 0 < late <= now_us

    def _late(self, job: Job, now_us: int) -> None:
        """Give up a job that was not placed in time, and say so at once."""
        if job.ended or job.stage in (JobStage.OFFERED, JobStage.PLACED):
            return  # its request has a deadline of its own
        if not job.may_repeat(now_us):
            self._end(
                job,
                JobTransition.FAIL,
                now_us,
                "InternalException",
                "it may have run, and the time in which it may be sent again has passed",
            )
        elif 0 < job.what.deadline_us <= now_us:
            self._fail_unplaced(job, now_us, "TimeoutException", "its deadline passed before it was placed")
        else:
            text, wait_us = "it has waited for as long as jobs may", job.session.quota.drain.wait_us(1)
            self._fail_unplaced(job, now_us, "TryLaterException", text, wait_us)

    def _fail_unplaced(
        self, job: Job, now_us: int, exception: str, annotation: str, retry_after_us: int = 0
    ) -> None:
        """End a job that no server has, and say if it may have run in an earlier offer."""
        if job.may_have_run:
            annotation = f"{annotation}; it may have run"
            if exception == "TryLaterException":  # Clients take this for a promise that it never ran.
                exception, retry_after_us = "InternalException", 0
        self._end(job, JobTransition.FAIL, now_us, exception, annotation, retry_after_us)

    def _array_late(self, array: JobArray, now_us: int) -> None:
        """Give up the members of an array that were never made."""
        self._end_unmade(array, "it waited for as long as jobs may, or its deadline passed", now_us)

    # The end.

    def _end(
        self,
        job: Job,
        event: JobTransition,
        now_us: int,
        exception: str = "",
        annotation: str = "",
        retry_after_us: int = 0,
        output: bytes = b"",
    ) -> None:
        """Bring a job to its final state. The table has no transition from there, so this is done once."""
        self._stop_waiting(job)
        self._settle_offer(job, event, now_us)
        job.booked, job.stage, job.finished_us = 0.0, JobStage.ENDED, now_us
        job.output, job.exception, job.annotation = output, exception, annotation
        job.retry_after_us = retry_after_us
        calls, submit_call = self._calls(job), job.submit_call
        job.submit_call = None
        self._move(job, event)
        is_last = self._count_end(job, now_us)
        for call in calls:
            self.reply(call, error=invalid_state(f"the job is {job.state.value}"))
        if submit_call is not None:
            self._reject_submission(job, submit_call)
        elif job.session.destroyed:
            self._drop(job)
        else:
            self._keep(job, now_us)
        if job.array is not None:
            job.array.back.pop(job, None)
            if is_last:
                self._array_ended(job.array, now_us)
            else:
                self._feed(job.array, now_us)

    def _stop_waiting(self, job: Job) -> None:
        """Cancel the job's timer and take it out of its lane."""
        if job.timer is not None:
            self.timers.cancel(job.timer)
            job.timer = None
        self._unqueue(job)

    def _settle_offer(self, job: Job, event: JobTransition, now_us: int) -> None:
        """Charge the work of a job of the backlog that was offered or placed, in place of what was booked."""
        if job.stage not in (JobStage.OFFERED, JobStage.PLACED) or job.session.backlog is None:
            return
        used_s = max(now_us - job.running_us, 0) / 1e6 if job.running_us else 0.0
        if event is JobTransition.FINISH and job.running_us:
            self.pace.learn_run_time(job.job_class, used_s)
        self._lane(job).charge(used_s * job.what.slots - job.booked)
        if job.stage is JobStage.OFFERED:
            self.pace.record_decision(job.job_class)
        if job.array is not None:
            job.array.out -= 1

    def _count_end(self, job: Job, now_us: int) -> bool:
        """Count a job that has ended; return whether it was alone, or the last member of its array."""
        self.jobs -= 1
        self.ends[job.state] += 1
        self.ended += 1
        if job.array is not None:
            job.array.note_end(job.index, job.state)
        is_last = job.array is None or not job.array.left
        job.session.quota.give_back(1, job.what.size if is_last else 0, job.what.account, now_us)
        return is_last

    def _reject_submission(self, job: Job, submit_call: object) -> None:
        """Have ``runJob`` itself raise: there is no job to ask for."""
        del job.session.jobs[job.id]
        exception = job.exception or "InternalException"
        self.reply(submit_call, error=DrmaaError(exception, job.annotation, job.retry_after_us))

    def _calls(self, job: Job) -> list[object]:
        """Take the calls that wait for something to come of the job."""
        calls = job.hold_calls or []
        if job.control is not None:
            calls.append(job.control[1])
        job.hold_calls = job.control = None
        return calls
