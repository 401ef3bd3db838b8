"""Gauges of the replicated state."""

from .. import clock
from ..messages.records import MoveState

__all__ = [
    "register_entry_gauges",
    "read_division_steps",
    "read_move_fractions",
    "register_gauges",
    "register_usage_gauges",
]


def register_gauges(telemetry, state_cache, exchange):
    """Register the gauges of a process.

    Parameters
    ----------
    telemetry : Telemetry
        Reads them at each export, on another thread.
    state_cache : FleetStateCache
        The replicated state.
    exchange : Exchange
        Counts the records that it dropped.
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
        "move_fraction", lambda: read_move_fractions(state_cache.state)
    )
    telemetry.register_gauge(
        "division_steps", lambda: read_division_steps(state_cache.state)
    )


def register_entry_gauges(telemetry, vm):
    """Register the gauges of an entry VM.

    Parameters
    ----------
    telemetry : Telemetry
        Reads them at each export, on another thread.
    vm : EntryVm
        Components of the entry VM.
    """
    telemetry.register_gauge("queue_length", lambda: vm.queued)
    telemetry.register_gauge(
        "concurrency_limit", vm.dispatcher.list_concurrency_limits
    )


def read_move_fractions(state):
    """Return the fraction of each move in progress by service."""
    return {
        move.service: move.fraction
        for move in tuple(state.moves.values())
        if move.state is MoveState.IN_PROGRESS
    }


def read_division_steps(state):
    """Return the steps of committed divisions.

    Parameters
    ----------
    state : FleetState
        Provides the divisions.

    Returns
    -------
    dict of str to int
        By caller region, server region, service and version, such as
        ``east>north plots 1``.
    """
    return {
        f"{division.caller_region}>{record.region} "
        f"{division.service} {division.version}": record.steps
        for division in tuple(state.divisions.values())
        for record in division.steps
    }


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
