"""RegressionDetector of a new version, by route and region."""

import attrs

from .evidence import BaselineRate
from .evidence import compare
from .evidence import Evidence

__all__ = ["RegressionDetector"]

# Differences that are not held against a new version: cold caches make its
# first answers slower, and its first connections fail now and then.
_MARGINS = {"errors": 0.002, "slow": 0.02, "unanswered": 0.002}
_KINDS = tuple(_MARGINS)


@attrs.define
class _Counts:
    """Counts of both versions in a period that has not been judged yet."""

    new: dict = attrs.field(factory=lambda: dict.fromkeys(_KINDS, 0))
    old: dict = attrs.field(factory=lambda: dict.fromkeys(_KINDS, 0))
    new_requests: int = 0
    old_requests: int = 0


@attrs.define
class _Stratum:
    """Evidence on one route in one region."""

    part: float
    rates: dict = attrs.field(
        factory=lambda: {kind: BaselineRate() for kind in _KINDS}
    )
    evidence: dict = attrs.field(
        factory=lambda: {kind: Evidence() for kind in _KINDS}
    )


class RegressionDetector:
    """Compare a new version with the old one over the same periods.

    Parameters
    ----------
    false_alarm_rate : float
        Bound on the probability that a version that answers like the old one
        is ever found bad.

    Notes
    -----
    Half of the wealth is bet on the new version being worse on all routes and
    in all regions alike, which needs the fewest requests; the other half on
    it being worse on a single route in a single region. The parts of routes
    and regions, in the order in which they appear, are ``1 / (i (i + 1))``,
    which sum to 1. The kinds of bad answer have a third each.

    When a block ends must not depend on how requests were answered; it ends
    when :meth:`close` is called.
    """

    def __init__(self, false_alarm_rate):
        self._threshold = 1 / false_alarm_rate
        self._open = {}
        self._strata = {}
        self._common = {kind: Evidence() for kind in _KINDS}
        self._finding = ""
        self._doubt = 0.0

    @property
    def finding(self):
        """What is wrong with the new version; empty if nothing is known."""
        return self._finding

    @property
    def evidence_fraction(self):
        """Evidence against the new version as a part of what suffices."""
        return self._doubt

    def add(self, sample, new):
        """Count a sample.

        Parameters
        ----------
        sample : VersionSample
            Of the new or the old version.
        new : bool
            Whether it is of the new version.
        """
        place = (sample.route, sample.region)
        counts = self._open.setdefault(place, _Counts())
        bad = counts.new if new else counts.old
        for kind in _KINDS:
            bad[kind] += min(getattr(sample, kind), sample.requests)
        if new:
            counts.new_requests += sample.requests
        else:
            counts.old_requests += sample.requests

    def count(self, route, region):
        """Return the requests of both versions in the open block.

        Returns
        -------
        tuple of (int, int)
            Of the new and of the old version.
        """
        counts = self._open.get((route, region))
        if counts is None:
            return 0, 0
        return counts.new_requests, counts.old_requests

    def close(self):
        """End the block of each route and region that has both versions.

        The others stay open until there is something to compare.
        """
        ready = {
            place: counts
            for place, counts in self._open.items()
            if counts.new_requests and counts.old_requests
        }
        if not ready:
            return
        for place in ready:
            del self._open[place]
        for kind in _KINDS:
            self._close_kind(kind, ready)
        if not self._finding:
            self._finding = self._find()

    def _close_kind(self, kind, ready):
        total = None
        for place, counts in ready.items():
            stratum = self._stratum(place)
            # Bad answers added to the old version only lower the evidence.
            old_bad = min(
                counts.old[kind] + _MARGINS[kind] * counts.old_requests,
                counts.old_requests,
            )
            factors = compare(
                stratum.rates[kind].value,
                counts.new[kind],
                counts.new_requests,
                old_bad,
                counts.old_requests,
            )
            stratum.rates[kind].add(old_bad, counts.old_requests)
            stratum.evidence[kind].add(factors)
            total = (
                factors
                if total is None
                else [a + b for a, b in zip(total, factors, strict=True)]
            )
        self._common[kind].add(total)

    def _stratum(self, place):
        stratum = self._strata.get(place)
        if stratum is None:
            number = len(self._strata) + 1
            stratum = _Stratum(1 / (number * (number + 1)))
            self._strata[place] = stratum
        return stratum

    def _find(self):
        share = 0.5 / len(_KINDS)
        total = 0.0
        largest = (0.0, "")
        for kind in _KINDS:
            parts = [(self._common[kind].wealth, f"{kind} on all routes")]
            parts += [
                (
                    stratum.part * stratum.evidence[kind].wealth,
                    f"{kind} on route '{place[0]}' in region '{place[1]}'",
                )
                for place, stratum in self._strata.items()
            ]
            total += share * sum(wealth for wealth, _ in parts)
            largest = max(largest, *parts)
        self._doubt = total / self._threshold
        if self._doubt < 1:
            return ""
        return f"worse than the old version: {largest[1]}"
