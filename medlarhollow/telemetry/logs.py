"""JSON logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["set_up_logs"]


def set_up_logs(settings):
    """Send log records of all parts to standard error or a file as JSON.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``telemetry`` are read.
    """
    handler = logging.StreamHandler(sys.stderr)
    if settings.telemetry.log_file:
        handler = logging.FileHandler(settings.telemetry.log_file)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"vm": settings.vm.name},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.telemetry.log_level.upper())
