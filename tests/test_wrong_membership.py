"""Entirely wrong membership views cost time but violate no guarantee.

``harness.Site.check`` asserts after each tick, by what runs on the workers, that no
task runs twice at the same time and no worker is committed beyond its capacity.
"""

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import Seconds
from plantainhinge.core.messages import Heartbeat
from plantainhinge.core.states import DaemonRole
from plantainhinge.membership.peers import PeerRow
from tests.harness import run_site
from tests.test_recovery import JOBS, await_finished, submit_all

STREAMS = ["ledger.0", "cell.d1", "cell.d2"]
NAMES = ["a", "b", "c", "z"]


def make_row(number, owned):
    """Return a row about a process that may not exist."""
    heartbeat = Heartbeat(
        process=f"{NAMES[number]}/scheduler/{number}",
        incarnation=10**15,
        role=DaemonRole.SCHEDULER,
        address=f"127.0.0.{1 + number}:7102",
        domain="d1",
        revision=0,
        ready=True,
        owned=dict.fromkeys(owned, 99),
    )
    return PeerRow(heartbeat, Seconds(0.0))


def mislead(process, rows):
    """Make a process hold these rows and ignore all heartbeats."""
    table = process.node.peer_table
    table.rows = {row.heartbeat.address: row for row in rows}
    table.record_heartbeat = lambda heartbeat, now: None
    table.record_no_answer = lambda address, now: None


def heal(process):
    """Let a process handle heartbeats of its peers again."""
    table = process.node.peer_table
    del table.record_heartbeat, table.record_no_answer
    table.rows = {}


ROWS = st.lists(
    st.builds(
        make_row, st.integers(0, 3), st.lists(st.sampled_from(STREAMS), max_size=3)
    ),
    max_size=4,
)


def run_with_wrong_views(views, *, kill):
    with run_site() as site:
        submit_all(site)
        site.advance(2.0)
        for process, rows in zip(list(site.processes.values()), views, strict=True):
            mislead(process, rows)
        site.advance(10.0)
        owner = site.find_owner("ledger.0")
        if kill and owner is not None:
            site.kill(owner.name)
            site.start_process(owner.name)
            mislead(site.processes[owner.name], views[0])
        site.advance(30.0)
        for process in site.processes.values():
            heal(process)
        await_finished(site, limit=400.0)
        assert len(site.starts) >= len(JOBS)


@pytest.mark.parametrize(
    "rows",
    [[], [make_row(3, STREAMS)], [make_row(n, STREAMS) for n in range(4)]],
    ids=["each is alone", "a phantom owns all", "all own all"],
)
@pytest.mark.parametrize("kill", [False, True])
def test_guarantees_hold_while_all_share_one_wrong_view(rows, kill):
    run_with_wrong_views([rows] * 3, kill=kill)


@settings(max_examples=10)
@given(st.tuples(ROWS, ROWS, ROWS), st.booleans())
def test_guarantees_hold_while_each_has_another_wrong_view(views, kill):
    run_with_wrong_views(views, kill=kill)
