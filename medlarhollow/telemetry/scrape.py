"""Metrics as text, in the format of Prometheus."""

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

__all__ = ["make_metrics_app", "render"]

_DURATION = "medlarhollow_request_duration_seconds"


def make_metrics_app(metrics):
    """Return the HTTP application that serves metrics.

    Parameters
    ----------
    counts : MetricStore
        Read at each request.

    Returns
    -------
    starlette.applications.Starlette
        ``GET /metrics``.
    """

    async def serve_metrics(request):
        return Response(render(metrics), media_type=CONTENT_TYPE_LATEST)

    return Starlette(routes=[Route("/metrics", serve_metrics)])


def render(metrics):
    """Return counts as text.

    Parameters
    ----------
    counts : MetricStore
        Counters, histograms and gauges of the process.

    Returns
    -------
    bytes
        Exposition format of Prometheus.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Families of metrics made from counts, for a registry."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        for name, (full_name, _, text, labels) in COUNTERS.items():
            family = CounterMetricFamily(
                _underscored(full_name), text, labels=labels
            )
            for values, number in self._metrics.counters[name].items():
                family.add_metric(values, number)
            yield family
        yield self._collect_durations()
        for name, read in self._metrics.gauges.items():
            yield _collect_gauge(_underscored(GAUGES[name][0]), read())

    def _collect_durations(self):
        family = HistogramMetricFamily(
            _DURATION,
            "Time from the head of a request to the end of its answer.",
            labels=("service", "route"),
        )
        names = [*map(str, DURATION_BOUNDS_S), "+Inf"]
        for place, histogram in self._metrics.durations.items():
            total = 0
            buckets = []
            for bound, number in zip(names, histogram.buckets, strict=True):
                total += number
                buckets.append((bound, total))
            family.add_metric(place, buckets, histogram.total_s)
        return family


def _collect_gauge(full_name, value):
    if not isinstance(value, dict):
        return GaugeMetricFamily(full_name, full_name, value=value)
    family = GaugeMetricFamily(full_name, full_name, labels=("name",))
    for label, number in value.items():
        family.add_metric((label,), number)
    return family


def _underscored(name):
    return name.replace(".", "_")
