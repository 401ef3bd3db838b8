"""Faults of a fake backend server, for tests and experiments."""

import attrs

__all__ = ["LOAD_REPORTS", "Faults"]

# How the load endpoint answers: truly, always idle, always busy, or with
# what was true when the server started.
LOAD_REPORTS = ("true", "idle", "busy", "frozen")
_COLD_FACTOR = 10.0


@attrs.frozen(kw_only=True)
class Faults:
    """Describe how a fake backend server misbehaves.

    Attributes
    ----------
    latency_ms : float
        Time that each request takes.
    latency_spread_ms : float
        Largest random addition to it.
    error_rate : float
        Part of requests answered with status 500, 0 to 1.
    fault_after_s : float
        Age of the server after which errors, added latency and silence
        begin.
    slow_start_s : float
        Age up to which requests take longer: ten times at first, falling
        to once.
    silent : bool
        Whether requests are taken but never answered.
    load_report : str
        One of `LOAD_REPORTS`.
    """

    latency_ms: float = 0.0
    latency_spread_ms: float = 0.0
    error_rate: float = 0.0
    fault_after_s: float = 0.0
    slow_start_s: float = 0.0
    silent: bool = False
    load_report: str = attrs.field(
        default="true", validator=attrs.validators.in_(LOAD_REPORTS)
    )

    def is_silent(self, age_s):
        """Return whether a request gets no answer at an age in seconds."""
        return self.silent and age_s >= self.fault_after_s

    def fails(self, age_s, draw):
        """Return whether a request fails.

        Parameters
        ----------
        age_s : float
            Age of the server in seconds.
        draw : float
            Random number from 0 to 1.
        """
        return age_s >= self.fault_after_s and draw < self.error_rate

    def latency_s(self, age_s, draw):
        """Return how long a request takes, in seconds.

        Parameters
        ----------
        age_s : float
            Age of the server in seconds.
        draw : float
            Random number from 0 to 1.
        """
        latency_ms = 0.0
        if age_s >= self.fault_after_s:
            latency_ms = self.latency_ms + self.latency_spread_ms * draw
        if age_s < self.slow_start_s:
            warm = age_s / self.slow_start_s
            latency_ms *= _COLD_FACTOR - (_COLD_FACTOR - 1) * warm
        return latency_ms / 1000

    def load(self, in_flight, slots):
        """Return the load that the server reports, 0 to 1."""
        if self.load_report in ("idle", "frozen"):
            return 0.0
        if self.load_report == "busy":
            return 1.0
        return min(in_flight / slots, 1.0)
