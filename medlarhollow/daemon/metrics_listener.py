"""Listener that serves the metrics of a process."""

import logging
import socket

from ..transport import parse_address
from .frontend import Listener

__all__ = ["make_metrics_listeners"]

_LOG = logging.getLogger(__name__)


def make_metrics_listeners(settings, telemetry):
    """Return the metrics listener, or none if its address is not free.

    A missing metrics listener must not keep callers from being served.

    Parameters
    ----------
    settings : Settings
        ``[telemetry] metrics_listen`` is read; empty for no listener.
    telemetry : Telemetry
        Its metrics are served.

    Returns
    -------
    list of Listener
        At most one.
    """
    address = settings.telemetry.metrics_listen
    if not address:
        return []
    # Imported only here, since the client library takes memory that
    # processes without metrics can spare.
    from ..telemetry.scrape import make_metrics_app

    try:
        socket.create_server(parse_address(address)).close()
    except OSError as error:
        _LOG.warning("daemon: cannot serve metrics at %s: %s", address, error)
        return []
    return [Listener(make_metrics_app(telemetry.metrics), address, "metrics")]
