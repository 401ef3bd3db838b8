"""Metrics and traces."""

import json
import pathlib
import re
from types import SimpleNamespace

from grpclib.testing import ChannelFor
import pytest

from medlarhollow.configuration import generate_key
from medlarhollow.messages.records import ProposeRequest
from medlarhollow.messages.records import ProposeResponse
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.services import ControlBase
from medlarhollow.messages.services import ControlStub
from medlarhollow.telemetry import Telemetry
from medlarhollow.telemetry.metrics import COUNTERS
from medlarhollow.telemetry.metrics import GAUGES
from medlarhollow.telemetry.rpc import _TRACED_CALLS
from medlarhollow.telemetry.rpc import CountingCodec
from medlarhollow.telemetry.rpc import trace_server

ROOT = pathlib.Path(__file__).resolve().parents[3]
TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"


def make_telemetry(path, export="file", sample=1.0):
    return Telemetry(
        SimpleNamespace(
            vm=SimpleNamespace(
                name="vm-1", region="north", data_centre="north-a"
            ),
            telemetry=SimpleNamespace(
                export=export,
                export_file=str(path),
                otlp_endpoint="http://127.0.0.1:1",
                trace_sample=sample,
                export_interval_s=60.0,
                metrics_listen="",
            ),
        )
    )


@pytest.fixture
def exported(tmp_path):
    """Telemetry to a file, and a function that stops it and reads the file."""
    path = tmp_path / "telemetry.jsonl"
    telemetry = make_telemetry(path)

    def read():
        telemetry.stop()
        return [json.loads(line) for line in path.read_text().splitlines()]

    return telemetry, read


def parse_spans(lines):
    return {line["name"]: line for line in lines if "context" in line}


def parse_metrics(lines):
    data_points = {}
    for line in lines:
        for resource in line.get("resource_metrics", ()):
            for scope in resource["scope_metrics"]:
                for metric in scope["metrics"]:
                    data_points[metric["name"]] = metric["data"]["data_points"]
    return data_points


def test_spans_of_a_request_form_one_trace(exported):
    """All spans of a request must belong to the same trace."""
    telemetry, read = exported
    headers = {}
    parent = {"traceparent": f"00-{TRACE_ID}-00f067aa0ba902b7-01"}
    with (
        telemetry.request_span("entry.request", parent) as span,
        telemetry.span("entry.backend", server="b1"),
    ):
        span.set("status", 200)
        telemetry.inject(headers)
    with telemetry.span("control.propose", headers):
        pass
    spans = parse_spans(read())
    assert len(spans) == 3
    assert {s["context"]["trace_id"] for s in spans.values()} == {
        f"0x{TRACE_ID}"
    }
    request, backend = spans["entry.request"], spans["entry.backend"]
    assert backend["parent_id"] == request["context"]["span_id"]
    control = spans["control.propose"]
    assert control["parent_id"] == backend["context"]["span_id"]
    assert request["attributes"]["status"] == 200


def test_keys_are_masked_in_spans(exported):
    """No key may be exported in a span."""
    telemetry, read = exported
    text, _ = generate_key("crew")
    with telemetry.request_span("entry.request", {}, path=f"/a?k={text}"):
        pass
    assert text.split("_")[2] not in json.dumps(read())


def test_failed_span_is_marked(exported):
    """A failure must not appear as a success in a trace."""
    telemetry, read = exported
    with (
        pytest.raises(ValueError, match="broken"),
        telemetry.request_span("entry.claim", {}),
    ):
        raise ValueError("broken")
    span = parse_spans(read())["entry.claim"]
    assert span["status"]["status_code"] == "ERROR"


@pytest.mark.parametrize(
    ("sample", "flag", "count"),
    [(0.0, "01", 0), (1.0, "00", 0), (1.0, "01", 1)],
)
def test_callers_can_disable_but_not_enable_tracing(
    tmp_path, sample, flag, count
):
    """Guards against a caller that enables tracing of all its requests."""
    path = tmp_path / "telemetry.jsonl"
    telemetry = make_telemetry(path, sample=sample)
    parent = {"traceparent": f"00-{TRACE_ID}-00f067aa0ba902b7-{flag}"}
    with telemetry.request_span("entry.request", parent):
        pass
    telemetry.stop()
    assert path.read_text().count("entry.request") == count


def test_untraced_requests_have_no_child_spans(exported):
    """Every exported span must belong to a traced request."""
    telemetry, read = exported
    with telemetry.span("entry.token"), telemetry.span("entry.backend", {}):
        pass
    assert parse_spans(read()) == {}


