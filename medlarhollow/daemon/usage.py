"""Reports of usage by a control replica."""

import logging

from ..usage.reporter import UsageReporter
from .gauges import register_usage_gauges

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
    register_usage_gauges(telemetry, replica)
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
