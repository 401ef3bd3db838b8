"""Metrics and traces of one process, cheap when they are off."""

import contextlib
import random
import re

from opentelemetry import propagate
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
    OTLPMetricExporter,
)
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import ConsoleMetricExporter
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.export import ConsoleSpanExporter

from ..messages import RecordCodec
from .instruments import Instruments
from .mask import mask_keys
from .rpc import CountingCodec
from .rpc import trace_server

__all__ = ["Span", "Telemetry"]


class Span:
    """One hop of a request, while it lasts.

    Parameters
    ----------
    span : opentelemetry.trace.Span or None
        None if nothing is recorded.
    """

    __slots__ = ("_span",)

    def __init__(self, span=None):
        self._span = span

    def set(self, name, value):
        """Set an attribute; keys in texts are masked."""
        if self._span is not None and self._span.is_recording():
            if isinstance(value, str):
                value = mask_keys(value)
            self._span.set_attribute(name, value)


_TRACEPARENT = "traceparent"
_PARENT = re.compile("[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-([0-9a-f]{2})")
_NO_SPAN = Span()
_NOTHING = contextlib.nullcontext(_NO_SPAN)


class Telemetry:
    """Count, measure and trace; does nothing while exports are off.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``telemetry`` are read.

    Notes
    -----
    The first hop decides whether a request is traced: by its trace
    identifier if it has one, so that all VMs agree. A caller can ask for
    less, with the flag of its ``traceparent``, but not for more.
    """

    def __init__(self, settings):
        self._is_on = settings.telemetry.export != "none"
        self._instruments = None
        self._tracer = None
        self._providers = ()
        self._file = None
        self._sample = settings.telemetry.trace_sample
        if self._is_on:
            self._start(settings)

    @property
    def is_on(self):
        """Whether anything is exported."""
        return self._is_on

    def request_span(self, name, headers, **attributes):
        """Trace the first hop of a caller's request.

        Parameters
        ----------
        name : str
            Such as ``entry.request``.
        headers : Mapping
            Headers of the request; its ``traceparent`` is continued, else a
            new trace begins, if the request is sampled.
        **attributes
            Texts and numbers; keys are masked.

        Returns
        -------
        context manager
            Yields a `Span`. An exception that leaves it marks it failed.
        """
        if self._tracer is None or not self._is_sampled(headers):
            return _NOTHING
        return self._record(name, propagate.extract(headers), attributes)

    def span(self, name, headers=None, **attributes):
        """Trace one more hop of a request that is traced.

        Parameters
        ----------
        name : str
            Such as ``entry.token``.
        headers : Mapping or None
            Headers of the call that began the hop in another process; None
            to continue the current span.
        **attributes
            Texts and numbers; keys are masked.

        Returns
        -------
        context manager
            Yields a `Span`. An exception that leaves it marks it failed.
        """
        if self._tracer is None:
            return _NOTHING
        if headers is None:
            if not trace.get_current_span().is_recording():
                return _NOTHING
            return self._record(name, None, attributes)
        if _TRACEPARENT not in headers:
            return _NOTHING
        return self._record(name, propagate.extract(headers), attributes)

    def inject(self, headers):
        """Add the ``traceparent`` of the current span to headers.

        Parameters
        ----------
        headers : MutableMapping
            Headers of a message to the next hop.
        """
        if self._tracer is not None:
            propagate.inject(headers)

    def count_request(self, service, route, account, outcome, duration_s):
        """Count one answered request.

        Parameters
        ----------
        service, route, account : str
            Of the request; empty for what it does not have.
        outcome : str
            ``ok`` or the name of the error kind.
        duration_s : float
            From the head of the request to the end of its answer.
        """
        if self._instruments is not None:
            labels = (service, route, account, outcome)
            self._instruments.count("requests", labels)
            self._instruments.record_duration(service, route, duration_s)

    def count_refused(self, account):
        """Count one request rejected for want of tokens."""
        if self._instruments is not None:
            self._instruments.count("refused", (account,))

    def count_sync_bytes(self, count, direction):
        """Count bytes of Sync messages, ``sent`` or ``received``."""
        if self._instruments is not None:
            self._instruments.count("sync_bytes", (direction,), count)

    def observe(self, name, read):
        """Read a gauge whenever metrics are exported.

        Parameters
        ----------
        name : str
            ``queue_length``, ``in_flight``, ``freshness_age``, ``revision``
            or ``move_fraction``.
        read : callable
            Returns a number, or a dict of numbers by label.
        """
        if self._instruments is not None:
            self._instruments.observe(name, read)

    def codec(self):
        """Return the codec for calls between processes."""
        return CountingCodec(self) if self._is_on else RecordCodec()

    def trace_server(self, server):
        """Trace the calls to a grpclib server that are hops of requests."""
        if self._is_on:
            trace_server(server, self)

    def stop(self):
        """Export what is left. Blocks; call it outside the event loop."""
        for provider in self._providers:
            provider.shutdown()
        if self._file is not None:
            self._file.close()

    def _is_sampled(self, headers):
        # The SDK takes some 30 us for a span that it then drops.
        match = _PARENT.fullmatch(headers.get(_TRACEPARENT, ""))
        if match is None:
            return random.random() < self._sample
        if not int(match[2], 16) & 1:
            return False
        return int(match[1][16:], 16) < self._sample * 2**64

    @contextlib.contextmanager
    def _record(self, name, context, attributes):
        with self._tracer.start_as_current_span(name, context) as span:
            hop = Span(span)
            for key, value in attributes.items():
                hop.set(key, value)
            yield hop

    def _start(self, settings):
        own = settings.telemetry
        resource = Resource.create(
            {
                "service.name": "medlarhollow",
                "service.instance.id": settings.vm.name,
                "medlarhollow.region": settings.vm.region,
                "medlarhollow.data_centre": settings.vm.data_centre,
            }
        )
        span_exporter, metric_exporter = self._exporters(own)
        # Sampled here already; the default sampler follows the parent.
        tracers = TracerProvider(resource=resource)
        tracers.add_span_processor(BatchSpanProcessor(span_exporter))
        reader = PeriodicExportingMetricReader(
            metric_exporter, own.export_interval_s * 1000
        )
        meters = MeterProvider([reader], resource)
        self._tracer = tracers.get_tracer("medlarhollow")
        self._instruments = Instruments(meters.get_meter("medlarhollow"))
        self._providers = (tracers, meters)

    def _exporters(self, own):
        if own.export == "otlp":
            base = own.otlp_endpoint.rstrip("/")
            return (
                OTLPSpanExporter(f"{base}/v1/traces"),
                OTLPMetricExporter(f"{base}/v1/metrics"),
            )
        self._file = open(own.export_file, "a", encoding="utf-8")  # noqa: SIM115
        return (
            ConsoleSpanExporter(out=self._file, formatter=_span_line),
            ConsoleMetricExporter(out=self._file, formatter=_metric_line),
        )


def _span_line(span):
    return span.to_json(indent=None) + "\n"


def _metric_line(data):
    return data.to_json(indent=None) + "\n"
