"""Detection of regressions in a new version, by route and region."""

import attrs

from .evidence import BaselineRate
from .evidence import compare
from .evidence import Evidence

__all__ = ["RegressionDetector"]

# Differences that do not count against a new version: cold caches make its
# first responses slower, and its first connections fail occasionally.
_TOLERATED_EXCESS = {"errors": 0.002, "slow": 0.02, "unanswered": 0.002}
_KINDS = tuple(_TOLERATED_EXCESS)


@attrs.define
class _Counts:
    """Counts of both versions in an open block."""

    new: dict = attrs.field(factory=lambda: dict.fromkeys(_KINDS, 0))
    old: dict = attrs.field(factory=lambda: dict.fromkeys(_KINDS, 0))
    new_requests: int = 0
    old_requests: int = 0


@attrs.define
class _Stratum:
    """Evidence for one route in one region."""

    weight: float
    baseline_rates: dict = attrs.field(
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
        Bound on the probability that a version that performs like the old one
        is ever reported as worse.

    Notes
    -----
    Half of the wealth is bet on the new version being worse on all routes and
    in all regions alike, which needs the fewest requests; the other half on
    it being worse on a single route in a single region. The weights of the
    strata (pairs of route and region), in order of appearance, are
    ``1 / (i (i + 1))``, which sum to 1. Each kind of bad outcome has a third
    of the wealth.

    The end of a block must not depend on the outcomes of its requests; a
    block ends when :meth:`close` is called.
    """

    def __init__(self, false_alarm_rate):
        self._threshold = 1 / false_alarm_rate
        self._open_blocks = {}
        self._strata = {}
        self._pooled_evidence = {kind: Evidence() for kind in _KINDS}
        self._finding = ""
        self._evidence_fraction = 0.0

    @property
    def finding(self):
        """Description of the regression; empty if none was found."""
        return self._finding

    @property
    def evidence_fraction(self):
        """Evidence against the new version as a fraction of the threshold."""
        return self._evidence_fraction

    def add(self, sample, new):
        """Add a sample to the open block.

        Parameters
        ----------
        sample : VersionSample
            Sample of the new or the old version.
        new : bool
            Whether the sample is of the new version.
        """
        key = (sample.route, sample.region)
        counts = self._open_blocks.setdefault(key, _Counts())
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
        counts = self._open_blocks.get((route, region))
        if counts is None:
            return 0, 0
        return counts.new_requests, counts.old_requests

    def close(self):
        """End the open blocks that have requests of both versions.

        The others stay open until there is something to compare.
        """
        complete = {
            key: counts
            for key, counts in self._open_blocks.items()
            if counts.new_requests and counts.old_requests
        }
        if not complete:
            return
        for key in complete:
            del self._open_blocks[key]
        for kind in _KINDS:
            self._close_kind(kind, complete)
        if not self._finding:
            self._finding = self._evaluate()

    def _close_kind(self, kind, complete):
        total = None
        for key, counts in complete.items():
            stratum = self._stratum(key)
            # Adding bad outcomes to the old version only lowers the evidence.
            old_bad = min(
                counts.old[kind]
                + _TOLERATED_EXCESS[kind] * counts.old_requests,
                counts.old_requests,
            )
            log_factors = compare(
                stratum.baseline_rates[kind].value,
                counts.new[kind],
                counts.new_requests,
                old_bad,
                counts.old_requests,
            )
            stratum.baseline_rates[kind].add(old_bad, counts.old_requests)
            stratum.evidence[kind].add(log_factors)
            total = (
                log_factors
                if total is None
                else [a + b for a, b in zip(total, log_factors, strict=True)]
            )
        self._pooled_evidence[kind].add(total)

    def _stratum(self, key):
        stratum = self._strata.get(key)
        if stratum is None:
            rank = len(self._strata) + 1
            stratum = _Stratum(1 / (rank * (rank + 1)))
            self._strata[key] = stratum
        return stratum

    def _evaluate(self):
        kind_weight = 0.5 / len(_KINDS)
        total = 0.0
        largest = (0.0, "")
        for kind in _KINDS:
            candidates = [
                (self._pooled_evidence[kind].wealth, f"{kind} on all routes")
            ]
            candidates += [
                (
                    stratum.weight * stratum.evidence[kind].wealth,
                    f"{kind} on route '{key[0]}' in region '{key[1]}'",
                )
                for key, stratum in self._strata.items()
            ]
            total += kind_weight * sum(wealth for wealth, _ in candidates)
            largest = max(largest, *candidates)
        self._evidence_fraction = total / self._threshold
        if self._evidence_fraction < 1:
            return ""
        return f"worse than the old version: {largest[1]}"
