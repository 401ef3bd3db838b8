"""Entry point of the daemon."""

import argparse
import asyncio
import logging
import sys

import uvloop

from ..errors import FailureError
from ..settings import load_settings
from ..settings import SettingsError
from ..telemetry import configure_logging
from .process import run_process

__all__ = ["EXIT_BAD_SETTINGS", "main", "run_daemon"]

_LOG = logging.getLogger(__name__)
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 4


def main(arguments=None):
    """Read the settings and run until SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str or None
        Command line arguments; None for those of the process.

    Returns
    -------
    int
        0 after a graceful stop, 2 for invalid settings, 3 if the stop
        aborted a request, 4 if the data folder cannot be used.
    """
    parser = argparse.ArgumentParser(
        prog="medlarhollowd", description="Daemon of medlarhollow."
    )
    parser.add_argument("settings", help="INI file")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print(f"{options.settings}: no faults")
        return 0
    return run_daemon(settings)


def run_daemon(settings, frontend=None):
    """Run the roles of this process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    frontend : Frontend or None
        HTTP interface; None for the default one.

    Returns
    -------
    int
        0 after a graceful stop, 3 if the stop aborted a request, 4 if the
        data folder cannot be used.
    """
    configure_logging(settings)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run_process(settings, frontend))
    except FailureError as error:
        kind = error.failure.kind.name.lower()
        _LOG.critical("daemon: cannot start, %s: %s", kind, error)
        return EXIT_CANNOT_START
