"""Metrics of one process."""

from opentelemetry.metrics import Observation

__all__ = ["Instruments"]

# Seconds; look-ups are expected below 5 ms, requests below a few seconds.
_DURATION_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
# Counted in plain dicts and read at each export: adding to a counter of the
# SDK took about 20 us of each request.
_COUNTERS = {
    "requests": (
        "medlarhollow.requests",
        "{request}",
        "Requests answered.",
        ("service", "route", "account", "outcome"),
    ),
    "refused": (
        "medlarhollow.tokens.refused",
        "{request}",
        "Requests rejected for want of tokens.",
        ("account",),
    ),
    "sync_bytes": (
        "medlarhollow.sync.bytes",
        "By",
        "Bytes of Sync messages.",
        ("direction",),
    ),
}
_GAUGES = {
    "queue_length": ("medlarhollow.queue.length", "{request}"),
    "in_flight": ("medlarhollow.requests.in_flight", "{request}"),
    "freshness_age": ("medlarhollow.freshness.age", "s"),
    "revision": ("medlarhollow.revision", "1"),
    "move_fraction": ("medlarhollow.move.fraction", "1"),
}


class Instruments:
    """Counters, the latency histogram and gauges.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter
        Makes the instruments.
    """

    def __init__(self, meter):
        self._meter = meter
        self._counts = {}
        for name in _COUNTERS:
            self._create_counter(name)
        self._duration = meter.create_histogram(
            "medlarhollow.request.duration",
            "s",
            "Time from the head of a request to the end of its answer.",
            explicit_bucket_boundaries_advisory=_DURATION_BOUNDS_S,
        )

    def count(self, name, labels, number=1):
        """Add to a counter.

        Parameters
        ----------
        name : str
            One of the counters' names.
        labels : tuple of str
            Values of its labels, in their order.
        number : int
            What to add.
        """
        counts = self._counts[name]
        counts[labels] = counts.get(labels, 0) + number

    def record_duration(self, service, route, duration_s):
        """Record how long a request took."""
        self._duration.record(duration_s, {"service": service, "route": route})

    def observe(self, name, read):
        """Read a gauge whenever metrics are exported.

        Parameters
        ----------
        name : str
            One of the gauges' names.
        read : callable
            Returns a number, or a dict of numbers by label.
        """
        full_name, unit = _GAUGES[name]

        def callback(options):
            value = read()
            if isinstance(value, dict):
                for label, number in value.items():
                    yield Observation(number, {"name": label})
            else:
                yield Observation(value)

        self._meter.create_observable_gauge(full_name, [callback], unit)

    def _create_counter(self, name):
        full_name, unit, text, labels = _COUNTERS[name]
        counts = self._counts[name] = {}

        def callback(options):
            for values, number in tuple(counts.items()):
                yield Observation(
                    number, dict(zip(labels, values, strict=True))
                )

        self._meter.create_observable_counter(
            full_name, [callback], unit, text
        )
