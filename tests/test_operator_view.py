"""Tests of an instance's view of operator records."""

import asyncio
import logging

from plantainhinge.daemons.operator_view import OperatorView
from plantainhinge.fleet.operator import DomainClosure, SchedulingConfiguration
from plantainhinge.fleet.protocols import Entry

from .keyed_log import MemoryKeyedLog

TOPIC = "operator"


def decode(key, value):
    if key.startswith("close/"):
        return DomainClosure(key.removeprefix("close/"))
    if key == "config":
        return SchedulingConfiguration(
            revision=int(value), routes=(), body_bytes_max=100
        )
    return None


def read(*entries, trim=False):
    async def run():
        log = MemoryKeyedLog()
        view = OperatorView(log, TOPIC, decode)
        for entry in entries:
            await log.append(TOPIC, [entry])
            await view.tail.advance()
        if trim:
            await log.append(TOPIC, [Entry("close/a", b"")])
            log.trim(TOPIC)
            await view.tail.advance()
        return view

    return asyncio.run(run())


def test_a_domain_is_closed_until_its_closure_is_deleted():
    assert read(Entry("close/a", b"{}")).closed_domains == {"a"}
    assert read(Entry("close/a", b"{}"), Entry("close/a", b"")).closed_domains == set()


def test_a_closure_deleted_in_the_trimmed_part_is_dropped():
    assert read(Entry("close/a", b"{}"), trim=True).closed_domains == set()


def test_an_older_configuration_is_ignored():
    view = read(Entry("config", b"7"), Entry("config", b"5"))
    assert view.configuration.revision == 7


def test_the_log_line_keeps_the_closed_domain_apart_from_the_writers(caplog):
    with caplog.at_level(logging.INFO):
        read(Entry("close/a", b"{}"))
    (line,) = [r for r in caplog.records if r.message == "failure domain closed"]
    assert line.closed_domain == "a"
    assert not hasattr(line, "domain")
