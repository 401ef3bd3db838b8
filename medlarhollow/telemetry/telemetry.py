"""Metrics and traces of one process, at little cost when disabled."""

import contextlib
import random
import re

from ..messages import RecordCodec
from .activity import ActivityTimer
from .mask import mask_keys
from .metrics import MetricStore
from .rpc import CountingCodec
from .rpc import trace_server

__all__ = ["Span", "Telemetry"]


class Span:
    """Active span of one step of a request.

    Parameters
    ----------
    span : opentelemetry.trace.Span or None
        None if the request is not traced.
    """

    __slots__ = ("_span",)

    def __init__(self, span=None):
        self._span = span

    def set(self, name, value):
        """Set an attribute; keys in strings are masked."""
        if self._span is not None and self._span.is_recording():
            if isinstance(value, str):
                value = mask_keys(value)
            self._span.set_attribute(name, value)


_TRACEPARENT = "traceparent"
_TRACEPARENT_PATTERN = re.compile(
    "[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-([0-9a-f]{2})"
)
_NULL_SPAN = Span()
_NULL_CONTEXT = contextlib.nullcontext(_NULL_SPAN)


class Telemetry:
    """Collect metrics and traces; do nothing while exports are disabled.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``telemetry`` are read.

    Notes
    -----
    The first VM decides whether a request is traced, by the trace identifier
    if there is one, so that all VMs decide alike. A caller can disable tracing
    by the sampled flag of its ``traceparent``, but cannot enable it.
    """

    def __init__(self, settings):
        self._is_enabled = settings.telemetry.export != "none"
        self._metrics = MetricStore()
        self._is_collecting = self._is_enabled or bool(
            settings.telemetry.metrics_listen
        )
        self._instruments = None
        self._exporter = None
        self._sample_rate = settings.telemetry.trace_sample
        if self._is_enabled:
            self._start_exporter(settings)

    @property
    def metrics(self):
        """MetricStore : metrics, without counts if nothing reads them."""
        return self._metrics

    @property
    def is_enabled(self):
        """Whether anything is exported."""
        return self._is_enabled

    def request_span(self, name, headers, **attributes):
        """Start the root span of a caller's request in this process.

        Parameters
        ----------
        name : str
            Name of the span, such as ``entry.request``.
        headers : Mapping
            Headers of the request. Their ``traceparent`` is continued; without
            one, a new trace starts if the request is sampled.
        **attributes
            Strings and numbers; keys are masked.

        Returns
        -------
        context manager
            Yields a `Span`. An exception that propagates marks it as failed.
        """
        if self._exporter is None or not self._is_sampled(headers):
            return _NULL_CONTEXT
        return self._record_span(name, headers, attributes)

    def span(self, name, headers=None, **attributes):
        """Start a child span of a traced request.

        Parameters
        ----------
        name : str
            Name of the span, such as ``entry.token``.
        headers : Mapping or None
            Headers of a call from another process; None to continue the
            current span.
        **attributes
            Strings and numbers; keys are masked.

        Returns
        -------
        context manager
            Yields a `Span`. An exception that propagates marks it as failed.
        """
        if self._exporter is None:
            return _NULL_CONTEXT
        if headers is None:
            if not self._exporter.is_recording():
                return _NULL_CONTEXT
        elif _TRACEPARENT not in headers:
            return _NULL_CONTEXT
        return self._record_span(name, headers, attributes)

    def inject(self, headers):
        """Add the ``traceparent`` of the current span to headers.

        Parameters
        ----------
        headers : MutableMapping
            Headers of a message to another process.
        """
        if self._exporter is not None:
            self._exporter.inject(headers)

    def count_request(self, service, route, account, outcome, duration_s):
        """Count one completed request.

        Parameters
        ----------
        service, route, account : str
            Labels of the request; empty for those it does not have.
        outcome : str
            ``ok``, ``cut``, ``abandoned`` or the name of the error kind.
        duration_s : float
            From the head of the request to the end of its response, in
            seconds.
        """
        if not self._is_collecting:
            return
        self._metrics.increment("requests", (service, route, account, outcome))
        self._metrics.record_duration(service, route, duration_s)
        if self._instruments is not None:
            self._instruments.record_duration(service, route, duration_s)

    def count_refused(self, account):
        """Count one request rejected for lack of tokens."""
        if self._is_collecting:
            self._metrics.increment("refused", (account,))

    def count_hedge(self, service, result, saved_s):
        """Count one request that was sent while second attempts are on.

        Parameters
        ----------
        service : str
            Service of the request.
        result : str
            ``first`` or ``second``, by the attempt that was used, ``hedged``
            if neither was, or why there was no second attempt.
        saved_s : float
            Estimated time saved, in seconds.
        """
        if not self._is_collecting:
            return
        self._metrics.increment("hedges", (service, result))
        if saved_s:
            self._metrics.increment("hedge_saved", (service,), saved_s)

    def count_sync_bytes(self, count, direction):
        """Count bytes of Sync messages, ``sent`` or ``received``."""
        if self._is_collecting:
            self._metrics.increment("sync_bytes", (direction,), count)

    def count_usage_call(self, result):
        """Count one call to the receiver of usage reports."""
        if self._is_collecting:
            self._metrics.increment("usage_calls", (result,))

    def register_gauge(self, name, read_value):
        """Register a gauge that is read at each export of metrics.

        Parameters
        ----------
        name : str
            One of `GAUGES`, such as ``queue_length``.
        read_value : callable
            Returns a number, or a dict of numbers by label.
        """
        self._metrics.register_gauge(name, read_value)
        if self._instruments is not None:
            self._instruments.register_gauge(name)

    def time_tasks(self, loop):
        """Measure the time of the tasks that `loop` creates from now on."""
        if self._is_collecting:
            loop.set_task_factory(ActivityTimer(self._metrics).create_task)

    def codec(self):
        """Return the codec of RPCs between processes."""
        return CountingCodec(self) if self._is_collecting else RecordCodec()

    def trace_server(self, server):
        """Trace the RPCs to a grpclib server that are part of requests."""
        if self._is_enabled:
            trace_server(server, self)

    def stop(self):
        """Export pending data. Blocks; call it outside the event loop."""
        if self._exporter is not None:
            self._exporter.close()

    def _is_sampled(self, headers):
        # Sampled before the SDK, which takes about 30 us for a span that it
        # then drops.
        match = _TRACEPARENT_PATTERN.fullmatch(headers.get(_TRACEPARENT, ""))
        if match is None:
            return random.random() < self._sample_rate
        if not int(match[2], 16) & 1:
            return False
        return int(match[1][16:], 16) < self._sample_rate * 2**64

    @contextlib.contextmanager
    def _record_span(self, name, headers, attributes):
        with self._exporter.start_span(name, headers) as span:
            recorded_span = Span(span)
            for key, value in attributes.items():
                recorded_span.set(key, value)
            yield recorded_span

    def _start_exporter(self, settings):
        # Imported only here: the SDK and its exporters take about 6 MB of
        # memory, which a process without exports does not need.
        from .export import OpenTelemetryExporter
        from .instruments import Instruments

        self._exporter = OpenTelemetryExporter(settings)
        self._instruments = Instruments(self._exporter.meter, self._metrics)
