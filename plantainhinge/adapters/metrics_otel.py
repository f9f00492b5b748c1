"""Measurements by OpenTelemetry, exported only if an endpoint is set."""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource

from ..core.metrics import Counter, Distribution, Level, Metrics, NullMetrics

EXPORT_PERIOD_MILLISECONDS = 10_000
SECONDS_UNIT = "s"


class OtelMetrics:
    """One instrument for each member of the enums in ``core.metrics``."""

    def __init__(self, meter: Meter) -> None:
        self._counters = {c: meter.create_counter(c.value) for c in Counter}
        self._distributions = {
            d: meter.create_histogram(d.value, unit=SECONDS_UNIT) for d in Distribution
        }
        self._levels = {level: meter.create_gauge(level.value) for level in Level}

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Add to a total."""
        self._counters[counter].add(amount, attributes)

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Add one duration."""
        self._distributions[distribution].record(seconds, attributes)

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Replace the newest value."""
        self._levels[level].set(value, attributes)


@contextmanager
def open_metrics(endpoint: str, attributes: dict[str, str]) -> Iterator[Metrics]:
    """Give a sink for measurements until the block ends.

    Parameters
    ----------
    endpoint : str
        URL of an OTLP collector; empty drops all measurements.
    attributes : dict
        What tells this process apart from others.
    """
    if not endpoint:
        yield NullMetrics()
        return
    reader = PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_PERIOD_MILLISECONDS,
    )
    with open_reader(reader, attributes) as metrics:
        yield metrics


@contextmanager
def open_reader(
    reader: MetricReader, attributes: dict[str, str]
) -> Iterator[OtelMetrics]:
    """Give a sink whose measurements ``reader`` collects."""
    provider = MeterProvider([reader], resource=Resource(attributes))
    try:
        yield OtelMetrics(provider.get_meter("plantainhinge"))
    finally:
        provider.shutdown()
