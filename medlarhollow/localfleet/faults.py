"""Faults that a fake backend server injects, for tests and experiments."""

import attrs

__all__ = ["LOAD_REPORTS", "Faults"]

# What the load endpoint reports: the true load, always idle, always busy, or
# the load at the start of the server.
LOAD_REPORTS = ("true", "idle", "busy", "frozen")
_COLD_LATENCY_FACTOR = 10.0


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of a fake backend server.

    Attributes
    ----------
    latency_ms : float
        Latency of each request in milliseconds.
    latency_spread_ms : float
        Largest random addition to the latency, in milliseconds.
    error_rate : float
        Fraction of requests that fail with status 500, 0 to 1.
    fault_after_s : float
        Age of the server in seconds after which errors, added latency and
        silence begin.
    slow_start_s : float
        Age in seconds up to which the latency is multiplied, by a factor
        that falls linearly from 10 to 1.
    silent : bool
        Whether requests are accepted but get no response.
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
        """Return whether a request gets no response at an age in seconds."""
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
        """Return the latency of a request in seconds.

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
            progress = age_s / self.slow_start_s
            latency_ms *= (
                _COLD_LATENCY_FACTOR - (_COLD_LATENCY_FACTOR - 1) * progress
            )
        return latency_ms / 1000

    def reported_load(self, in_flight, slots):
        """Return the reported load, 0 to 1."""
        if self.load_report in ("idle", "frozen"):
            return 0.0
        if self.load_report == "busy":
            return 1.0
        return min(in_flight / slots, 1.0)
