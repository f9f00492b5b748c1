"""Policies in real schedulers: quotas, urgency, poison jobs, interference, drain."""

from collections import Counter

from msgspec.structs import replace

from plantainhinge.core.resources import Resources
from plantainhinge.core.states import AttemptOutcome, TaskState
from plantainhinge.placement.drain import DrainLimits
from tests.harness import run_site

GRACE_SECONDS = DrainLimits().grace_seconds
URGENT_SECONDS = 5.0


def declare(*, quota=1000, replicas=0):
    job = {"team": "t", "task_class": "batch"}
    task = {"processors": 4, "memory_gib": 1}
    return {
        "teams": {"t": {"quota": {"processors": quota, "memory_gib": 1000}}},
        "services": {"s": {"team": "t", "replicas": replicas, "task": task}},
        "kinds": {
            "small": {**job, "task": task},
            "urgent": {**job, "task": task, "urgent": True},
            "other": {**job, "task": task},
        },
    }


def find_ledger(site):
    return site.find_owner("ledger.0").scheduler.ledgers[0]


def find_cell(site, domain):
    return site.find_owner(f"cell.{domain}").scheduler.cells[domain]


def count_running(site):
    return Counter(w.domain for w in site.workers.values() for _ in w.list_running())


def list_events(site, name):
    processes = site.processes.values()
    return [e for p in processes for e in p.node.events.select("") if e.name == name]


def test_a_team_never_exceeds_its_quota_and_sees_the_reason():
    with run_site(declared=declare(quota=12)) as site:
        for number in range(8):
            site.submit(f"j{number}", run_seconds=6.0)
        most, waits = 0, set()
        for _ in range(40):
            site.advance(0.5)
            most = max(most, sum(count_running(site).values()))
            if most == 3:
                waits.update(site.query(f"j{n}").waits_for for n in range(8))
        assert most == 3
        assert "quota of its team" in waits
        assert waits <= {"", "its turn", "quota of its team"}
        site.await_state(lambda: site.is_final(*site.jobs))


def test_a_job_larger_than_its_teams_quota_is_rejected_at_once():
    with run_site(declared=declare(quota=3)) as site:
        site.submit("j")
        site.await_state(lambda: site.is_final("j"), limit=10.0)
        assert "the quota of team 't'" in site.query("j").reason


def test_urgent_work_starts_on_a_full_site_and_the_preempted_job_resumes():
    with run_site(declared=declare()) as site:
        for number in range(8):
            site.submit(f"j{number}", run_seconds=30.0)
        site.await_state(lambda: sum(count_running(site).values()) == 8)
        site.advance(3.0)
        submitted = site.now
        site.submit("u", kind="urgent", run_seconds=2.0)
        site.await_state(lambda: ("u", 1) in site.starts, limit=URGENT_SECONDS)
        assert site.starts["u", 1][1] - submitted <= URGENT_SECONDS
        site.await_state(lambda: site.is_final(*site.jobs))
        evicted = [r for r, e in site.ends.items() if e[0] is AttemptOutcome.EVICTED]
        assert len(evicted) == 1
        assert {site.query(t).state for t in site.jobs} == {TaskState.FINISHED}


def test_a_worker_that_fails_every_start_is_quarantined_and_others_finish():
    with run_site(workers_per_domain=4, declared=declare()) as site:
        site.failing.add("d1-w0")
        for number in range(30):
            site.submit(f"j{number}", run_seconds=20.0)
        site.await_state(lambda: site.is_final(*site.jobs), limit=300.0)
        assert {site.query(t).state for t in site.jobs} == {TaskState.FINISHED}
        quarantined = find_cell(site, "d1").learning.tables.health.quarantined
        assert set(quarantined) == {"d1-w0"}


