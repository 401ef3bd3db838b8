"""Choose the backend server for a request."""

import collections.abc

import attrs

__all__ = [
    "Candidate",
    "Candidates",
    "choose_server",
    "effective_slots",
    "make_candidate",
    "score_candidate",
]

# A new server starts at this part of its slots.
_COLD_PART = 0.1
# Reported load changes a score by at most this part, and nothing once it is
# older than the limit: it can lag or mislead, requests in flight cannot.
_LOAD_WEIGHT = 0.5
_LOAD_AGE_LIMIT_S = 3.0


@attrs.frozen
class Candidate:
    """A server with what counts for the choice.

    Attributes
    ----------
    view : ServerView
        The server.
    in_flight : int
        Requests of all VMs of the data centre, as far as known.
    slots : float
        Effective slots, fewer while it is new.
    free : int
        Requests that this VM may add.
    is_cold : bool
        Whether the rate of requests to it is bounded for now.
    room : int
        Slots that nobody uses, whatever the part of this VM.
    """

    view: object
    in_flight: int
    slots: float
    free: int
    is_cold: bool = False
    room: int = attrs.field(
        default=attrs.Factory(lambda self: self.free, takes_self=True)
    )


class Candidates(collections.abc.Sequence):
    """The servers of a pool as candidates, each made when it is looked at.

    Parameters
    ----------
    ranking : Ranking
        The servers and their order for each object.
    make : callable
        Returns the `Candidate` at a place.
    """

    def __init__(self, ranking, make):
        self._ranking = ranking
        self._make = make
        self._made = {}

    def __len__(self):
        return len(self._ranking.servers)

    def __getitem__(self, place):
        candidate = self._made.get(place)
        if candidate is None:
            if not 0 <= place < len(self):
                raise IndexError(place)
            candidate = self._made[place] = self._make(place)
        return candidate

    @property
    def ranking(self):
        """Ranking : the servers and their order for each object."""
        return self._ranking


def effective_slots(views, warm_at, now, ramp_s):
    """Return the slots of each server, fewer while it is new.

    Parameters
    ----------
    views : list of ServerView
        Servers that may get work.
    warm_at : callable
        Returns for a view the monotonic time in seconds from which its slow
        start counts.
    now : float
        Monotonic time in seconds.
    ramp_s : float
        Length of the slow start in seconds.

    Returns
    -------
    list of float
        One for each view. Slow start limits a server only while others of
        the pool are past it: a pool that is all new must serve everything.
    """
    parts = [_warm_part(now - warm_at(view), ramp_s) for view in views]
    warmest = max(parts, default=1.0)
    return [
        view.server.slots * part / warmest
        for view, part in zip(views, parts, strict=True)
    ]


def make_candidate(view, slots, own, vms):
    """Return a server with its free slots.

    Parameters
    ----------
    view : ServerView
        The server.
    slots : float
        Its effective slots.
    own : int
        Requests of this VM there.
    vms : int
        Live VMs of the data centre.

    Returns
    -------
    Candidate
        For :func:`choose_server`.
    """
    in_flight = own + view.peers_in_flight
    limit = min(view.server.slots, max(1, round(slots)))
    room = free = limit - in_flight
    if view.is_in_demand:
        # Other VMs wait for it, so this one keeps to its part.
        free = min(free, max(1, view.server.slots // vms) - own)
    return Candidate(view, in_flight, slots, free, room=room)


def choose_server(candidates, excluded, generator, now):
    """Choose by the power of two choices.

    Parameters
    ----------
    candidates : list of Candidate
        The pool.
    excluded : frozenset of str
        Servers that were tried already.
    generator : random.Random
        Draws the two.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Candidate or None
        The better of two drawn at random among those with a free slot; None
        if there is none.

    Notes
    -----
    Mitzenmacher (2001), "The Power of Two Choices in Randomized Load
    Balancing": two random candidates come close to the least loaded one, but
    VMs that decide on old counts do not all choose the same server.
    """
    free = [
        candidate
        for candidate in candidates
        if candidate.free > 0
        and candidate.view.server.server_id not in excluded
    ]
    if len(free) <= 1:
        return free[0] if free else None
    return min(
        generator.sample(free, 2),
        key=lambda candidate: score_candidate(candidate, now),
    )


def _warm_part(age_s, ramp_s):
    if not ramp_s or age_s >= ramp_s:
        return 1.0
    return _COLD_PART + (1 - _COLD_PART) * max(0.0, age_s) / ramp_s


def score_candidate(candidate, now):
    """Return the score of a candidate; the lower the better.

    Parameters
    ----------
    candidate : Candidate
        The server.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Requests in flight over effective slots, raised by fresh load.
    """
    view = candidate.view
    score = (candidate.in_flight + 1) / max(candidate.slots, 0.01)
    load = min(max(view.server.load, 0.0), 1.0)
    age_s = max(0.0, now - view.load_at)
    weight = _LOAD_WEIGHT * max(0.0, 1 - age_s / _LOAD_AGE_LIMIT_S)
    return score * (1 + weight * load)
