"""One process of a local fleet."""

import pathlib
import signal
import subprocess
import sys

__all__ = ["LocalProcess"]

_STOP_TIMEOUT_S = 40.0


class LocalProcess:
    """Start, signal and stop one process.

    Parameters
    ----------
    name : str
        Name of the process and of its log file.
    arguments : list of str
        Arguments of ``python -m``.
    folder : pathlib.Path
        Folder of the log file.
    """

    def __init__(self, name, arguments, folder):
        self._name = name
        self._arguments = arguments
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._process = None

    @property
    def name(self):
        """Name of the process."""
        return self._name

    @property
    def pid(self):
        """Identifier of the started process."""
        return self._process.pid

    @property
    def log(self):
        """Output that the process has written so far."""
        return self._log.read_text() if self._log.exists() else ""

    @property
    def exit_code(self):
        """Exit code, or None while the process runs."""
        return self._process.poll()

    def start(self):
        """Start the process."""
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number):
        """Send a signal such as `signal.SIGSTOP`, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(_STOP_TIMEOUT_S)

    def stop(self):
        """Stop the process gracefully.

        Returns
        -------
        int
            Its exit code.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self):
        """Wait until the process has ended; kill it after a timeout.

        Returns
        -------
        int
            Its exit code; 0 if it was never started.
        """
        if self._process is None:
            return 0
        try:
            return self._process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
