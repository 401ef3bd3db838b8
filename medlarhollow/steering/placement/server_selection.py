"""Load-based selection of the backend server for a request."""

import collections.abc

import attrs

__all__ = [
    "Candidate",
    "LazyCandidates",
    "choose_server",
    "effective_slots",
    "make_candidate",
    "score_candidate",
]

# Fraction of its slots at which a new server begins slow start.
_COLD_FRACTION = 0.1
# Reported load raises a score by at most this fraction, fading to nothing at
# the maximum age. Unlike requests in flight, it can be stale or wrong.
_LOAD_WEIGHT = 0.5
_MAX_LOAD_AGE_S = 3.0


@attrs.frozen
class Candidate:
    """A server with the figures that decide its selection.

    Attributes
    ----------
    view : ServerView
        The server.
    in_flight : int
        Known requests of all VMs of the data centre.
    slots : float
        Effective slots, reduced during slow start.
    free_slots : int
        Requests that this VM may add to it.
    is_cold : bool
        Whether the request rate to it is currently limited.
    unused_slots : int
        Slots not used by any VM, regardless of the share of this one.
    """

    view: object
    in_flight: int
    slots: float
    free_slots: int
    is_cold: bool = False
    unused_slots: int = attrs.field(
        default=attrs.Factory(lambda self: self.free_slots, takes_self=True)
    )


class LazyCandidates(collections.abc.Sequence):
    """Sequence of the candidates of a pool, built on first access.

    Parameters
    ----------
    ranking : RendezvousRanking
        The servers and their ranking for each object.
    make : callable
        Returns the `Candidate` at an index.
    """

    def __init__(self, ranking, make):
        self._ranking = ranking
        self._make_candidate = make
        self._cache = {}

    def __len__(self):
        return len(self._ranking.servers)

    def __getitem__(self, index):
        candidate = self._cache.get(index)
        if candidate is None:
            if not 0 <= index < len(self):
                raise IndexError(index)
            candidate = self._cache[index] = self._make_candidate(index)
        return candidate

    @property
    def ranking(self):
        """RendezvousRanking : the servers, ranked for each object."""
        return self._ranking


def effective_slots(views, slow_start_at, now, ramp_s):
    """Return the slots of each server, reduced during slow start.

    Parameters
    ----------
    views : list of ServerView
        Servers eligible for new requests.
    slow_start_at : callable
        Returns the monotonic time in seconds at which the slow start of a
        view began.
    now : float
        Monotonic time in seconds.
    ramp_s : float
        Length of the slow start in seconds.

    Returns
    -------
    list of float
        One for each view, relative to the server furthest in its slow start:
        a pool of new servers only must still serve all requests.
    """
    fractions = [
        _ramp_fraction(now - slow_start_at(view), ramp_s) for view in views
    ]
    highest = max(fractions, default=1.0)
    return [
        view.server.slots * fraction / highest
        for view, fraction in zip(views, fractions, strict=True)
    ]


def make_candidate(view, slots, local_in_flight, vms):
    """Return the candidate of a server, with its free slots.

    Parameters
    ----------
    view : ServerView
        The server.
    slots : float
        Its effective slots.
    local_in_flight : int
        Requests of this VM at the server.
    vms : int
        Live VMs of the data centre.

    Returns
    -------
    Candidate
        For :func:`choose_server`.
    """
    in_flight = local_in_flight + view.peers_in_flight
    limit = min(view.server.slots, max(1, round(slots)))
    unused = free = limit - in_flight
    if view.is_in_demand:
        # Requests on other VMs wait for this server, so limit this VM to
        # its equal share of the slots.
        free = min(free, max(1, view.server.slots // vms) - local_in_flight)
    return Candidate(view, in_flight, slots, free, unused_slots=unused)


def choose_server(candidates, excluded, generator, now):
    """Choose a server by the power of two choices.

    Parameters
    ----------
    candidates : list of Candidate
        The pool.
    excluded : frozenset of str
        Servers that earlier attempts used.
    generator : random.Random
        Source of randomness.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Candidate or None
        The better of two random candidates with a free slot; None if no
        candidate has one.

    Notes
    -----
    Mitzenmacher (2001), "The Power of Two Choices in Randomized Load
    Balancing": the better of two random candidates is nearly as good as the
    least loaded one, and VMs with stale counts do not all choose the same
    server.
    """
    free = [
        candidate
        for candidate in candidates
        if candidate.free_slots > 0
        and candidate.view.server.server_id not in excluded
    ]
    if len(free) <= 1:
        return free[0] if free else None
    return min(
        generator.sample(free, 2),
        key=lambda candidate: score_candidate(candidate, now),
    )


def _ramp_fraction(age_s, ramp_s):
    if not ramp_s or age_s >= ramp_s:
        return 1.0
    return _COLD_FRACTION + (1 - _COLD_FRACTION) * max(0.0, age_s) / ramp_s


def score_candidate(candidate, now):
    """Return the score of a candidate; lower is better.

    Parameters
    ----------
    candidate : Candidate
        The server.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Requests in flight per effective slot, raised by recently reported
        load.
    """
    view = candidate.view
    score = (candidate.in_flight + 1) / max(candidate.slots, 0.01)
    load = min(max(view.server.load, 0.0), 1.0)
    age_s = max(0.0, now - view.load_at)
    weight = _LOAD_WEIGHT * max(0.0, 1 - age_s / _MAX_LOAD_AGE_S)
    return score * (1 + weight * load)
