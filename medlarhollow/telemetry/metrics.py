"""In-process storage of counters, histograms and gauges."""

import bisect

__all__ = [
    "COUNTERS",
    "DURATION_BOUNDS_S",
    "GAUGES",
    "Histogram",
    "MetricStore",
]

# In seconds. Look-ups are expected to take less than 5 ms, requests less than
# a few seconds.
DURATION_BOUNDS_S = (
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
# Name, unit, description and labels of each counter. Counters are plain dicts
# that are read at each export, because incrementing a counter of the SDK took
# about 20 us per request.
COUNTERS = {
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
    "hedges": (
        "medlarhollow.hedges",
        "{request}",
        "Requests by the use of a second attempt, or why there was none.",
        ("service", "result"),
    ),
    "hedge_saved": (
        "medlarhollow.hedges.saved",
        "s",
        "Estimated time saved by second attempts.",
        ("service",),
    ),
    "sync_bytes": (
        "medlarhollow.sync.bytes",
        "By",
        "Bytes of Sync messages.",
        ("direction",),
    ),
    "usage_calls": (
        "medlarhollow.usage.calls",
        "{call}",
        "Calls to the receiver of usage reports.",
        ("result",),
    ),
    "loop_busy": (
        "medlarhollow.loop.busy",
        "s",
        "Time for which tasks of an activity ran.",
        ("activity",),
    ),
}
GAUGES = {
    "queue_length": ("medlarhollow.queue.length", "{request}"),
    "hedges_left": ("medlarhollow.hedges.left", "{request}"),
    "in_flight": ("medlarhollow.requests.in_flight", "{request}"),
    "freshness_age": ("medlarhollow.freshness.age", "s"),
    "revision": ("medlarhollow.revision", "1"),
    "move_fraction": ("medlarhollow.move.fraction", "1"),
    "division_steps": ("medlarhollow.division.steps", "{step}"),
    "concurrency_limit": ("medlarhollow.concurrency.limit", "{request}"),
    "processor_time": ("medlarhollow.processor.time", "s"),
    "dropped_records": ("medlarhollow.exchange.dropped_records", "{record}"),
    "loop_lag": ("medlarhollow.loop.lag", "s"),
    "usage_token": ("medlarhollow.usage.token", "1"),
    "usage_window": ("medlarhollow.usage.window", "1"),
    "usage_pending": ("medlarhollow.usage.pending", "{window}"),
}


class Histogram:
    """Histogram of durations.

    Attributes
    ----------
    buckets : list of int
        Number of durations in each bucket, whose upper bounds are
        `DURATION_BOUNDS_S`; the last bucket is unbounded.
    total_s : float
        Sum of the durations in seconds.
    """

    __slots__ = ("buckets", "total_s")

    def __init__(self):
        self.buckets = [0] * (len(DURATION_BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, duration_s):
        """Add one duration."""
        self.buckets[bisect.bisect_left(DURATION_BOUNDS_S, duration_s)] += 1
        self.total_s += duration_s


class MetricStore:
    """Counters, latency histograms and gauges."""

    def __init__(self):
        self._counters = {name: {} for name in COUNTERS}
        self._durations = {}
        self._gauges = {}

    @property
    def counters(self):
        """Dict of str to dict : values by labels, by name of the counter."""
        return self._counters

    @property
    def durations(self):
        """Dict of (str, str) to Histogram : durations by service and route."""
        return self._durations

    @property
    def gauges(self):
        """Dict of str to callable : functions that read gauges, by name."""
        return self._gauges

    def increment(self, name, labels, number=1):
        """Increment a counter.

        Parameters
        ----------
        name : str
            One of `COUNTERS`.
        labels : tuple of str
            Values of the labels, in the order of `COUNTERS`.
        number : int
            Increment.
        """
        counter = self._counters[name]
        counter[labels] = counter.get(labels, 0) + number

    def record_duration(self, service, route, duration_s):
        """Record the duration of a request in seconds."""
        labels = (service, route)
        histogram = self._durations.get(labels)
        if histogram is None:
            histogram = self._durations[labels] = Histogram()
        histogram.add(duration_s)

    def register_gauge(self, name, read_value):
        """Register a gauge that is read whenever metrics are read.

        Parameters
        ----------
        name : str
            One of `GAUGES`.
        read_value : callable
            Returns a number, or a dict of numbers by label.
        """
        self._gauges[name] = read_value
