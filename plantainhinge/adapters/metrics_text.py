"""Metrics kept in the process and served in the Prometheus text format.

OpenTelemetry's SDK costs an instance 20 MB of memory and half a second of start-up
time; the Prometheus client library costs a tenth of that.
"""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics import (
    Counter as TextCounter,
    Gauge as TextGauge,
    Histogram as TextHistogram,
)

from ..core.metrics import Counter, Distribution, Level

BUCKETS_SECONDS = (
    0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
)  # fmt: skip


class TextMetrics:
    """Metrics with one Prometheus instrument per enum member in ``core.metrics``.

    An instrument is created at its first use, which fixes its label names.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[Counter, TextCounter] = {}
        self._distributions: dict[Distribution, TextHistogram] = {}
        self._levels: dict[Level, TextGauge] = {}

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Add ``amount`` to a counter."""
        if counter not in self._counters:
            self._counters[counter] = TextCounter(
                _build_metric_name(counter.value),
                counter.__class__.__name__,
                sorted(attributes),
                registry=self._registry,
            )
        instrument = self._counters[counter]
        (instrument.labels(**attributes) if attributes else instrument).inc(amount)

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Record one duration."""
        if distribution not in self._distributions:
            self._distributions[distribution] = TextHistogram(
                _build_metric_name(distribution.value) + "_seconds",
                distribution.__class__.__name__,
                sorted(attributes),
                registry=self._registry,
                buckets=BUCKETS_SECONDS,
            )
        instrument = self._distributions[distribution]
        (instrument.labels(**attributes) if attributes else instrument).observe(seconds)

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Set a gauge."""
        if level not in self._levels:
            self._levels[level] = TextGauge(
                _build_metric_name(level.value),
                level.__class__.__name__,
                sorted(attributes),
                registry=self._registry,
            )
        instrument = self._levels[level]
        (instrument.labels(**attributes) if attributes else instrument).set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _build_metric_name(name: str) -> str:
    return name.replace(".", "_")
