"""Gauges of the replicated state and of the usage reports."""

from .. import clock
from ..messages.records import MoveState

__all__ = ["register_gauges", "register_usage_gauges"]


def register_gauges(telemetry, state_cache, exchange):
    """Register the gauges of the replicated state.

    Parameters
    ----------
    telemetry : Telemetry
        Reads them at each export.
    state_cache : FleetStateCache
        The state as known to this process.
    exchange : Exchange
        Counts records that it dropped.
    """
    telemetry.register_gauge("revision", lambda: state_cache.state.revision)
    telemetry.register_gauge(
        "freshness_age",
        lambda: state_cache.freshness_age_s(clock.monotonic()),
    )
    telemetry.register_gauge(
        "dropped_records", lambda: exchange.dropped_records
    )
    telemetry.register_gauge(
        "move_fraction",
        lambda: {
            move.service: move.fraction
            for move in tuple(state_cache.state.moves.values())
            if move.state is MoveState.IN_PROGRESS
        },
    )


def register_usage_gauges(telemetry, replica):
    """Register the gauges of the usage reports.

    Parameters
    ----------
    telemetry : Telemetry
        Reads them at each export.
    replica : Replica
        The replica of this process.
    """
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
