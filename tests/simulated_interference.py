"""Tail latencies of simulated workers on which best-effort work slows serving down."""

TARGET = 0.045
IDLE_TAIL_LATENCY = 0.01
OWN_LOAD = 0.42
CORES = 16
# cores that a best-effort attempt uses at full speed
CORES_IN_USE = 2.0


def make_tail_latency(weights):
    """Return the latency of a queue whose load grows with each neighbour.

    ``weights`` holds the weight of each best-effort image; other attempts report the
    cores that they use.
    """

    def simulate_tail_latency(worker, attempt):
        if not attempt.serving:
            return CORES_IN_USE * attempt.speed_percent / 100
        load = OWN_LOAD
        for other in worker.attempts.values():
            if not other.serving:
                used = CORES_IN_USE * other.speed_percent / 100
                load += weights[other.image] * used / CORES
        return IDLE_TAIL_LATENCY / max(0.05, 1.0 - load)

    return simulate_tail_latency
