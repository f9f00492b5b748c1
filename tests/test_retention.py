"""Finished jobs are deleted from the log after the retention time, open ones never."""

import asyncio

from plantainhinge.core.ids import Epoch, JobId
from plantainhinge.daemons.job_view import JOB_TOPIC, PROGRESS_TOPIC
from plantainhinge.jobs.records import Cancellation
from plantainhinge.jobs.retention import BATCH_JOBS_MAX, Retention
from plantainhinge.jobs.table import JobTable

from .keyed_log import MemoryKeyedLog
from .simulated_cell import make_job
from .test_cell_runner import accept, cancel, make_runner


def make_table(count):
    table = JobTable()
    for index in range(count):
        table.apply(make_job(f"j{index}"))
        table.apply(Cancellation(job=JobId(f"j{index}")))
    table.apply(make_job("open"))
    return table


def test_finished_job_is_kept_for_the_retention_time():
    table, retention = make_table(1), Retention(keep_seconds=300.0)
    assert retention.select_expired(table, now=0.0) == []
    assert retention.select_expired(table, now=299.0) == []
    assert retention.select_expired(table, now=301.0) == ["j0"]


def test_number_of_deletions_at_once_is_limited():
    table, retention = make_table(BATCH_JOBS_MAX + 5), Retention(keep_seconds=1.0)
    retention.select_expired(table, now=0.0)
    assert len(retention.select_expired(table, now=2.0)) == BATCH_JOBS_MAX


def test_deleted_jobs_are_missing_for_new_readers():
    async def scenario():
        log = MemoryKeyedLog()
        runner = make_runner(log)
        await accept(log, make_job("a"), make_job("b"))
        await runner.take_over(Epoch(1))
        cancel(runner, "a")
        await runner.flush()
        log.append_faults = ["", "lose"]
        await runner._delete_records(runner.cell, [JobId("a")])
        cancel(runner, "b")
        await runner.flush()
        runner.stop("test")
        keys = [
            entry.key
            for topic in (JOB_TOPIC, PROGRESS_TOPIC)
            for entry in (await log.read_newest(topic)).entries
        ]
        return keys, set(runner.view.table.rows)

    keys, rows = asyncio.run(scenario())
    assert keys == ["epoch", "jb", "pb"]
    assert rows == {"b"}
