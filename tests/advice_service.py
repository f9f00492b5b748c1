"""A simulated service that allows some workers to run a step, one call at a time."""

from dataclasses import dataclass, field

from plantainhinge.fleet.model import Advice


@dataclass
class AdviceService:
    """Answers the requests of a simulated cell while ``run`` advances it.

    Parameters
    ----------
    allowed : set of str
        Workers that it allows to run any step.
    decision_seconds, worker_seconds : float
        Duration of a call, and what each worker named adds to it.
    valid_seconds : float
        How long tickets are valid.
    calls : list of tuple of str
        Workers named in each call.
    """

    site: object
    allowed: set
    decision_seconds: float = 0.05
    worker_seconds: float = 0.005
    valid_seconds: float = 3.0
    calls: list = field(default_factory=list)
    _open: tuple | None = None

    def run_until(self, condition, *, limit):
        """Advance until a condition holds; return the seconds that it took."""
        began = self.site.now
        while not condition():
            assert self.site.now < began + limit, "the condition was never met"
            self._serve()
            self.site.run(0.05)
        return self.site.now - began

    def _serve(self):
        cell, now = self.site.cell, self.site.now
        if self._open is not None:
            until, step, request = self._open
            if now < until:
                return
            good = [name for name in request.workers if name in self.allowed]
            tickets = tuple((name, f"{name}-{len(self.calls)}") for name in good)
            advice = Advice(tickets=tickets, valid_seconds=self.valid_seconds)
            cell.handle_advice(step, request, advice, now=now)
            self._open = None
        due = cell.find_advice_request(now=now, wall=now)
        if due is not None:
            _, request = due
            self.calls.append(request.workers)
            seconds = self.worker_seconds * len(request.workers)
            self._open = (now + self.decision_seconds + seconds, *due)
