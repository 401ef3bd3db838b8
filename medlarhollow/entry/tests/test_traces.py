"""Tests of the spans and metrics of the request path."""

import json

import attrs

from medlarhollow.telemetry import Telemetry

from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import make_idempotency_key
from .fakes import respond


async def test_spans_of_claimed_request(tmp_path):
    """Guards against steps without a span, and against keys in the exported
    data."""
    path = tmp_path / "telemetry.jsonl"
    entry = EntryHarness()
    telemetry_settings = attrs.evolve(
        entry.settings.telemetry,
        export="file",
        export_file=str(path),
        trace_sample=1.0,
    )
    entry.telemetry = Telemetry(
        attrs.evolve(entry.settings, telemetry=telemetry_settings)
    )
    async with entry.run(FakeBackend(respond())):
        headers = {"idempotency-key": make_idempotency_key()}
        status, _, _ = await entry.call(
            "/orders", "POST", data=b"x", headers=headers
        )
        assert status == 200
    entry.telemetry.stop()
    text = path.read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    spans = {line["name"]: line for line in lines if "context" in line}
    assert set(spans) >= {
        "entry.request",
        "entry.token",
        "entry.queue",
        "entry.claim",
        "entry.backend",
    }
    assert len({span["context"]["trace_id"] for span in spans.values()}) == 1
    assert entry.key not in text
    assert "requests" in text
    assert "crew" in text
