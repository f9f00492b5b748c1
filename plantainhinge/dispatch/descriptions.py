"""Fields of log lines about workers and attempts."""

from .tables import Run, Worker


def describe_worker(worker: Worker) -> dict[str, object]:
    """Return a worker's fields for a log line."""
    return {
        "worker": worker.name,
        "worker_domain": worker.entry.domain,
        "born": worker.born,
    }


def describe_run(run: Run) -> dict[str, object]:
    """Return an attempt's fields for a log line."""
    return {
        "job": run.task.key.job,
        "task": ".".join(str(part) for part in run.task.key),
        "attempt": run.attempt,
        "worker": run.worker.name,
        "phase": run.phase.value,
        "tries": run.tries,
    }
