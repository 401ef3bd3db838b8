"""What the leader has measured of a move since it began to lead."""

import math

from .evidence import BaselineRate
from .planner import EXCESSES
from .regression import RegressionDetector

__all__ = ["MoveMonitor"]

_FALSE_ALARM_RATE = 0.01
# Samples that arrive within this time of a step may be from before it: they
# wait up to 0.5 s at the VM and at a relay.
_LAG_S = 1.0
# Measurements that stay away for this long, and for several times their usual
# distance, have stopped.
_SILENCE_S = 5.0
_SILENCE_GAPS = 4.0
_PROOF = math.log(1 / _FALSE_ALARM_RATE)
# Evidence against the new version, as a part of what suffices to roll it
# back, above which the next step waits.
_DOUBT = 0.1
# Part of the wealth that is bet; the rest survives a bad answer.
_BET = 0.9


class MoveMonitor:
    """Collect samples of a move and tell what they prove.

    Parameters
    ----------
    move : Move
        The move as it is now; nothing measured earlier counts.
    now : float
        Unix time in seconds.
    """

    def __init__(self, move, now):
        self._move = move
        self._judge = RegressionDetector(_FALSE_ALARM_RATE)
        self._old_rate = BaselineRate()
        self._begin_step(now)

    @property
    def finding(self):
        """What is wrong with the new version; empty if nothing is known."""
        return self._judge.finding

    def update(self, move, samples, now):
        """Take the move as it is now and the samples since the last call.

        Parameters
        ----------
        move : Move
            The move.
        samples : iterable of VersionSample
            Of any service and version.
        now : float
            Unix time in seconds.
        """
        if move.fraction != self._move.fraction:
            self._begin_step(now)
        self._move = move
        for sample in samples:
            if sample.service != move.service or not sample.requests:
                continue
            if sample.version == move.to_version:
                self._judge.add(sample, new=True)
                self._count(sample, now)
            elif sample.version == move.from_version:
                self._judge.add(sample, new=False)
                self._old_rate.add(_count_bad(sample), sample.requests)
        self._judge.close()

    def has_ruled_out(self, excess, now):
        """Tell whether enough good answers were measured since the step.

        Parameters
        ----------
        excess : float
            The rate of bad answers above that of the old version that must be
            ruled out; one of `EXCESSES`.
        now : float
            Unix time in seconds.

        Returns
        -------
        bool
            False also if measurements have stopped since.

        Notes
        -----
        Betting e-processes against the hypothesis that the new version is
        worse by that much (Waudby-Smith and Ramdas, "Estimating means of
        bounded random variables by betting", JRSS B 2024), at the 1% level.
        Smaller faults are found by the judge.
        """
        if (
            self._logs[excess] < _PROOF
            or self._judge.evidence_fraction > _DOUBT
        ):
            return False
        gap_s = (self._last_at - self._since) / self._requests
        return now - self._last_at <= max(_SILENCE_S, _SILENCE_GAPS * gap_s)

    def _begin_step(self, now):
        self._since = now + _LAG_S
        self._last_at = now
        self._requests = 0
        self._logs = dict.fromkeys(EXCESSES, 0.0)

    def _count(self, sample, now):
        if now < self._since:
            return
        bad = _count_bad(sample)
        good = sample.requests - bad
        lost = math.log(1 - _BET)
        for excess, log in self._logs.items():
            # Where the old version has many bad answers too, as slow ones,
            # they must not keep the new version from being proven.
            rate = self._old_rate.value
            rate += excess * (1 - rate)
            won = math.log(1 - _BET + _BET / (1 - rate))
            # The wealth is kept from falling so low that a fault that has
            # ended could not be made up for before the next step.
            self._logs[excess] = max(log + good * won + bad * lost, -_PROOF)
        self._requests += sample.requests
        self._last_at = now


def _count_bad(sample):
    bad = sample.errors + sample.slow + sample.unanswered
    return min(bad, sample.requests)
