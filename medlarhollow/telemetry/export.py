"""Export of metrics and traces with the OpenTelemetry SDK."""

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

__all__ = ["OpenTelemetryExporter"]

_SERVICE_NAME = "medlarhollow"


class OpenTelemetryExporter:
    """Tracer and meter of one process.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``telemetry`` are read; the latter defines the
        destination.
    """

    def __init__(self, settings):
        telemetry = settings.telemetry
        resource = Resource.create(
            {
                "service.name": _SERVICE_NAME,
                "service.instance.id": settings.vm.name,
                "medlarhollow.region": settings.vm.region,
                "medlarhollow.data_centre": settings.vm.data_centre,
            }
        )
        self._file = None
        span_exporter, metric_exporter = self._open_exporters(telemetry)
        # `Telemetry` samples; the default sampler follows the parent.
        tracer_provider = TracerProvider(resource=resource)
        tracer_provider.add_span_processor(BatchSpanProcessor(span_exporter))
        reader = PeriodicExportingMetricReader(
            metric_exporter, telemetry.export_interval_s * 1000
        )
        meter_provider = MeterProvider([reader], resource)
        self._tracer = tracer_provider.get_tracer(_SERVICE_NAME)
        self._meter = meter_provider.get_meter(_SERVICE_NAME)
        self._providers = (tracer_provider, meter_provider)

    @property
    def meter(self):
        """Meter : creates the instruments."""
        return self._meter

    def is_recording(self):
        """Return whether the current span is recorded."""
        return trace.get_current_span().is_recording()

    def start_span(self, name, headers):
        """Return the context manager of a span.

        Parameters
        ----------
        name : str
            Name of the span.
        headers : Mapping or None
            Headers whose ``traceparent`` the span continues; None to
            continue the current span.
        """
        context = None if headers is None else propagate.extract(headers)
        return self._tracer.start_as_current_span(name, context)

    def inject(self, headers):
        """Add the ``traceparent`` of the current span to headers."""
        propagate.inject(headers)

    def close(self):
        """Export pending data. Blocks; call it outside the event loop."""
        for provider in self._providers:
            provider.shutdown()
        if self._file is not None:
            self._file.close()

    def _open_exporters(self, telemetry):
        if telemetry.export == "otlp":
            base = telemetry.otlp_endpoint.rstrip("/")
            return (
                OTLPSpanExporter(f"{base}/v1/traces"),
                OTLPMetricExporter(f"{base}/v1/metrics"),
            )
        self._file = open(telemetry.export_file, "a", encoding="utf-8")  # noqa: SIM115
        return (
            ConsoleSpanExporter(out=self._file, formatter=_format_span),
            ConsoleMetricExporter(out=self._file, formatter=_format_metrics),
        )


def _format_span(span):
    return span.to_json(indent=None) + "\n"


def _format_metrics(data):
    return data.to_json(indent=None) + "\n"
