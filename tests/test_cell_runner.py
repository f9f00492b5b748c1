"""Tests of the owner's appends to the log and of when it stops acting."""

import asyncio
import time
from collections import Counter
from contextlib import suppress
from dataclasses import replace
from random import Random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.errors import TooLargeError
from plantainhinge.core.ids import Epoch, JobId, QueueName
from plantainhinge.daemons import cell_runner
from plantainhinge.daemons.cell_runner import DIRECTORY_INTERVAL_SECONDS, CellRunner
from plantainhinge.daemons.instance import DRAIN_SECONDS, hand_over
from plantainhinge.daemons.job_view import JOB_TOPIC, PROGRESS_TOPIC, JobView
from plantainhinge.daemons.operator_view import OperatorView
from plantainhinge.daemons.progress_log import ProgressLog
from plantainhinge.daemons.renewals import Renewals
from plantainhinge.daemons.worker_view import WorkerView
from plantainhinge.dispatch import polling
from plantainhinge.dispatch.bindings import bind_attempt
from plantainhinge.dispatch.cell import Flush
from plantainhinge.dispatch.model import Attempt, AttemptPhase, HandoverMark
from plantainhinge.fleet.handover import (
    HANDOVER_KEY,
    Handover,
    HandoverRecords,
    SilentWorker,
    encode_handover,
)
from plantainhinge.fleet.model import (
    EndCause,
    EndedAttempt,
    OrderOutcome,
    OrderResponse,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from plantainhinge.fleet.protocols import Entry, Fence
from plantainhinge.jobs.model import JobState
from plantainhinge.jobs.ownership import EPOCH_KEY, EpochMarker, encode_marker
from plantainhinge.jobs.records import (
    OccurrenceProgress,
    Progress,
    StepProgress,
    TaskProgress,
    build_key,
    decode_record,
    encode_record,
)

from .keyed_log import MemoryKeyedLog
from .simulated_cell import TERMS, SimulatedCell, make_entry, make_job, make_step


class NoWorkers:
    """A fake of worker calls for an empty directory: any call is an error."""


class SilentWorkers:
    """A fake of calls to workers none of which answers."""

    async def renew(self, entry, renewal):
        await asyncio.sleep(0.2)
        return OrderResponse(outcome=OrderOutcome.UNKNOWN)

    def close_connections(self, entry):
        pass


class IdleWorkers:
    """A fake of calls to workers that run nothing and all answer."""

    async def renew(self, entry, renewal):
        await asyncio.sleep(0)
        return WorkerReport(clock=0.0, incarnation=1, running=(), ended=())

    def close_connections(self, entry):
        pass


async def ask_nobody(confirmed_at):
    return float("-inf")


def make_runner(log, lost=None):
    async def check():
        return None

    return CellRunner(
        log=log,
        calls=NoWorkers(),
        view=JobView(log),
        workers=WorkerView(log, "workers", lambda key, value: None),
        terms=TERMS,
        operator=OperatorView(log, "operator", lambda key, value: None),
        report_fenced=lambda reason: lost is not None and lost.append(reason),
        check_ownership=check,
        ask_members=ask_nobody,
    )


async def accept(log, *records):
    entries = [Entry(build_key(record), encode_record(record)) for record in records]
    await log.append(JOB_TOPIC, entries)


def read_states(log):
    states = {}
    for entry in log.topics[PROGRESS_TOPIC]:
        if entry.key.startswith(HANDOVER_KEY):
            continue
        record = decode_record(entry.key, entry.value)
        states[record.job] = record.state.value
    return states


def cancel(runner, *jobs):
    for job in jobs:
        runner.cell.cancel_job(job, now=0.0)


def test_concurrent_flushes_are_both_logged():
    async def scenario():
        log = MemoryKeyedLog()
        runner = make_runner(log)
        await accept(log, make_job("a"), make_job("b"))
        await runner.take_over(Epoch(1))
        log.append_delay = 0.02
        cancel(runner, "a")
        first = asyncio.create_task(runner.flush())
        await asyncio.sleep(0.005)
        cancel(runner, "b")
        await runner.flush()
        await first
        runner.stop("test")
        return read_states(log)

    assert asyncio.run(scenario()) == {"a": "cancelled", "b": "cancelled"}


def test_a_flush_is_logged_once_although_its_answer_was_lost():
    async def scenario():
        log, lost = MemoryKeyedLog(), []
        runner = make_runner(log, lost)
        await accept(log, make_job("a"))
        await runner.take_over(Epoch(1))
        log.append_faults = ["lose", "refuse"]
        cancel(runner, "a")
        await runner.flush()
        runner.stop("test")
        return log.topics[PROGRESS_TOPIC], lost

    records, lost = asyncio.run(scenario())
    assert len(records) == 1
    assert lost == []


def test_a_fenced_owner_writes_nothing_and_reports_it():
    async def scenario():
        log, lost = MemoryKeyedLog(), []
        runner = make_runner(log, lost)
        await accept(log, make_job("a"))
        await runner.take_over(Epoch(1))
        await log.append(PROGRESS_TOPIC, [], fence=Fence(Epoch(2), 0))
        cancel(runner, "a")
        await runner.flush()
        runner.stop("test")
        return log.topics[PROGRESS_TOPIC], lost

    records, lost = asyncio.run(scenario())
    assert records == []
    assert lost


def test_an_owner_loads_all_jobs_before_it_acts():
    async def scenario():
        log = MemoryKeyedLog()
        await accept(log, make_job("a"), make_job("b"))
        runner = make_runner(log)
        await runner.take_over(Epoch(3))
        jobs = set(runner.cell.jobs)
        runner.stop("test")
        return jobs

    assert asyncio.run(scenario()) == {"a", "b"}


def test_a_job_that_cannot_be_opened_stops_no_takeover_and_no_other_job():
    broken = make_step(depends_on=(7,))

    async def scenario():
        log = MemoryKeyedLog()
        await accept(log, make_job("a"), make_job("b", broken), make_job("c"))
        runner = make_runner(log)
        await runner.take_over(Epoch(3))
        await accept(log, make_job("d", broken), make_job("e"))
        await runner.view.job_tail.catch_up()
        runner._apply_new_records(runner.cell)
        jobs = set(runner.cell.jobs)
        runner.stop("test")
        return jobs

    assert asyncio.run(scenario()) == {"a", "c", "e"}


# a stopping owner waited for the log without a bound, and SIGKILL cut its callers off
def test_an_owner_that_stops_does_not_wait_for_a_silent_log():
    async def scenario():
        log = MemoryKeyedLog()
        runner = make_runner(log)
        await accept(log, make_job("a"))
        await runner.take_over(Epoch(1))
        cancel(runner, "a")
        log.append_faults = ["refuse"] * 10_000
        left = []

        class Ownership:
            async def leave(self):
                left.append(True)
                await asyncio.sleep(60.0)

        started = time.monotonic()
        await hand_over(runner, Ownership())
        runner.stop("test")
        return time.monotonic() - started, left

    seconds, left = asyncio.run(asyncio.wait_for(scenario(), 10.0))
    assert seconds < DRAIN_SECONDS + 0.5
    assert left == [True]


# the flush's ends were acknowledged with the next one, though nothing was logged
def test_a_flush_cut_short_by_a_stop_acknowledges_no_end():
    async def scenario():
        log = MemoryKeyedLog()
        runner = make_runner(log)
        await accept(log, make_job("a"), make_job("b"))
        await runner.take_over(Epoch(1))
        cell = runner.cell
        cell.update_workers([make_entry("w1")], now=0.0)
        worker = cell.workers["w1"]

        class Ownership:
            async def leave(self):
                log.append_faults = []
                end_task(cell, worker, "b", sequence=2)
                await asyncio.sleep(0.5)

        await runner.flush()
        log.append_faults = ["refuse"] * 1000
        end_task(cell, worker, "a", sequence=1)
        await hand_over(runner, Ownership())
        runner.stop("test")
        return worker.acknowledged, read_states(log)

    assert asyncio.run(scenario()) == (0, {})


def end_task(cell, worker, job, *, sequence):
    """Let a worker report that a job's only task is done."""
    task = cell.jobs[job].occurrences[0][0].tasks[0]
    bind_attempt(Attempt(task, 1, worker, AttemptPhase.RUNNING, 0.0, 0.0))
    end = EndedAttempt(sequence, task.key, 1, EndCause.DONE, "")
    report = WorkerReport(clock=0.0, incarnation=1, running=(), ended=(end,))
    cell.handle_report(worker, report, sent=0.0, now=0.0)


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_decisions_know_how_old_the_newest_confirmation_is(is_confirmed):
    async def scenario():
        runner = make_runner(MemoryKeyedLog())
        await runner.take_over(Epoch(1))

        async def check():
            return is_confirmed

        runner.confirmation.check_ownership = check
        await asyncio.sleep(1.2)
        age = time.monotonic() - runner.cell.confirmed_at
        runner.stop("test")
        return age

    assert (asyncio.run(scenario()) < 0.8) is is_confirmed


def test_an_owner_stopped_during_its_takeover_never_acts():
    async def scenario():
        log = MemoryKeyedLog()
        runner = make_runner(log)
        log.append_delay = 0.02
        takeover = asyncio.create_task(runner.take_over(Epoch(1)))
        await asyncio.sleep(0.005)
        runner.stop("leaving")
        await takeover
        return runner.cell

    assert asyncio.run(scenario()) is None


class LossyWorkers:
    """A fake worker that answers every renewal but the second."""

    def __init__(self):
        self.renewed_at = []
        self.waits = []

    async def renew(self, entry, renewal):
        self.renewed_at.append(asyncio.get_running_loop().time())
        self.waits.append(renewal.wait)
        if len(self.renewed_at) == 2:
            return OrderResponse(outcome=OrderOutcome.UNKNOWN)
        await asyncio.sleep(min(0.02, renewal.wait))
        return WorkerReport(clock=1.0, incarnation=1, running=(), ended=())

    def close_connections(self, entry):
        pass


def test_the_first_lost_renewal_is_retried_at_once():
    async def scenario():
        log = MemoryKeyedLog()
        runner = make_runner(log)
        runner.calls = calls = LossyWorkers()
        runner.workers = WorkerView(log, "workers", lambda key, value: make_entry(key))
        await log.append("workers", [Entry("w1", b"here")])
        await runner.take_over(Epoch(1))
        while len(calls.renewed_at) < 4:
            await asyncio.sleep(0.01)
        runner.stop("test")
        return calls

    calls = asyncio.run(scenario())
    assert calls.renewed_at[2] - calls.renewed_at[1] < 0.1
    assert calls.waits[2] == 0


class FailingForOne:
    """Calls to workers of which one, "bad", raises an error in each of the calls named.

    Renewals of it have an answer that can't be handled where ``answers`` is true.
    """

    def __init__(self, failing, *, answers=False):
        self.failing = failing
        self.answers = answers
        self.started = []

    async def renew(self, entry, renewal):
        await asyncio.sleep(0.01)
        if entry.worker == "bad" and "renew" in self.failing:
            if self.answers:
                return WorkerReport(clock="x", incarnation=1, running=(), ended=("x",))
            raise UnicodeEncodeError("latin-1", "\ufffd", 0, 1, "a foreign key")
        return WorkerReport(clock=1.0, incarnation=1, running=(), ended=())

    async def start(self, entry, order):
        if entry.worker == "bad":
            raise OverflowError("an impossible port")
        self.started.append(order.task.job)
        return OrderResponse(outcome=OrderOutcome.ACCEPTED)

    async def stop(self, entry, order):
        return OrderResponse(outcome=OrderOutcome.ACCEPTED)

    def close_connections(self, entry):
        pass


# one worker that couldn't be called ended the ownership, and so all scheduling
@pytest.mark.parametrize("answers", [False, True])
@pytest.mark.parametrize("failing", [("renew",), ("start",)])
def test_an_error_with_one_worker_leaves_the_others_at_work(failing, answers):
    async def scenario():
        log, lost = MemoryKeyedLog(), []
        runner = make_runner(log, lost)
        runner.calls = calls = FailingForOne(failing, answers=answers)
        runner.workers = WorkerView(log, "workers", lambda key, value: make_entry(key))
        await log.append("workers", [Entry("bad", b"x"), Entry("good", b"x")])
        jobs = [make_job(f"j{index}") for index in range(12)]
        await accept(log, *jobs)
        await runner.take_over(Epoch(1))
        while len(calls.started) < 4:
            await asyncio.sleep(0.01)
        runner.stop("test")
        return lost

    assert asyncio.run(asyncio.wait_for(scenario(), 5.0)) == []


def test_an_owner_gives_up_the_cell_when_a_loop_fails(monkeypatch):
    async def scenario():
        log, lost = MemoryKeyedLog(), []
        runner = make_runner(log, lost)

        def fail(*args, **kwargs):
            raise RuntimeError("a programming error")

        monkeypatch.setattr(Renewals, "list_new", fail)
        await runner.take_over(Epoch(1))
        await asyncio.sleep(0.05)
        runner.stop("test")
        return lost

    assert asyncio.run(scenario()) == ["a loop ended by an error"]


def test_an_earlier_owner_opens_no_job_logged_after_a_takeover():
    async def scenario():
        log, lost = MemoryKeyedLog(), []
        old, new = make_runner(log, lost), make_runner(log)
        await old.take_over(Epoch(1))
        await accept(log, make_job("before"))
        await new.take_over(Epoch(2))
        await accept(log, make_job("after"))
        await asyncio.sleep(0.05)
        opened = set(old.cell.jobs)
        inherited = {name: job.inherited for name, job in new.cell.jobs.items()}
        old.stop("test")
        new.stop("test")
        return opened, inherited, lost

    opened, inherited, lost = asyncio.run(scenario())
    assert "after" not in opened
    assert inherited == {"before": True, "after": False}
    assert lost


def test_an_epoch_marker_that_is_older_or_malformed_is_ignored():
    async def scenario():
        log, lost = MemoryKeyedLog(), []
        runner = make_runner(log, lost)
        await runner.take_over(Epoch(3))
        for value in (encode_marker(EpochMarker(Epoch(2))), b"no mark"):
            await log.append(JOB_TOPIC, [Entry(EPOCH_KEY, value)])
        await accept(log, make_job("a"))
        await asyncio.sleep(0.05)
        opened = set(runner.cell.jobs)
        runner.stop("test")
        return opened, lost

    assert asyncio.run(scenario()) == ({"a"}, [])


class RecordedRounds:
    """Records the rounds of decisions and the checks of a runner.

    Parameters
    ----------
    round_seconds, check_seconds : float
        Seconds that each round blocks the process, and that each check waits.
    """

    def __init__(self, runner, *, round_seconds=0.0, check_seconds=0.0):
        self.events = []
        self.round_seconds = round_seconds
        self.check_seconds = check_seconds
        runner._decide_once = self._decide_once
        runner.confirmation.run = self._confirm_nothing
        runner.confirmation.check_ownership = self._check

    def _decide_once(self, cell):
        self.events.append("round")
        time.sleep(self.round_seconds)

    async def _check(self):
        self.events.append("check")
        await asyncio.sleep(self.check_seconds)

    async def _confirm_nothing(self, epoch, *, is_owner):
        pass

    async def wait_for(self, event):
        """Wait for the next event of this kind; return all events up to it."""
        self.events.clear()
        async with asyncio.timeout(3):
            while event not in self.events:
                await asyncio.sleep(0.005)
        return self.events[: self.events.index(event) + 1]


@pytest.mark.parametrize(("pause", "round_seconds"), [(0.3, 0.0), (0.0, 0.3)])
def test_a_slow_check_of_the_ownership_does_not_stop_the_decisions(
    monkeypatch, pause, round_seconds
):
    monkeypatch.setattr(cell_runner, "PROCESS_PAUSE_SECONDS", 0.2)

    async def scenario():
        runner = make_runner(MemoryKeyedLog())
        rounds = RecordedRounds(runner, round_seconds=round_seconds, check_seconds=0.25)
        await runner.take_over(Epoch(1))
        await rounds.wait_for("round")
        time.sleep(pause)
        await rounds.wait_for("check")
        for _ in range(3):
            await rounds.wait_for("round")
        runner.stop("test")

    asyncio.run(scenario())


@pytest.mark.parametrize(("pause", "round_seconds"), [(0.9, 0.0), (0.0, 0.9)])
def test_a_pause_leads_to_a_check_before_the_next_round(pause, round_seconds):
    async def scenario():
        runner = make_runner(MemoryKeyedLog())
        rounds = RecordedRounds(runner)
        await runner.take_over(Epoch(1))
        await rounds.wait_for("round")
        rounds.round_seconds = round_seconds
        if round_seconds:
            await rounds.wait_for("round")
        time.sleep(pause)
        events = await rounds.wait_for("round")
        runner.stop("test")
        return events

    assert asyncio.run(scenario()) == ["check", "round"]


def test_an_owner_replaced_during_a_pause_decides_nothing_more():
    async def scenario():
        runner = make_runner(MemoryKeyedLog())
        rounds = RecordedRounds(runner)

        async def check():
            runner.stop("replaced")

        runner.confirmation.check_ownership = check
        await runner.take_over(Epoch(1))
        await rounds.wait_for("round")
        rounds.events.clear()
        time.sleep(0.9)
        await asyncio.sleep(0.3)
        return rounds.events

    assert asyncio.run(scenario()) == []


def make_large_directory(log, workers):
    """Write entries of workers like those of a site of 12 workers a rack."""
    for index in range(workers):
        entry = make_entry(
            f"i-{index:010}",
            labels=("a", f"r1-{index // 12}"),
            address="10.99.99.99:80",
        )
        log.topics["workers"].append(Entry(entry.worker, msgspec.msgpack.encode(entry)))


def decode_worker(key, value):
    return msgspec.msgpack.decode(value, type=WorkerEntry)


def test_progress_is_logged_and_handed_over_on_a_site_of_any_size():
    async def scenario():
        log = MemoryKeyedLog()
        make_large_directory(log, 4000)
        runner = make_runner(log)
        runner.workers = WorkerView(log, "workers", decode_worker)
        runner.calls = IdleWorkers()
        await accept(log, make_job("a"))
        await runner.take_over(Epoch(1))
        known = runner.cell.workers.values()
        while not all(worker.reachable for worker in known):
            await asyncio.sleep(0.01)
        cancel(runner, "a")
        async with asyncio.timeout(2.0):
            while not all(each.handover is HandoverMark.OPEN for each in known):
                await asyncio.sleep(0.01)
            await runner.flush()
        return await read_successor(runner)

    assert asyncio.run(scenario()) == ("cancelled", 4000)


async def read_successor(runner):
    """Return what the log tells the next owner: the job's state, a count of workers."""
    runner.stop("test")
    successor = JobView(runner.log)
    await successor.progress_tail.catch_up()
    row = successor.table.rows.get("a")
    return row and row.state.value, len(successor.handover.workers)


# the handover copied such entries; past the log's limit no progress was logged any more
@pytest.mark.parametrize(
    ("count", "labels"), [(2, 3500), (600, 2)], ids=["large", "many"]
)
def test_entries_of_another_writer_hold_up_no_progress(count, labels):
    async def scenario():
        log = MemoryKeyedLog()
        entry = make_entry("", labels=("x" * 50,) * labels)
        for index in range(count):
            odd = msgspec.structs.replace(entry, worker=f"odd{index}")
            log.topics["workers"].append(Entry(odd.worker, msgspec.msgpack.encode(odd)))
        runner = make_runner(log)
        runner.workers = WorkerView(log, "workers", decode_worker)
        runner.calls = SilentWorkers()
        await accept(log, make_job("a"))
        await runner.take_over(Epoch(1))
        cancel(runner, "a")
        with suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await runner.flush()
        return await read_successor(runner)

    assert asyncio.run(scenario()) == ("cancelled", 0)


@settings(max_examples=30)
@given(
    st.lists(st.tuples(st.integers(1, 120), st.integers(0, 60)), max_size=40),
    st.integers(600, 3000),
)
def test_no_record_of_a_handover_is_too_large_whatever_its_entries(sizes, bytes_max):
    workers = tuple(
        make_entry(f"w{index}-" + "x" * name, labels=("y",) * labels)
        for index, (name, labels) in enumerate(sizes)
    )
    silent = tuple(SilentWorker(entry.worker, ()) for entry in workers)
    handover = Handover(workers=workers, silent=silent)
    records = encode_handover(handover, record_bytes_max=bytes_max)
    assert max(map(len, records.values())) <= bytes_max
    known = HandoverRecords()
    for key, value in records.items():
        known.apply(key, value)
    assert sorted(known.combine().workers, key=repr) == sorted(workers, key=repr)


def make_progress(job, tasks, checkpoint, done=b""):
    rows = {index: TaskProgress(1, checkpoint=checkpoint) for index in range(tasks)}
    return Progress(
        job=JobId(job),
        queue=QueueName("q"),
        state=JobState.RUNNING,
        occurrences={0: OccurrenceProgress((StepProgress(done, rows),))},
    )


@pytest.mark.parametrize(
    ("tasks", "done", "logged"),
    [
        (50, b"", ["pbig", "psmall"]),
        (500, b"", ["pbig", "psmall"]),
        (500, Random(1).randbytes(1000), ["psmall"]),
    ],
    ids=["without checkpoints", "summary", "left out"],
)
def test_progress_that_is_too_large_holds_up_no_other(tasks, done, logged):
    async def scenario():
        log = MemoryKeyedLog()
        log.record_bytes_max = log.append_bytes_max = 1000
        progress = ProgressLog(log)
        await progress.begin_epoch(Epoch(1))
        big = make_progress("big", tasks, "x" * 100, done)
        small = make_progress("small", 1, "x")
        flush = Flush((big, small), ())
        await progress.write_flush(flush, is_owner=lambda: True)
        return [entry.key for entry in log.topics[PROGRESS_TOPIC]]

    assert asyncio.run(scenario()) == logged


class RefusingLog(MemoryKeyedLog):
    """A log that refuses some keys as too large; it notes the keys of each append."""

    def __init__(self, *refused):
        super().__init__()
        self.refused = set(refused)
        self.attempts = []

    async def append(self, topic, entries, **options):
        keys = [entry.key for entry in entries]
        if topic == PROGRESS_TOPIC:
            self.attempts.append(keys)
            if self.refused.intersection(keys):
                raise TooLargeError("status 413", step="log.append")
        return await super().append(topic, entries, **options)


def test_a_refused_record_holds_up_no_other_and_is_not_sent_again():
    async def scenario():
        log = RefusingLog("pb", "handover")
        progress = ProgressLog(log)
        await progress.begin_epoch(Epoch(1))
        records = tuple(make_progress(job, 1, "x") for job in "abcd")
        handover = Handover(workers=(make_entry("w1"),))
        flush = Flush(records, (("w1", 1, 5),), handover)
        logged = await progress.write_flush(flush, is_owner=lambda: True)
        again = Flush((), (("w1", 1, 5),), handover)
        sent = len(log.attempts)
        repeated = await progress.write_flush(again, is_owner=lambda: True)
        return log, logged, repeated, len(log.attempts) - sent

    log, logged, repeated, sent_again = asyncio.run(scenario())
    assert [entry.key for entry in log.topics[PROGRESS_TOPIC]] == ["pa", "pc", "pd"]
    assert [each.job for each in logged.progress] == ["a", "c", "d"]
    assert (logged.handover, logged.ends) == (None, ())
    assert (repeated.handover, repeated.ends) == (None, (("w1", 1, 5),))
    assert sent_again == 0


# its ends were acknowledged, so that a new owner ran its tasks again
def test_ends_wait_for_the_end_of_a_job_whose_progress_is_refused():
    async def scenario():
        log = RefusingLog("pa")
        runner = make_runner(log)
        await accept(log, make_job("a", make_step(count=2)), make_job("b"))
        await runner.take_over(Epoch(1))
        cell = runner.cell
        cell.update_workers([make_entry("w1")], now=0.0)
        worker = cell.workers["w1"]
        for sequence, (job, index) in enumerate((("b", 0), ("a", 0)), start=1):
            task = cell.jobs[JobId(job)].occurrences[0][0].tasks[index]
            bind_attempt(Attempt(task, 1, worker, AttemptPhase.RUNNING, 0.0, 0.0))
            end = EndedAttempt(sequence, task.key, 1, EndCause.DONE, "")
            report = WorkerReport(clock=0.0, incarnation=1, running=(), ended=(end,))
            cell.handle_report(worker, report, sent=0.0, now=0.0)
        await runner.flush()
        before = worker.acknowledged, read_states(log)
        log.refused.clear()
        await runner.flush()
        runner.stop("test")
        return before, (worker.acknowledged, read_states(log))

    before, after = asyncio.run(scenario())
    assert before == (0, {"b": "completed"})
    assert after == (2, {"a": "failed", "b": "completed"})


def test_a_worker_gets_no_start_while_the_log_refuses_the_handover_that_names_it():
    site = SimulatedCell(make_entry("w1"))
    site.submit(make_job("a"))
    taken = 0
    for _ in range(40):
        site.log_up = False
        site.run(0.05)
        flush, site.pending_flush = site.pending_flush, None
        if flush is not None and flush.handover is not None:
            taken += 1
            logged = replace(flush, handover=None)
            site.cell.confirm_flush(logged)
            site.cell.handle_refusal(flush, logged, now=site.now)
    assert (site.count_starts(), taken) == (0, 1)
    site.log_up = True
    site.run(4)
    assert site.count_starts() == 1


def test_only_changed_records_of_a_large_handover_are_written_again():
    async def scenario():
        log = MemoryKeyedLog()
        progress = ProgressLog(log)
        await progress.begin_epoch(Epoch(1))
        workers = tuple(make_entry(f"w{index}") for index in range(3000))
        await progress.write_flush(
            Flush((), (), Handover(workers=workers)), is_owner=lambda: True
        )
        before = len(log.topics[PROGRESS_TOPIC])
        workers = (make_entry("w0", cores=4), *workers[1:])
        await progress.write_flush(
            Flush((), (), Handover(workers=workers)), is_owner=lambda: True
        )
        view = JobView(log)
        await view.progress_tail.catch_up()
        cores = {
            entry.capacity.millicores
            for entry in view.handover.workers
            if entry.worker == "w0"
        }
        return before, len(log.topics[PROGRESS_TOPIC]) - before, cores

    before, again, cores = asyncio.run(scenario())
    assert before > 4
    assert again == 1
    assert cores == {4000}


def test_records_of_a_larger_handover_are_not_read_with_a_smaller_one():
    async def scenario():
        log = MemoryKeyedLog()
        for epoch, count in enumerate((3000, 2), start=1):
            progress = ProgressLog(log)
            await progress.begin_epoch(Epoch(epoch))
            workers = tuple(make_entry(f"w{index}") for index in range(count))
            flush = Flush((), (), Handover(workers=workers))
            await progress.write_flush(flush, is_owner=lambda: True)
        view = JobView(log)
        await view.progress_tail.catch_up()
        return len(view.handover.workers)

    assert asyncio.run(scenario()) == 2


def test_a_worker_that_drains_is_known_although_many_others_wrote_before_it():
    async def scenario():
        log = MemoryKeyedLog()
        make_large_directory(log, 20)
        runner = make_runner(log)
        runner.workers = WorkerView(log, "workers", decode_worker)
        runner.calls = SilentWorkers()
        await runner.take_over(Epoch(1))
        make_large_directory(log, 20)
        leaving = make_entry("i-0000000007", state=WorkerState.DRAINING)
        value = msgspec.msgpack.encode(leaving)
        await log.append("workers", [Entry(leaving.worker, value)])
        log.read_size = 3
        await asyncio.sleep(1.5 * DIRECTORY_INTERVAL_SECONDS)
        state = runner.cell.workers[leaving.worker].entry.state
        runner.stop("test")
        return state

    assert asyncio.run(scenario()) is WorkerState.DRAINING


class CountingWorkers(SilentWorkers):
    """A fake of workers that run nothing and count the looks at them."""

    def __init__(self):
        self.looks = Counter()

    async def renew(self, entry, renewal):
        self.looks[entry.worker] += 1
        await asyncio.sleep(0.01)
        return WorkerReport(
            clock=time.monotonic(), incarnation=entry.incarnation, running=(), ended=()
        )

    async def start(self, entry, order):
        return OrderResponse(outcome=OrderOutcome.ACCEPTED)


class CountingSilence(SilentWorkers):
    """Workers none of which answers; notes the calls to them."""

    def __init__(self):
        self.calls = self.open = self.open_max = 0

    async def renew(self, entry, renewal):
        self.calls += 1
        self.open += 1
        self.open_max = max(self.open, self.open_max)
        await asyncio.sleep(0.001)
        self.open -= 1
        return OrderResponse(outcome=OrderOutcome.NOT_SENT)


@pytest.mark.parametrize(("count", "calls_max"), [(300, 20), (6, 22)])
def test_calls_to_workers_that_never_answered_are_limited_in_all(
    monkeypatch, count, calls_max
):
    monkeypatch.setattr(polling, "UNKNOWN_LOOKS_PER_SECOND_MAX", 20.0)

    async def scenario():
        log = MemoryKeyedLog()
        make_large_directory(log, count)
        runner = make_runner(log)
        runner.workers = WorkerView(log, "workers", decode_worker)
        runner.calls = silence = CountingSilence()
        await runner.take_over(Epoch(1))
        await asyncio.sleep(0.5)
        first = silence.calls
        await asyncio.sleep(1.0)
        runner.stop("test")
        return first, silence.calls - first, silence.open_max

    first, later, open_max = asyncio.run(scenario())
    assert first >= count
    assert open_max <= 100
    assert later <= calls_max
    assert count > 6 or later >= 12


def test_another_writers_entries_make_no_look_at_idle_workers_rarer():
    site = SimulatedCell(make_entry("w1"))
    site.run(0.5)
    site.submit(make_job("a"))
    entries = [make_entry(f"odd{index}") for index in range(3000)]
    site.cell.update_workers([make_entry("w1"), *entries], now=site.now)
    worker = site.cell.workers["w1"]
    assert site.cell.plan_pause(worker) == 0.0


def test_a_log_line_names_few_of_many_entries_at_one_address(caplog):
    caplog.set_level("INFO")
    site = SimulatedCell()
    entries = [make_entry(f"odd{index}", address="h:1") for index in range(50)]
    site.cell.update_workers(entries, now=0.0)
    named = [record.predecessors for record in caplog.records]
    assert max(map(len, named)) == 3
    assert list(named[-1]) == ["odd46", "odd47", "odd48"]


def test_an_idle_worker_of_a_large_site_is_looked_at_again_once_it_gets_an_order(
    monkeypatch,
):
    monkeypatch.setattr(polling, "IDLE_LOOKS_PER_SECOND_MAX", 0.1)

    async def scenario():
        log = MemoryKeyedLog()
        make_large_directory(log, 2)
        runner = make_runner(log)
        runner.workers = WorkerView(log, "workers", decode_worker)
        runner.calls = workers = CountingWorkers()
        await runner.take_over(Epoch(1))
        await asyncio.sleep(0.6)
        idle = Counter(workers.looks)
        await asyncio.sleep(0.3)
        assert workers.looks == idle
        await accept(log, make_job("a"))
        await asyncio.sleep(0.5)
        runner.stop("test")
        return workers.looks - idle

    busy = asyncio.run(scenario())
    assert len(busy) == 1
    assert busy.total() > 5
