"""Anytime-valid evidence that one version performs worse than another.

The evidence is an e-process: a nonnegative process whose expectation is at
most 1 at every stopping time while both versions perform alike. It reaches
100 with a probability of at most 1%, however often it is checked (Ville's
inequality).

A block of requests served in the same period contributes the e-variable of
Turner, Ly and Grünwald, "Generic E-variables for exact sequential k-sample
tests that allow for optional stopping", Journal of Statistical Planning and
Inference 230 (2024). It is exact for any number of requests, and does not
require the rate of bad outcomes to stay the same from block to block.

Restarts at every block, each with a fraction of the initial wealth, detect a
late change (Shin, Ramdas and Rinaldo, "E-detectors: a nonparametric
framework for sequential change detection", New England Journal of Statistics
in Data Science 2024). The fractions sum to 1, which preserves the bound on
the false alarm rate over the whole move; a detector with a bounded average run
length would not.
"""

import math

import attrs

__all__ = ["ALTERNATIVES", "BaselineRate", "Evidence", "compare"]

# Alternative hypotheses for the new version's rate of bad outcomes, as a ratio
# to the old version's rate and as excesses over it. The smaller ones detect
# small differences, the larger ones need few requests.
_RATE_RATIO = 3.0
_RATE_EXCESSES = (0.02, 0.08, 0.25, 0.5, 0.9)
ALTERNATIVES = 1 + len(_RATE_EXCESSES)
_MAX_RATE = 0.99


@attrs.define
class BaselineRate:
    """Estimate of the old version's rate of bad outcomes from past blocks.

    A poor estimate weakens the test but does not raise its false alarm rate.
    The estimate starts at 1% with the weight of 20 requests, and halves the
    weight of past blocks every 2000 requests.
    """

    _bad: float = 0.2
    _count: float = 20.0

    @property
    def value(self):
        """Rate of bad outcomes, above 0 and below 1."""
        return min(self._bad / self._count, 0.9)

    def add(self, bad, count):
        """Add the counts of a block."""
        self._bad += bad
        self._count += count
        if self._count > 2000:
            self._bad /= 2
            self._count /= 2


@attrs.define
class Evidence:
    """Wealth of bets on each alternative, restarted at every block.

    Notes
    -----
    ``wealth_t = factor_t x (wealth_{t-1} + fraction_t)``, where the fractions
    sum to 1: fraction ``j`` is ``1 / log2(j + 1) - 1 / log2(j + 2)``. Stored
    as logarithms.
    """

    _log_wealth: list = attrs.field(factory=lambda: [-math.inf] * ALTERNATIVES)
    _blocks: int = 0

    @property
    def wealth(self):
        """Mean wealth over the alternatives."""
        return (
            math.fsum(_exp(log_wealth) for log_wealth in self._log_wealth)
            / ALTERNATIVES
        )

    def add(self, log_factors):
        """Multiply the wealth by the factors of one block.

        Parameters
        ----------
        log_factors : sequence of float
            Logarithms, one for each alternative, from :func:`compare`.
        """
        self._blocks += 1
        fraction = 1 / math.log2(self._blocks + 1) - 1 / math.log2(
            self._blocks + 2
        )
        for index, log_factor in enumerate(log_factors):
            wealth = _exp(self._log_wealth[index]) + fraction
            self._log_wealth[index] = log_factor + math.log(wealth)


def compare(old_rate, new_bad, new_count, old_bad, old_count):
    """Return the e-variables of one block.

    Parameters
    ----------
    old_rate : float
        Estimated rate of the old version, from earlier blocks only.
    new_bad, new_count, old_bad, old_count : float
        Bad outcomes and all requests of both versions in the same period.

    Returns
    -------
    list of float
        Their logarithms, one for each alternative. The expectation of each
        e-variable is at most 1 if the new version's rate of bad outcomes is
        not above that of the old one.
    """
    log_factors = []
    for new_rate in _alternatives(old_rate):
        pooled_rate = (new_count * new_rate + old_count * old_rate) / (
            new_count + old_count
        )
        log_factors.append(
            new_bad * math.log(new_rate / pooled_rate)
            + (new_count - new_bad)
            * math.log((1 - new_rate) / (1 - pooled_rate))
            + old_bad * math.log(old_rate / pooled_rate)
            + (old_count - old_bad)
            * math.log((1 - old_rate) / (1 - pooled_rate))
        )
    return log_factors


def _alternatives(old_rate):
    yield min(old_rate * _RATE_RATIO, _MAX_RATE)
    for excess in _RATE_EXCESSES:
        yield min(old_rate + excess * (1 - old_rate), _MAX_RATE)


def _exp(log_wealth):
    # Prevents an overflow of exp, far above every threshold.
    return math.exp(min(log_wealth, 600.0))
