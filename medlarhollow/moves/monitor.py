"""Measurements of a move since the current leader took over."""

import math

from .evidence import BaselineRate
from .planner import EXCESSES
from .regression import RegressionDetector

__all__ = ["MoveMonitor"]

_FALSE_ALARM_RATE = 0.01
# Samples that arrive within this time after a step may be from before it: they
# wait up to 0.5 s each at the VM and at a relay.
_SAMPLE_DELAY_S = 1.0
# Measurements have stopped if none arrived for this time, and for this many
# times their usual interval.
_MIN_SILENCE_S = 5.0
_SILENCE_INTERVALS = 4.0
_LOG_THRESHOLD = math.log(1 / _FALSE_ALARM_RATE)
# Evidence against the new version, as a fraction of the roll-back threshold,
# above which the next step waits.
_MAX_EVIDENCE_FRACTION = 0.1
# Fraction of the wealth that is bet; the rest survives a bad outcome.
_BET_FRACTION = 0.9


class MoveMonitor:
    """Evaluate the samples of a move.

    Parameters
    ----------
    move : Move
        Current state of the move; earlier measurements do not count.
    now : float
        Unix time in seconds.
    """

    def __init__(self, move, now):
        self._move = move
        self._detector = RegressionDetector(_FALSE_ALARM_RATE)
        self._baseline_rate = BaselineRate()
        self._start_step(now)

    @property
    def finding(self):
        """Description of the regression; empty if none was found."""
        return self._detector.finding

    def update(self, move, samples, now):
        """Apply the current move and the samples since the last call.

        Parameters
        ----------
        move : Move
            The move.
        samples : iterable of VersionSample
            Samples of any service and version.
        now : float
            Unix time in seconds.
        """
        if move.fraction != self._move.fraction:
            self._start_step(now)
        self._move = move
        for sample in samples:
            if sample.service != move.service or not sample.requests:
                continue
            if sample.version == move.to_version:
                self._detector.add(sample, new=True)
                self._count(sample, now)
            elif sample.version == move.from_version:
                self._detector.add(sample, new=False)
                self._baseline_rate.add(_count_bad(sample), sample.requests)
        self._detector.close()

    def has_ruled_out(self, excess, now):
        """Return whether an excess was ruled out since the last step.

        Parameters
        ----------
        excess : float
            Excess over the old version's rate of bad outcomes that must be
            ruled out; one of `EXCESSES`.
        now : float
            Unix time in seconds.

        Returns
        -------
        bool
            False also if measurements have stopped since, or if the evidence
            of a regression is above a tenth of the roll-back threshold.

        Notes
        -----
        Uses betting e-processes against the hypothesis that the new version
        is worse by that much (Waudby-Smith and Ramdas, "Estimating means of
        bounded random variables by betting", JRSS B 2024), at the 1% level.
        Smaller regressions are left to the regression detector.
        """
        if (
            self._log_wealth[excess] < _LOG_THRESHOLD
            or self._detector.evidence_fraction > _MAX_EVIDENCE_FRACTION
        ):
            return False
        interval_s = (
            self._last_sample_at - self._counted_from
        ) / self._requests
        return now - self._last_sample_at <= max(
            _MIN_SILENCE_S, _SILENCE_INTERVALS * interval_s
        )

    def _start_step(self, now):
        self._counted_from = now + _SAMPLE_DELAY_S
        self._last_sample_at = now
        self._requests = 0
        self._log_wealth = dict.fromkeys(EXCESSES, 0.0)

    def _count(self, sample, now):
        if now < self._counted_from:
            return
        bad = _count_bad(sample)
        good = sample.requests - bad
        log_loss = math.log(1 - _BET_FRACTION)
        for excess, log_wealth in self._log_wealth.items():
            # A high rate of bad outcomes of the old version, such as slow
            # responses, must not keep the new version from being proven.
            rate = self._baseline_rate.value
            rate += excess * (1 - rate)
            log_gain = math.log(1 - _BET_FRACTION + _BET_FRACTION / (1 - rate))
            # Bounds the loss of wealth, so that a new version can still be
            # proven before the next step after a temporary fault.
            self._log_wealth[excess] = max(
                log_wealth + good * log_gain + bad * log_loss, -_LOG_THRESHOLD
            )
        self._requests += sample.requests
        self._last_sample_at = now


def _count_bad(sample):
    bad = sample.errors + sample.slow + sample.unanswered
    return min(bad, sample.requests)
