"""Demonstrate the system on one machine.

Starts three control replicas, four entry VMs in two data centres and four
fake backend servers, makes the requests of an operator and checks the result
of each step. Run it with ``make quickstart``; the exit code is 0 only if all
steps passed.
"""

import asyncio
import contextlib
import signal
import sys
import tempfile

import aiohttp

from .. import clock
from ..cli.client import AdminClient
from .fleet import LocalFleet
from .walkthrough import make_steps
from .walkthrough import Walkthrough

__all__ = ["main", "run_steps"]

# Time in seconds for all steps: with the stop of the fleet, the run has to end
# in under a minute.
RUN_LIMIT_S = 48.0
DATA_CENTRES = (("north", "north-a", 2), ("south", "south-a", 2))
FAILURE_LOG_LINES = 10
OPTIONS = {"entry": {"drain_notice_s": "0.5", "drain_limit_s": "3"}}
# Each data centre has one backend server of each version.
BACKENDS = (
    ("plots-1", "1", "north-a-1", "north-a-2"),
    ("plots-2", "1", "south-a-1", "south-a-2"),
    ("plots-3", "2", "north-a-1", "north-a-2"),
    ("plots-4", "2", "south-a-1", "south-a-2"),
)


async def run_steps(steps, started_at, out=None):
    """Run steps one after the other and print the result of each.

    Parameters
    ----------
    steps : list of (str, callable)
        Name and coroutine function of each step, which returns a message or
        raises if the step failed.
    started_at : float
        Monotonic time in seconds at which the run began.
    out : callable or None
        Called with each line of output; None to print it.

    Returns
    -------
    int
        Number of failed steps.
    """
    out = out or _print
    failed = 0
    for name, step in steps:
        step_started_at = clock.monotonic()
        try:
            remaining_s = started_at + RUN_LIMIT_S - step_started_at
            async with asyncio.timeout(remaining_s):
                message, status = await step(), "ok"
        except TimeoutError as error:
            message, status = str(error) or "took too long", "FAILED"
        except (AssertionError, aiohttp.ClientError, OSError) as error:
            message, status = str(error) or type(error).__name__, "FAILED"
        failed += status != "ok"
        now = clock.monotonic()
        out(
            f"{now - started_at:6.1f} s  {status:6}  {name}: {message} "
            f"({now - step_started_at:.2f} s)"
        )
    return failed


def _print(line):
    print(line, flush=True)


async def _run(fleet, started_at):
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    timeout = aiohttp.ClientTimeout(total=3.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        addresses = [
            fleet.addresses[name].admin
            for name in fleet.addresses
            if name.startswith("control-")
        ]
        admin = AdminClient(session, addresses, fleet.operator_token, 10.0)
        walkthrough = Walkthrough(fleet, admin, session)
        return await run_steps(make_steps(walkthrough), started_at)


class _InterruptHandler:
    """Raise `KeyboardInterrupt` on SIGTERM and SIGINT, at once or deferred.

    Signals are deferred while processes start: an exception would leave a
    process running that exists but is not yet recorded.
    """

    def __init__(self):
        self._is_deferring = False
        self._is_pending = False

    def install(self):
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._handle)

    @contextlib.contextmanager
    def defer(self):
        self._is_deferring = True
        try:
            yield
        finally:
            self._is_deferring = False
        if self._is_pending:
            raise KeyboardInterrupt

    def _handle(self, signal_number, frame):
        if not self._is_deferring:
            raise KeyboardInterrupt
        self._is_pending = True


def main():
    """Run the quick start.

    Returns
    -------
    int
        0 if all steps passed and all processes stopped gracefully, 1 if not,
        130 if the run was interrupted.
    """
    started_at = clock.monotonic()
    interrupts = _InterruptHandler()
    interrupts.install()
    with tempfile.TemporaryDirectory(prefix="medlarhollow-") as folder:
        fleet = LocalFleet(folder, 3, DATA_CENTRES, OPTIONS)
        for name, version, *entry_vms in BACKENDS:
            fleet.add_backend(
                name,
                "plots",
                version,
                "plots-credential",
                *entry_vms,
                options=("--latency-ms", "2"),
            )
        try:
            with interrupts.defer():
                fleet.start()
            failed = asyncio.run(_run(fleet, started_at))
            # The event loop has restored the default handlers, which would
            # leave the processes running.
            interrupts.install()
            codes = fleet.stop()
            logs = {name: fleet.processes[name].log for name in codes}
        except (asyncio.CancelledError, KeyboardInterrupt):
            print("interrupted; all processes are stopped", file=sys.stderr)
            return 130
        finally:
            fleet.kill()
    elapsed_s = clock.monotonic() - started_at
    unclean = {name: code for name, code in codes.items() if code != 0}
    status = "FAILED" if unclean else "ok"
    message = f"{len(codes)} processes" if not unclean else str(unclean)
    print(f"{elapsed_s:6.1f} s  {status:6}  graceful stop: {message}")
    for name in unclean:
        print(f"last lines of {name}:", file=sys.stderr)
        print(
            *logs[name].splitlines()[-FAILURE_LOG_LINES:],
            sep="\n",
            file=sys.stderr,
        )
    if failed or unclean:
        print("some steps failed")
        return 1
    print("all steps passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
