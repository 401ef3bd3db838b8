"""Metrics as text."""

import asyncio

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from medlarhollow.daemon.http import HttpServer
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.telemetry.metrics import MetricStore
from medlarhollow.telemetry.scrape import make_metrics_app
from medlarhollow.telemetry.scrape import render_metrics


def parse_samples(metrics):
    text = render_metrics(metrics).decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_durations_and_gauges_are_exposed():
    """Guards the figures that an engineer on call reads."""
    metrics = MetricStore()
    metrics.increment("requests", ("plots", "/plots", 'a"b', "ok"), 3)
    metrics.record_duration("plots", "/plots", 0.02)
    metrics.record_duration("plots", "/plots", 99.0)
    metrics.register_gauge("queue_length", lambda: 7)
    metrics.register_gauge("move_fraction", lambda: {"plots": 0.25})
    samples = parse_samples(metrics)
    labels = {
        "service": "plots",
        "route": "/plots",
        "account": 'a"b',
        "outcome": "ok",
    }
    label_set = tuple(sorted(labels.items()))
    assert samples["medlarhollow_requests_total", label_set] == 3
    duration = "medlarhollow_request_duration_seconds"
    label_set = (("route", "/plots"), ("service", "plots"))
    assert samples[duration + "_count", label_set] == 2
    assert samples[duration + "_sum", label_set] == 99.02
    below = (("le", "0.025"), *label_set)
    assert samples[duration + "_bucket", below] == 1
    above = (("le", "+Inf"), *label_set)
    assert samples[duration + "_bucket", above] == 2
    assert samples["medlarhollow_queue_length", ()] == 7
    label_set = (("name", "plots"),)
    assert samples["medlarhollow_move_fraction", label_set] == 0.25


def test_empty_store_exposes_only_zeros():
    assert all(value == 0 for value in parse_samples(MetricStore()).values())


async def test_metrics_are_served_over_http():
    address = free_addresses(1)[0]
    metrics = MetricStore()
    metrics.increment("refused", ("crew",), 2)
    server = HttpServer(make_metrics_app(metrics), address, 1.0)
    stop = asyncio.Event()
    serving = asyncio.create_task(server.serve_until(stop))
    while not server.started:
        await asyncio.sleep(0.005)
    async with (
        aiohttp.ClientSession() as client,
        client.get(f"http://{address}/metrics") as response,
    ):
        assert response.headers["content-type"].startswith("text/plain")
        text = await response.text()
    stop.set()
    await serving
    assert 'medlarhollow_tokens_refused_total{account="crew"} 2.0' in text
