"""Metrics and traces of one process, cheap when they are off."""

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
        self._metrics = MetricStore()
        self._is_counting = self._is_on or bool(
            settings.telemetry.metrics_listen
        )
        self._instruments = None
        self._export = None
        self._sample = settings.telemetry.trace_sample
        if self._is_on:
            self._start(settings)

    @property
    def metrics(self):
        """MetricStore : metrics of this process; empty if nothing is read."""
        return self._metrics

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
        if self._export is None or not self._is_sampled(headers):
            return _NOTHING
        return self._record(name, headers, attributes)

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
        if self._export is None:
            return _NOTHING
        if headers is None:
            if not self._export.is_recording():
                return _NOTHING
        elif _TRACEPARENT not in headers:
            return _NOTHING
        return self._record(name, headers, attributes)

    def inject(self, headers):
        """Add the ``traceparent`` of the current span to headers.

        Parameters
        ----------
        headers : MutableMapping
            Headers of a message to the next hop.
        """
        if self._export is not None:
            self._export.inject(headers)

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
        if not self._is_counting:
            return
        self._metrics.increment("requests", (service, route, account, outcome))
        self._metrics.record_duration(service, route, duration_s)
        if self._instruments is not None:
            self._instruments.record_duration(service, route, duration_s)

    def count_refused(self, account):
        """Count one request rejected for want of tokens."""
        if self._is_counting:
            self._metrics.increment("refused", (account,))

    def count_sync_bytes(self, count, direction):
        """Count bytes of Sync messages, ``sent`` or ``received``."""
        if self._is_counting:
            self._metrics.increment("sync_bytes", (direction,), count)

    def register_gauge(self, name, read):
        """Read a gauge whenever metrics are exported.

        Parameters
        ----------
        name : str
            One of `GAUGES`, such as ``queue_length``.
        read : callable
            Returns a number, or a dict of numbers by label.
        """
        self._metrics.register_gauge(name, read)
        if self._instruments is not None:
            self._instruments.register_gauge(name)

    def time_tasks(self, loop):
        """Count the time of the tasks that `loop` creates from now on."""
        if self._is_counting:
            loop.set_task_factory(ActivityTimer(self._metrics).create_task)

    def codec(self):
        """Return the codec for calls between processes."""
        return CountingCodec(self) if self._is_counting else RecordCodec()

    def trace_server(self, server):
        """Trace the calls to a grpclib server that are hops of requests."""
        if self._is_on:
            trace_server(server, self)

    def stop(self):
        """Export what is left. Blocks; call it outside the event loop."""
        if self._export is not None:
            self._export.close()

    def _is_sampled(self, headers):
        # The SDK takes some 30 us for a span that it then drops.
        match = _PARENT.fullmatch(headers.get(_TRACEPARENT, ""))
        if match is None:
            return random.random() < self._sample
        if not int(match[2], 16) & 1:
            return False
        return int(match[1][16:], 16) < self._sample * 2**64

    @contextlib.contextmanager
    def _record(self, name, headers, attributes):
        with self._export.start_span(name, headers) as span:
            hop = Span(span)
            for key, value in attributes.items():
                hop.set(key, value)
            yield hop

    def _start(self, settings):
        # The SDK and its exporters take some 6 MB, which a process without
        # exports need not hold.
        from .export import Export
        from .instruments import Instruments

        self._export = Export(settings)
        self._instruments = Instruments(self._export.meter, self._metrics)
