"""OpenTelemetry metrics are exported under the names in ``core.metrics``."""

from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from plantainhinge.adapters.metrics_otel import open_metrics, open_reader
from plantainhinge.core.metrics import Counter, Distribution, Level, NullMetrics


def collect_names(reader):
    data = reader.get_metrics_data()
    scopes = data.resource_metrics[0].scope_metrics
    return {metric.name for scope in scopes for metric in scope.metrics}


def test_every_kind_of_measurement_reaches_the_reader():
    reader = InMemoryMetricReader()
    with open_reader(reader, {"instance": "entry-1"}) as metrics:
        metrics.count(Counter.EVICTIONS, reason="interference")
        metrics.observe(Distribution.REQUEST, 0.01, kind="lookup")
        metrics.set(Level.LEASES, 2)
        names = collect_names(reader)
    expected = {Counter.EVICTIONS, Distribution.REQUEST, Level.LEASES}
    assert names == {member.value for member in expected}


def test_nothing_is_exported_without_an_endpoint():
    with open_metrics("", {}) as metrics:
        assert isinstance(metrics, NullMetrics)
