"""Metrics through OpenTelemetry, exported only if an endpoint is configured."""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource

from ..core.metrics import Counter, Distribution, Level, Metrics, NullMetrics

EXPORT_INTERVAL_MILLISECONDS = 10_000
SECONDS_UNIT = "s"


class OtelMetrics:
    """Metrics with one OpenTelemetry instrument per enum member in ``core.metrics``."""

    def __init__(self, meter: Meter) -> None:
        self._counters = {c: meter.create_counter(c.value) for c in Counter}
        self._distributions = {
            d: meter.create_histogram(d.value, unit=SECONDS_UNIT) for d in Distribution
        }
        self._levels = {level: meter.create_gauge(level.value) for level in Level}

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Add ``amount`` to a counter."""
        self._counters[counter].add(amount, attributes)

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Record one duration."""
        self._distributions[distribution].record(seconds, attributes)

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Set a gauge."""
        self._levels[level].set(value, attributes)


@contextmanager
def open_metrics(endpoint: str, attributes: dict[str, str]) -> Iterator[Metrics]:
    """Yield the process's metrics; the last export happens as the block ends.

    Parameters
    ----------
    endpoint : str
        URL of an OTLP collector; all measurements are discarded if it is empty.
    attributes : dict
        Resource attributes that identify this process.
    """
    if not endpoint:
        yield NullMetrics()
        return
    reader = PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_INTERVAL_MILLISECONDS,
    )
    with open_reader(reader, attributes) as metrics:
        yield metrics


@contextmanager
def open_reader(
    reader: MetricReader, attributes: dict[str, str]
) -> Iterator[OtelMetrics]:
    """Yield metrics that ``reader`` collects."""
    provider = MeterProvider([reader], resource=Resource(attributes))
    try:
        yield OtelMetrics(provider.get_meter("plantainhinge"))
    finally:
        provider.shutdown()
