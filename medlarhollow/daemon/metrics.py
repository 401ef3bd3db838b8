"""Gauges of the replicated state and the listener for metrics."""

import logging
import socket

from .. import clock
from ..messages.records import MoveState
from ..transport import parse_address
from .frontend import Listener

__all__ = ["make_metrics_listeners", "register_state_gauges"]

_LOG = logging.getLogger(__name__)


def register_state_gauges(telemetry, state_cache, exchange):
    """Register the gauges of the replicated state.

    Parameters
    ----------
    telemetry : Telemetry
        Receives the gauges.
    state_cache : FleetStateCache
        Supplies the state.
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
        "move_fraction",
        lambda: {
            move.service: move.fraction
            for move in tuple(state_cache.state.moves.values())
            if move.state is MoveState.IN_PROGRESS
        },
    )


def make_metrics_listeners(telemetry, address):
    """Return the metrics listener, or none if its address is not free.

    A missing metrics listener must not keep callers from being served.

    Parameters
    ----------
    telemetry : Telemetry
        Its metrics are served.
    address : str
        ``host:port`` to listen on.

    Returns
    -------
    list of Listener
        At most one.
    """
    # Imported only here, since the client library takes memory that
    # processes without metrics can spare.
    from ..telemetry.scrape import make_metrics_app

    try:
        socket.create_server(parse_address(address)).close()
    except OSError as error:
        _LOG.warning("daemon: cannot serve metrics at %s: %s", address, error)
        return []
    return [Listener(make_metrics_app(telemetry.metrics), address, "metrics")]