def test_sampling_depends_on_the_trace_identifier(tmp_path):
    """Guards against incomplete traces because VMs decided differently."""
    path = tmp_path / "telemetry.jsonl"
    telemetry = make_telemetry(path, sample=0.5)
    for low_half, name in ((f"{'7f' * 8}", "low"), (f"{'81' * 8}", "high")):
        parent = {"traceparent": f"00-{'1' * 16}{low_half}-{'2' * 16}-01"}
        with telemetry.request_span(name, parent):
            pass
    telemetry.stop()
    assert '"low"' in path.read_text()
    assert '"high"' not in path.read_text()


def test_malformed_traceparent_is_ignored(exported):
    """A malformed header must not fail the request."""
    telemetry, read = exported
    with telemetry.request_span("entry.request", {"traceparent": "00-zz-1"}):
        pass
    assert parse_spans(read())["entry.request"]["parent_id"] is None


def test_metrics_are_exported(exported):
    """Every collected metric must be exported."""
    telemetry, read = exported
    telemetry.count_request("plots", "/plots", "crew", "ok", 0.004)
    telemetry.count_request("plots", "/plots", "crew", "ok", 0.3)
    telemetry.count_refused("crew")
    telemetry.count_sync_bytes(120, "sent")
    for name in ("queue_length", "in_flight", "freshness_age", "revision"):
        telemetry.register_gauge(name, lambda: 3)
    telemetry.register_gauge("move_fraction", lambda: {"plots": 0.25})
    metrics = parse_metrics(read())
    (requests,) = metrics["medlarhollow.requests"]
    assert requests["value"] == 2
    assert requests["attributes"]["account"] == "crew"
    assert metrics["medlarhollow.request.duration"][0]["count"] == 2
    assert metrics["medlarhollow.tokens.refused"][0]["value"] == 1
    assert metrics["medlarhollow.sync.bytes"][0]["value"] == 120
    assert metrics["medlarhollow.queue.length"][0]["value"] == 3
    assert metrics["medlarhollow.move.fraction"][0]["value"] == 0.25


def test_disabled_telemetry_has_no_effect(tmp_path):
    """Disabled exports must create no files, headers or spans."""
    path = tmp_path / "telemetry.jsonl"
    telemetry = make_telemetry(path, export="none")
    headers = {}
    with telemetry.request_span("entry.request", {"traceparent": "x"}) as span:
        span.set("status", 200)
        telemetry.inject(headers)
    telemetry.count_request("plots", "/plots", "crew", "ok", 0.1)
    telemetry.register_gauge("revision", lambda: 1)
    telemetry.stop()
    assert headers == {}
    assert not path.exists()
    assert telemetry.span("a") is telemetry.span("b")


async def test_rpcs_continue_the_trace(exported):
    """A trace must not end at the process boundary."""
    telemetry, read = exported

    class Control(ControlBase):
        async def Propose(self, stream):
            await stream.recv_message()
            await stream.send_message(ProposeResponse())

        async def Status(self, stream):
            raise NotImplementedError

        async def SetReplicas(self, stream):
            raise NotImplementedError

    codec = CountingCodec(telemetry)
    channel_factory = ChannelFor([Control()], codec=codec)
    async with channel_factory as channel:
        trace_server(channel_factory._server, telemetry)
        with telemetry.request_span("entry.claim", {}):
            headers = {}
            telemetry.inject(headers)
            await ControlStub(channel).Propose(
                ProposeRequest(), metadata=headers
            )
    spans = parse_spans(read())
    claim = spans["entry.claim"]["context"]["span_id"]
    assert spans["control.propose"]["parent_id"] == claim


def test_sync_bytes_are_counted(exported):
    """Bytes must be counted in both directions."""
    telemetry, read = exported
    codec = CountingCodec(telemetry)
    data = codec.encode(SyncRequest(cluster="test"), SyncRequest)
    codec.decode(data, SyncRequest)
    codec.encode(ProposeRequest(), ProposeRequest)
    points = parse_metrics(read())["medlarhollow.sync.bytes"]
    counted = {p["attributes"]["direction"]: p["value"] for p in points}
    assert counted == {"sent": len(data), "received": len(data)}


def test_reference_documents_every_metric_and_span():
    """Guards against dashboards that use names which are not exported."""
    page = (ROOT / "docs" / "reference" / "telemetry.md").read_text()
    documented = set(re.findall(r"`(medlarhollow\.[a-z_.]+)`", page))
    exported_names = {
        definition[0] for definition in (*COUNTERS.values(), *GAUGES.values())
    }
    assert documented == exported_names | {"medlarhollow.request.duration"}
    assert all(f"`{name}`" in page for name in _TRACED_CALLS.values())
