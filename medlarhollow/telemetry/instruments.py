"""OpenTelemetry instruments that read the metrics of a process."""

from opentelemetry.metrics import Observation

from .metrics import COUNTERS
from .metrics import DURATION_BOUNDS_S
from .metrics import GAUGES

__all__ = ["Instruments"]


class Instruments:
    """Counters, the latency histogram and gauges.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter
        Creates the instruments.
    metrics : MetricStore
        Read by the counters and gauges.
    """

    def __init__(self, meter, metrics):
        self._meter = meter
        self._metrics = metrics
        for name in COUNTERS:
            self._create_counter(name)
        self._duration = meter.create_histogram(
            "medlarhollow.request.duration",
            "s",
            "Time from the head of a request to the end of its answer.",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )

    def record_duration(self, service, route, duration_s):
        """Record the duration of a request in seconds."""
        self._duration.record(duration_s, {"service": service, "route": route})

    def register_gauge(self, name):
        """Create an instrument that reads a gauge at each export."""
        metric_name, unit = GAUGES[name]

        def observe(options):
            value = self._metrics.gauges[name]()
            if isinstance(value, dict):
                for label, number in value.items():
                    yield Observation(number, {"name": label})
            else:
                yield Observation(value)

        self._meter.create_observable_gauge(metric_name, [observe], unit)

    def _create_counter(self, name):
        metric_name, unit, description, labels = COUNTERS[name]
        counter = self._metrics.counters[name]

        def observe(options):
            for values, number in tuple(counter.items()):
                yield Observation(
                    number, dict(zip(labels, values, strict=True))
                )

        self._meter.create_observable_counter(
            metric_name, [observe], unit, description
        )
