"""Random combinations of faults on real schedulers over fakes.

After the faults are healed, every job must reach a final state.
"""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from plantainhinge.adapters.peers_grpc import CANCEL
from plantainhinge.core.messages import CancelJob
from tests.harness import run_site

NAMES = ["a", "b", "c"]
WORKERS = ["d1-w0", "d1-w1", "d2-w0", "d2-w1"]
HEAL_SECONDS = 9000.0


class Interleavings(RuleBasedStateMachine):
    """``Site.check`` asserts the invariants of ``test_recovery`` after each tick."""

    @initialize()
    def begin(self):
        self.context = run_site()
        self.site = self.context.__enter__()
        self.count = 0

    @rule(run_seconds=st.sampled_from([1.0, 5.0, 30.0]))
    def submit(self, run_seconds):
        if self.site.find_owner("ledger.0") is not None:
            self.count += 1
            self.site.submit(f"j{self.count}", run_seconds=run_seconds)

    @rule(n=st.integers(1, 8))
    def cancel(self, n):
        if self.site.find_owner("ledger.0") is not None:
            self.site.ask(CANCEL, CancelJob(task=f"j{n}", team="t"))

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 3.0, 6.0, 25.0]))
    def advance(self, seconds):
        self.site.advance(seconds)

    @rule(name=st.sampled_from(NAMES))
    def toggle_pause(self, name):
        if name in self.site.processes:
            process = self.site.processes[name]
            process.paused = not process.paused

    @rule(name=st.sampled_from(NAMES))
    def toggle_process(self, name):
        if name in self.site.processes:
            self.site.kill(name)
        else:
            self.site.start_process(name)

    @rule(worker=st.sampled_from(WORKERS), name=st.sampled_from([None, *NAMES]))
    def toggle_connection(self, worker, name):
        self.site.cut ^= {(name, worker) if name else worker}

    @rule(worker=st.sampled_from(WORKERS))
    def restart_worker(self, worker):
        self.site.restart_worker(worker)

    @rule(domain=st.sampled_from(["d1", "d2"]))
    def toggle_domain(self, domain):
        state = "in" if self.site.domains[domain] == "out" else "out"
        self.site.set_domain(domain, state)

    @rule(name=st.sampled_from(NAMES))
    def toggle_log_connection(self, name):
        self.site.log_cut ^= {name}

    @rule(down=st.booleans(), lost=st.integers(0, 3), duplicate=st.booleans())
    def disturb_log(self, down, lost, duplicate):
        self.site.log.down = down
        self.site.log.lose_answers = lost
        self.site.log.duplicate = duplicate

    @rule()
    def hold_starts(self):
        self.site.hold_starts = not self.site.hold_starts

    @precondition(lambda self: self.site.held)
    @rule()
    def deliver_held(self):
        self.site.deliver_held()
        self.site.check()

    @precondition(lambda self: self.site.delivered)
    @rule(data=st.data())
    def deliver_again(self, data):
        calls = self.site.delivered[-200:]
        start = data.draw(st.integers(0, len(calls) - 1))
        self.site.deliver_again(calls[start : start + 5])

    def teardown(self):
        if not hasattr(self, "site"):
            return
        try:
            self._heal()
            self._await_ends()
        finally:
            self.context.__exit__(None, None, None)

    def _heal(self):
        site = self.site
        site.log.down, site.log.lose_answers = False, 0
        site.cut.clear()
        site.log_cut.clear()
        site.hold_starts = False
        for domain, state in site.domains.items():
            if state == "out":
                site.set_domain(domain, "in")
        for name in NAMES:
            if name not in site.processes:
                site.start_process(name)
            site.processes[name].paused = False

    def _await_ends(self):
        self.site.await_state(
            lambda: self.site.find_owner("ledger.0") is not None, HEAL_SECONDS
        )
        self.site.advance(5.0)
        state = self.site.find_owner("ledger.0").scheduler.ledgers[0].state
        self.site.await_state(lambda: self.site.is_final(*state.tasks), HEAL_SECONDS)


Interleavings.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestInterleavings = Interleavings.TestCase
