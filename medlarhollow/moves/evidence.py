"""Evidence that one version answers worse than another, at any time.

The evidence is an e-process: a nonnegative process whose expectation is at
most 1 at every stopping time while both versions answer alike. It reaches 100
with a probability of at most 1%, however often it is looked at (Ville's
inequality).

A block of requests served in the same period contributes the e-variable of
Turner, Ly and Grünwald, "Generic E-variables for exact sequential k-sample
tests that allow for optional stopping", Journal of Statistical Planning and
Inference 230 (2024). It is exact for any number of requests, and does not
require the rate of bad answers to stay the same from block to block.

Restarts at every block, each with a part of the initial wealth, find a change
that comes late (Shin, Ramdas and Rinaldo, "E-detectors: a nonparametric
framework for sequential change detection", New England Journal of Statistics
in Data Science 2024). The parts sum to 1, so that the false alarm rate over
the whole move keeps its bound; a detector with a bounded run length would
not.
"""

import math

import attrs

__all__ = ["ALTERNATIVES", "Evidence", "BaselineRate", "compare"]

# Rates of bad answers of a bad version, given the old version's rate. Small
# differences need the first ones, few requests the last ones.
_RATIO = 3.0
_EXCESSES = (0.02, 0.08, 0.25, 0.5, 0.9)
ALTERNATIVES = 1 + len(_EXCESSES)
_HIGHEST_RATE = 0.99


@attrs.define
class BaselineRate:
    """Estimate the old version's rate of bad answers from past blocks.

    A poor estimate weakens the test but does not raise its false alarm rate.
    The estimate starts at 1% with the weight of 20 requests, and halves the
    weight of the past every 2000 requests.
    """

    _bad: float = 0.2
    _count: float = 20.0

    @property
    def value(self):
        """Rate of bad answers, above 0 and below 1."""
        return min(self._bad / self._count, 0.9)

    def add(self, bad, count):
        """Take the counts of a block."""
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
    ``wealth_t = factor_t x (wealth_{t-1} + part_t)``, where the parts sum to
    1: part ``j`` is ``1 / log2(j + 1) - 1 / log2(j + 2)``. Kept as logarithms.
    """

    _logs: list = attrs.field(factory=lambda: [-math.inf] * ALTERNATIVES)
    _blocks: int = 0

    @property
    def wealth(self):
        """Mean wealth over the alternatives."""
        return math.fsum(_exp(log) for log in self._logs) / ALTERNATIVES

    def add(self, factors):
        """Multiply the wealth by the factors of one block.

        Parameters
        ----------
        factors : sequence of float
            Logarithms, one for each alternative, from :func:`compare`.
        """
        self._blocks += 1
        part = 1 / math.log2(self._blocks + 1) - 1 / math.log2(
            self._blocks + 2
        )
        for index, factor in enumerate(factors):
            wealth = _exp(self._logs[index]) + part
            self._logs[index] = factor + math.log(wealth)


def compare(old_rate, new_bad, new_count, old_bad, old_count):
    """Return the e-variables of one block.

    Parameters
    ----------
    old_rate : float
        Estimate of the old version's rate from earlier blocks only.
    new_bad, new_count, old_bad, old_count : float
        Bad answers and all requests of both versions in the same period.

    Returns
    -------
    list of float
        Their logarithms, one for each alternative. The expectation of each
        e-variable is at most 1 if the new version's rate of bad answers is
        not above that of the old one.
    """
    factors = []
    for new_rate in _alternatives(old_rate):
        mixed = (new_count * new_rate + old_count * old_rate) / (
            new_count + old_count
        )
        factors.append(
            new_bad * math.log(new_rate / mixed)
            + (new_count - new_bad) * math.log((1 - new_rate) / (1 - mixed))
            + old_bad * math.log(old_rate / mixed)
            + (old_count - old_bad) * math.log((1 - old_rate) / (1 - mixed))
        )
    return factors


def _alternatives(old_rate):
    yield min(old_rate * _RATIO, _HIGHEST_RATE)
    for excess in _EXCESSES:
        yield min(old_rate + excess * (1 - old_rate), _HIGHEST_RATE)


def _exp(log):
    # Beyond this the verdict is clear, and exp would overflow.
    return math.exp(min(log, 600.0))
