"""Contract of ``PlatformLog`` for every implementation, also under faults."""

import socket
from contextlib import contextmanager

import pytest

from plantainhinge.adapters.http_pool import HttpPool
from plantainhinge.adapters.log_http import HttpLog
from plantainhinge.adapters.log_memory import ENTRY_BYTES_MAX, MemoryLog
from plantainhinge.core.errors import (
    RateLimitedError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.ids import Offset, StreamName
from standins.log import LogApplication
from standins.log_faults import FaultRule, FaultyLog, LogFault, LogLimits, LogOperation
from standins.wsgi import serve

STREAM = StreamName("config")
MANY_BYTES = 100_000
IP = "127.0.0.1"


class Clock:
    """A simulated clock that advances only by ``sleep``."""

    def __init__(self):
        self.now = 1000.0

    def read(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


@contextmanager
def open_memory():
    clock = Clock()
    log = FaultyLog(MemoryLog(), clock=clock.read, sleep=clock.sleep)
    yield log, log, clock


@contextmanager
def open_http():
    clock = Clock()
    application = LogApplication(MemoryLog())
    application.log = FaultyLog(MemoryLog(), clock=clock.read, sleep=clock.sleep)
    with serve(application, IP, 0, 4) as port:
        yield HttpLog(f"{IP}:{port}"), application.log, clock


@pytest.fixture(params=[open_memory, open_http], ids=["memory", "http"])
def opened(request):
    with request.param() as opened:
        yield opened


def read_all(log, start=0, max_bytes=MANY_BYTES):
    return log.read(STREAM, Offset(start), max_bytes)


def test_appends_are_read_back_in_order(opened):
    log, _, _ = opened
    assert [log.append(STREAM, data) for data in (b"a", b"\x00\xff")] == [0, 1]
    assert [entry.data for entry in read_all(log).entries] == [b"a", b"\x00\xff"]


def test_a_stream_never_written_is_empty(opened):
    page = read_all(opened[0])
    assert (page.entries, page.first, page.end) == ([], 0, 0)


def test_reading_past_the_end_reports_the_end(opened):
    log, _, _ = opened
    log.append(STREAM, b"a")
    page = read_all(log, 2**62)
    assert (page.entries, page.first, page.end) == ([], 0, 1)


def test_a_page_holds_at_least_one_entry_and_no_more_than_asked(opened):
    log, _, _ = opened
    for _ in range(5):
        log.append(STREAM, b"x" * 100)
    assert len(read_all(log, max_bytes=1).entries) == 1
    assert len(read_all(log, max_bytes=250).entries) == 2
    assert read_all(log, 4).entries[0].offset == 4


def test_a_trimmed_offset_is_an_error_that_names_the_oldest(opened):
    log, faulty, _ = opened
    for _ in range(3):
        log.append(STREAM, b"a")
    faulty.log.trim(STREAM, Offset(2))
    with pytest.raises(TrimmedError) as caught:
        read_all(log)
    assert caught.value.first == 2
    assert read_all(log, 2).first == 2
    assert log.append(STREAM, b"b") == 3


def test_retention_deletes_old_entries_and_no_others(opened):
    log, faulty, clock = opened
    faulty.limits = LogLimits(retention_seconds=60.0)
    log.append(STREAM, b"old")
    clock.sleep(59.0)
    log.append(STREAM, b"new")
    clock.sleep(2.0)
    with pytest.raises(TrimmedError):
        read_all(log)
    assert [entry.data for entry in read_all(log, 1).entries] == [b"new"]


def test_the_rate_limit_refuses_and_reports_when_to_retry(opened):
    log, faulty, clock = opened
    faulty.limits = LogLimits(appends_per_second=2)
    log.append(STREAM, b"a")
    clock.sleep(0.25)
    log.append(STREAM, b"b")
    with pytest.raises(RateLimitedError) as caught:
        log.append(STREAM, b"c")
    assert caught.value.retry_after == pytest.approx(0.75)
    clock.sleep(0.8)
    assert log.append(STREAM, b"c") == 2


def test_an_entry_too_large_is_refused(opened):
    log, _, _ = opened
    with pytest.raises(TooLargeError):
        log.append(STREAM, b"x" * (ENTRY_BYTES_MAX + 1))
    assert read_all(log).end == 0


@pytest.mark.parametrize(
    ("fault", "error", "kept"),
    [
        (LogFault.REFUSE, UnavailableError, 0),
        (LogFault.LOSE_CALL, UncertainError, 0),
        (LogFault.LOSE_RESPONSE, UncertainError, 1),
    ],
)
def test_the_error_of_an_append_shows_whether_it_may_have_had_effect(
    opened, fault, error, kept
):
    log, faulty, _ = opened
    faulty.faults = [FaultRule(fault=fault, operation=LogOperation.APPEND, calls=1)]
    with pytest.raises(error):
        log.append(STREAM, b"a")
    assert read_all(log).end == kept
    log.append(STREAM, b"b")


def test_a_fault_affects_only_the_calls_it_names(opened):
    log, faulty, clock = opened
    faulty.faults = [
        FaultRule(fault=LogFault.REFUSE, stream=StreamName("other")),
        FaultRule(fault=LogFault.DELAY, operation=LogOperation.READ, seconds=9.0),
    ]
    log.append(STREAM, b"a")
    assert clock.now == 1000.0
    assert read_all(log).end == 1
    assert clock.now == 1009.0


def test_a_stale_read_misses_the_newest_entries(opened):
    log, faulty, _ = opened
    for _ in range(3):
        log.append(STREAM, b"a")
    faulty.faults = [FaultRule(fault=LogFault.READ_BEHIND, entries=2, calls=1)]
    assert read_all(log).end == 1
    assert read_all(log).end == 3


def test_no_connection_means_no_effect():
    with socket.create_server((IP, 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(UnavailableError):
        HttpLog(f"{IP}:{port}").append(STREAM, b"a")


def test_the_stand_in_is_configured_over_http():
    with open_http() as (log, faulty, _):
        pool = HttpPool()
        for path, body in (
            ("/faults", b'[{"fault":"refuse","operation":"append","calls":1}]'),
            ("/limits", b'{"appends_per_second":7}'),
            ("/trim/config?first=1", b""),
        ):
            answer = pool.exchange(
                log.address, "PUT", path, step="control", timeout=2.0, body=body
            )
            assert answer.status == 200
        with pytest.raises(UnavailableError):
            log.append(STREAM, b"a")
        assert faulty.limits.appends_per_second == 7
