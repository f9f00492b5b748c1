"""Real processes beside a crowd of clients that don't behave.

Each process must live, stay within its memory and file descriptors, and answer an
ordinary request while the crowd stays. These tests run one at a time.
"""

import asyncio
import json
import os
import resource
from contextlib import contextmanager
from pathlib import Path

import pytest

from standins.crowds import open_crowd
from standins.demonstration import EXAMPLE
from standins.site import run_site as run_daemons, wait_until

from .platform_sites import make_jobs, run_site
from .sites import DOMAINS

pytestmark = [pytest.mark.processes, pytest.mark.crowd]

# settings of an instance, and bounds for it
MEMORY_MB = 80
FILES_MAX = 128
# of the gateway and the scheduler; the first is their budget by the developers' page
DAEMON_MEMORY_MB = 128
DAEMON_FILES_MAX = 256
PEER_FILES_RATIO = 0.75

LITTLE_MEMORY = {"memory_mb": MEMORY_MB}
FEW_FILES = {"files_max": FILES_MAX}


def read_peak_megabytes(pid):
    """Return the most memory that a process had at once, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) * 1024 / 1e6
    raise LookupError(f"process {pid} tells no peak")


def count_files(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


INSTANCE_CROWDS = [
    ("callers", "small-chunks", LITTLE_MEMORY),
    ("callers", "large-chunk", LITTLE_MEMORY),
    ("callers", "bodies-within-the-limit", LITTLE_MEMORY),
    ("callers", "announced-over-the-limit", LITTLE_MEMORY),
    ("callers", "sent-over-the-limit", LITTLE_MEMORY),
    ("callers", "header-value", LITTLE_MEMORY),
    ("callers", "header-name", LITTLE_MEMORY),
    ("callers", "trailer", LITTLE_MEMORY),
    ("callers", "many-headers", LITTLE_MEMORY),
    ("callers", "pipelined-bodies", LITTLE_MEMORY),
    ("callers", "many-steps", LITTLE_MEMORY),
    ("callers", "largest-jobs", LITTLE_MEMORY),
    ("callers", "many-tasks", LITTLE_MEMORY),
    ("control", "large-chunk", LITTLE_MEMORY),
    ("control", "forwarded-steps", LITTLE_MEMORY),
    ("ready", "header-value", LITTLE_MEMORY),
    ("callers", "silent", FEW_FILES),
    ("callers", "half-a-head", FEW_FILES),
    ("callers", "stalled-body", FEW_FILES),
    ("callers", "empty-lines", FEW_FILES),
    ("callers", "chunk-extension", FEW_FILES),
    ("control", "silent", FEW_FILES),
    ("ready", "silent", FEW_FILES),
]
DAEMON_CROWDS = [
    ("gateway", 8080, "silent", {"connections": 100}),
    ("gateway", 8080, "half-a-head", {"connections": 100}),
    ("gateway", 8080, "half-megabyte-bodies", {"connections": 300, "threads": 8}),
    ("gateway", 8080, "spooled-bodies", {"connections": 300, "threads": 8}),
    ("gateway", 7101, "endless-message", {}),
    ("scheduler", 7102, "endless-message", {}),
    ("gateway", 7101, "silent-peers", {}),
    ("scheduler", 7102, "silent-peers", {}),
]


def name_rows(rows):
    """Return the ids of parametrized rows, from the words in them."""
    return ["-".join(v for v in row if isinstance(v, str)) for row in rows]


@pytest.mark.parametrize(
    ("listener", "kind", "limits"), INSTANCE_CROWDS, ids=name_rows(INSTANCE_CROWDS)
)
def test_an_instance_bears_a_crowd(listener, kind, limits, tmp_path):
    async def scenario(site):
        process = site.instances["i0"]
        address = site.settings["i0"][f"{listener}_address"]
        (job,) = make_jobs(1)
        async with open_crowd(kind, address):
            await site.submit(job, seconds=0.1)
            state = await site.read_state(job)
            files = count_files(process.pid)
        assert process.returncode is None
        assert state != "unknown"
        assert read_peak_megabytes(process.pid) <= MEMORY_MB
        assert files <= FILES_MAX or limits is not FEW_FILES

    run_site(tmp_path, scenario, workers=1, instances=1, limits=limits)


@contextmanager
def lower_file_limit(files):
    """Let processes that are started in the block open only so many files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextmanager
def open_daemons(**callers):
    """Run a gateway and a scheduler with few file descriptors."""
    site = run_daemons(instances=1, workers=2, domains=DOMAINS, callers=callers)
    with lower_file_limit(DAEMON_FILES_MAX):
        opened = site.__enter__()
    try:
        opened.apply(EXAMPLE)
        wait_until("a lookup is answered", lambda: is_lookup_answered(opened))
        yield opened
    finally:
        site.__exit__(None, None, None)


def is_lookup_answered(site):
    return site.call(0, "GET", "/formulas/1", kind="lookup").status == 200


def is_job_taken(site):
    body = json.dumps({"id": "audit-1", "kind": "audit", "run_seconds": 0.1}).encode()
    return site.call(0, "POST", "/jobs", body=body).status == 202


@pytest.mark.parametrize(
    ("daemon", "port", "kind", "callers"), DAEMON_CROWDS, ids=name_rows(DAEMON_CROWDS)
)
def test_a_daemon_bears_a_crowd(daemon, port, kind, callers):
    async def send(site, process):
        async with open_crowd(kind, f"{site.entries[0]}:{port}"):
            answered = await asyncio.to_thread(is_lookup_answered, site)
            answered = answered and await asyncio.to_thread(is_job_taken, site)
            files = count_files(process.pid)
        return files, answered

    with open_daemons(**callers) as site:
        process = site.processes[f"entry-1-{daemon}"]
        files, answered = asyncio.run(send(site, process))
        assert process.poll() is None
        assert answered
        assert read_peak_megabytes(process.pid) <= DAEMON_MEMORY_MB
        assert files <= PEER_FILES_RATIO * DAEMON_FILES_MAX
