"""What the members of a gang have in common: one run, one checkpoint, one end."""

import msgspec
from hypothesis import given, settings, strategies as st

from plantainhinge.fleet.model import EndCause, WorkerState

from .simulated_cell import (
    STEP_SECONDS,
    SimulatedCell,
    make_entry,
    make_job,
    make_step,
)
from .test_handovers import apply_event

WORKERS = ("w1", "w2", "w3", "w4", "w5")
SIZE = 3


def start_gang(**step):
    site = SimulatedCell(*(make_entry(name, cores=1) for name in WORKERS))
    site.run(0.5)
    changes = {"count": SIZE, "gang": True, "checkpoints": True, "estimate": 9.0}
    job = make_job("g", make_step(**(changes | step)))
    site.submit(job)
    site.run(0.2)
    return site, job


def list_carried(site):
    """Return the checkpoints that the orders of each run carried."""
    carried = {}
    for worker in site.workers.values():
        for order in worker.orders:
            run = (order.epoch, *order.task[:3], order.attempt)
            carried.setdefault(run, set()).add(order.checkpoint)
    return carried


def set_state(site, name, state):
    worker = site.workers[name]
    worker.entry = msgspec.structs.replace(worker.entry, state=state)
    site.update_workers()


def run_gangs(site, seconds):
    """Run a site on which a run breaks once one of its members has ended."""
    for _ in range(round(seconds / STEP_SECONDS)):
        site.run(STEP_SECONDS)
        rows = [row for worker in site.workers.values() for row in worker.ended]
        broken = {row.attempt for row in rows if row.cause is not EndCause.DONE}
        for worker in site.workers.values():
            for key in [key for key in worker.attempts if key[1] in broken]:
                worker._end(key, EndCause.BROKEN)


def interrupt(site):
    """Stop one member for a drain, so that the others end with what they had."""
    run_gangs(site, 3.4)
    name, *_ = site.list_running()[0]
    set_state(site, name, WorkerState.DRAINING)
    run_gangs(site, 0.1)


# a gang was restarted with a checkpoint for each member, and never worked again
def test_a_gang_resumes_from_one_checkpoint_after_a_drain():
    site, _ = start_gang()
    interrupt(site)
    site.run(1.0)
    carried = list_carried(site)
    assert [len(values) for values in carried.values()] == [1, 1]
    assert "" not in max(carried.items())[1]


def test_a_gang_resumes_from_one_checkpoint_under_a_new_owner():
    site, job = start_gang()
    interrupt(site)
    site.run(0.1)
    site.take_over([job])
    site.run(1.0)
    assert all(len(values) == 1 for values in list_carried(site).values())
    assert len(site.list_running()) == SIZE


EVENTS = ["silence", "answer", "drain", "take over", "log down", "log up", "lose"]


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(EVENTS),
            st.sampled_from(WORKERS),
            st.sampled_from([0.1, 0.4, 1.5, 4.0, 7.0]),
        ),
        max_size=14,
    )
)
def test_all_orders_of_one_run_of_a_gang_carry_one_checkpoint(events):
    site, job = start_gang()
    for event, name, seconds in events:
        worker = site.workers[name]
        if event == "drain":
            set_state(site, name, WorkerState.DRAINING)
        elif event == "lose":
            worker.answers_to_lose = 3
        else:
            apply_event(site, event, name, [job])
        run_gangs(site, seconds)
        if event == "drain":
            set_state(site, name, WorkerState.READY)
        assert all(len(values) == 1 for values in list_carried(site).values())
