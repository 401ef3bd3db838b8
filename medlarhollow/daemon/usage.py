"""Reports of usage by a control replica."""

import logging

from ..usage.reporter import UsageReporter

__all__ = ["run_usage_reports"]

_LOG = logging.getLogger(__name__)


async def run_usage_reports(
    settings,
    replica,
    reports,
    totals,
    fleet_clock,
    client,
    incarnation,
    telemetry,
):
    """Run the usage reporter and its gauges until cancelled.

    Parameters
    ----------
    settings, replica, reports, totals, fleet_clock, incarnation, telemetry
        As for `UsageReporter`.
    client : UsageClient or None
        None if the front end has none; nothing is reported then.
    """
    if client is None:
        _LOG.warning(
            "daemon: usage is not reported: the front end has no client"
        )
        return
    telemetry.register_gauge("usage_token", lambda: replica.usage.token)
    telemetry.register_gauge(
        "usage_window",
        lambda: {
            "settled": replica.usage.settled,
            "confirmed": replica.usage.confirmed,
        },
    )
    telemetry.register_gauge(
        "usage_pending", lambda: len(replica.usage.windows)
    )
    reporter = UsageReporter(
        settings,
        replica,
        reports,
        totals,
        fleet_clock,
        client,
        incarnation,
        telemetry,
    )
    await reporter.run()
