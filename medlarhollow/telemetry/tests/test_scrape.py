"""Metrics as text."""

import asyncio

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from medlarhollow.daemon.http import HttpServer
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.telemetry.metrics import MetricStore
from medlarhollow.telemetry.scrape import make_metrics_app
from medlarhollow.telemetry.scrape import render


def read(metrics):
    text = render(metrics).decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_durations_and_gauges_can_be_read():
    """Guards the figures that an engineer on call reads."""
    metrics = MetricStore()
    metrics.increment("requests", ("plots", "/plots", 'a"b', "ok"), 3)
    metrics.record_duration("plots", "/plots", 0.02)
    metrics.record_duration("plots", "/plots", 99.0)
    metrics.register_gauge("queue_length", lambda: 7)
    metrics.register_gauge("move_fraction", lambda: {"plots": 0.25})
    samples = read(metrics)
    labels = {
        "service": "plots",
        "route": "/plots",
        "account": 'a"b',
        "outcome": "ok",
    }
    place = tuple(sorted(labels.items()))
    assert samples["medlarhollow_requests_total", place] == 3
    duration = "medlarhollow_request_duration_seconds"
    place = (("route", "/plots"), ("service", "plots"))
    assert samples[duration + "_count", place] == 2
    assert samples[duration + "_sum", place] == 99.02
    below = (("le", "0.025"), *place)
    assert samples[duration + "_bucket", below] == 1
    above = (("le", "+Inf"), *place)
    assert samples[duration + "_bucket", above] == 2
    assert samples["medlarhollow_queue_length", ()] == 7
    place = (("name", "plots"),)
    assert samples["medlarhollow_move_fraction", place] == 0.25


def test_nothing_counted_is_an_empty_page():
    assert all(value == 0 for value in read(MetricStore()).values())


async def test_metrics_have_an_address():
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
        client.get(f"http://{address}/metrics") as answer,
    ):
        assert answer.headers["content-type"].startswith("text/plain")
        text = await answer.text()
    stop.set()
    await serving
    assert 'medlarhollow_tokens_refused_total{account="crew"} 2.0' in text