def test_a_job_that_fails_everywhere_is_final_and_quarantines_no_worker():
    with run_site(workers_per_domain=4, declared=declare()) as site:
        site.submit("bad", run_seconds=60.0)
        failed = set()
        for _ in range(200):
            site.advance(0.5)
            for worker in site.workers.values():
                for task, attempt in worker.list_running():
                    if task == "bad":
                        failed.add(worker.name)
                        worker._end(
                            (task, attempt), AttemptOutcome.FAILED, worker._clock()
                        )
            if site.is_final("bad"):
                break
        assert site.query("bad").state is TaskState.FAILED
        assert "failed on 3 workers" in site.query("bad").reason
        assert len(failed) == 3
        for domain in site.domains:
            health = find_cell(site, domain).learning.tables.health
            assert health.quarantined == {}


def make_noisy(worker, slowdown):
    """Make a worker report that its services are slowed down."""
    describe = worker._build_report

    def describe_slow(ref):
        usage = Resources(3000, 512)
        return replace(describe(ref), usage=usage, slowdown=slowdown, usage_age=1.0)

    worker._build_report = describe_slow


def test_interference_is_throttled_before_an_eviction():
    with run_site(domains={"d1": "in"}, declared=declare(replicas=1)) as site:
        for worker in site.workers.values():
            make_noisy(worker, 5.0)
        for number in range(3):
            site.submit(f"j{number}", run_seconds=900.0)
        site.await_state(lambda: list_events(site, "attempt.evicting"), limit=300.0)
        throttled = list_events(site, "attempt.throttling")
        assert throttled
        evicted = list_events(site, "attempt.evicting")[0].subject
        limits = {e.subject: e.detail["millicores"] for e in throttled}
        assert limits[evicted] == "1000"


def test_a_new_owner_learns_the_limits_from_the_workers():
    with run_site(domains={"d1": "in"}, declared=declare(replicas=1)) as site:
        for worker in site.workers.values():
            make_noisy(worker, 5.0)
        for task in ("j", "k", "l"):
            site.submit(task, run_seconds=900.0)
        site.await_state(lambda: list_events(site, "attempt.throttling"))
        throttled = list_events(site, "attempt.throttling")[-1]
        for worker in site.workers.values():
            make_noisy(worker, 1.9)
        site.advance(2.0)
        before = site.find_owner("cell.d1").name
        site.kill(before)
        site.await_state(lambda: site.find_owner("cell.d1") is not None)
        site.advance(3.0)
        progress = find_cell(site, "d1").learning.tables.progress
        limit = progress.get_limit(throttled.subject, 4000)
        assert str(limit) == throttled.detail["millicores"]


def test_replacements_start_before_the_replicas_of_a_leaving_domain_stop():
    with run_site(workers_per_domain=2, declared=declare(replicas=2)) as site:
        site.await_state(lambda: sum(count_running(site).values()) == 2)
        assert count_running(site) == {"d1": 1, "d2": 1}
        site.advance(3.0)
        site.set_domain("d1", "out")
        least, out_for = 2, 0.0
        while count_running(site)["d1"] and out_for < 2 * GRACE_SECONDS:
            site.advance(0.25)
            out_for += 0.25
            least = min(least, sum(count_running(site).values()))
        assert least == 2
        assert count_running(site) == {"d2": 2}
        site.advance(5.0)
        assert count_running(site) == {"d2": 2}


def test_a_leaving_domain_moves_what_fits_and_is_empty_after_the_grace_period():
    with run_site(declared=declare()) as site:
        for number in range(6):
            site.submit(f"j{number}", run_seconds=60.0)
        site.await_state(lambda: sum(count_running(site).values()) == 6)
        before = count_running(site)
        site.advance(3.0)
        site.set_domain("d1", "out")
        site.advance(8.0)
        running = count_running(site)
        assert running["d2"] == 4
        assert running["d1"] == before["d1"] - (4 - before["d2"])
        site.advance(GRACE_SECONDS)
        assert count_running(site) == {"d2": 4}
        site.await_state(lambda: site.is_final(*site.jobs), limit=400.0)
        assert {site.query(t).state for t in site.jobs} == {TaskState.FINISHED}
