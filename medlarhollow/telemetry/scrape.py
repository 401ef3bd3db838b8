"""Metrics in the text format of Prometheus."""

from prometheus_client import CollectorRegistry
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from .metrics import COUNTERS
from .metrics import DURATION_BOUNDS_S
from .metrics import GAUGES

__all__ = ["make_metrics_app", "render_metrics"]

_DURATION = "medlarhollow_request_duration_seconds"


def make_metrics_app(metrics):
    """Return the HTTP application that serves metrics.

    Parameters
    ----------
    metrics : MetricStore
        Metrics read at each request.

    Returns
    -------
    starlette.applications.Starlette
        Application that serves ``GET /metrics``.
    """

    async def serve_metrics(request):
        return Response(
            render_metrics(metrics), media_type=CONTENT_TYPE_LATEST
        )

    return Starlette(routes=[Route("/metrics", serve_metrics)])


def render_metrics(metrics):
    """Return metrics as text.

    Parameters
    ----------
    metrics : MetricStore
        Counters, histograms and gauges of the process.

    Returns
    -------
    bytes
        Metrics in the exposition format of Prometheus.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Collector of metric families for a Prometheus registry."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        for name, (metric_name, _, description, labels) in COUNTERS.items():
            family = CounterMetricFamily(
                _prometheus_name(metric_name), description, labels=labels
            )
            for values, number in self._metrics.counters[name].items():
                family.add_metric(values, number)
            yield family
        yield self._collect_durations()
        for name, read in self._metrics.gauges.items():
            yield _collect_gauge(_prometheus_name(GAUGES[name][0]), read())

    def _collect_durations(self):
        family = HistogramMetricFamily(
            _DURATION,
            "Time from the head of a request to the end of its answer.",
            labels=("service", "route"),
        )
        bounds = [*map(str, DURATION_BOUNDS_S), "+Inf"]
        for label_values, histogram in self._metrics.durations.items():
            cumulative = 0
            buckets = []
            for bound, number in zip(bounds, histogram.buckets, strict=True):
                cumulative += number
                buckets.append((bound, cumulative))
            family.add_metric(label_values, buckets, histogram.total_s)
        return family


def _collect_gauge(metric_name, value):
    if not isinstance(value, dict):
        return GaugeMetricFamily(metric_name, metric_name, value=value)
    family = GaugeMetricFamily(metric_name, metric_name, labels=("name",))
    for label, number in value.items():
        family.add_metric((label,), number)
    return family


def _prometheus_name(name):
    return name.replace(".", "_")
