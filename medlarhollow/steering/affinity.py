"""Place requests for the same object on the same backend servers.

Every VM computes the same order of servers for an object without talking to
the others, by weighted rendezvous hashing (Thaler and Ravishankar 1998,
"Using Name-Based Mappings to Increase Hit Rates"; Schindelhauer and Schomaker
2005, "Weighted Distributed Hash Tables"). When a server comes or goes, only
the objects move that it gains or loses.
"""

import functools
import hashlib
import heapq
import math

__all__ = ["choose_by_affinity", "rank_by_affinity"]

_BITS = 64
_MASK = (1 << _BITS) - 1
# Bits of a hash that a float between 0 and 1 holds exactly.
_POINT_BITS = 52
# Servers that keep one object. A second one takes over at once when the first
# is full or lost; more would hold each object without need.
_SERVERS_PER_OBJECT = 2
# Objects and servers whose hashes are kept; a fleet has a few thousand
# servers, and requests concentrate on some thousand objects.
_KEPT_HASHES = 16384
# Objects in a pool whose own servers are kept.
_KEPT_PLACES = 4096


def rank_by_affinity(candidates, key, weigh):
    """Return the servers in the order in which an object prefers them.

    Parameters
    ----------
    candidates : list of Candidate
        The servers.
    key : str
        Names the object.
    weigh : callable
        Returns for a `BackendServer` its weight, above 0.

    Returns
    -------
    list of Candidate
        The first one is the object's own server.
    """
    key_hash = _hash(key)
    return sorted(
        candidates,
        key=lambda candidate: _score(
            key_hash,
            candidate.view.server.server_id,
            weigh(candidate.view.server),
        ),
        reverse=True,
    )


def choose_by_affinity(candidates, key, weigh):
    """Return the first free one of an object's own servers.

    Parameters
    ----------
    candidates : list of Candidate
        The servers that may be used.
    key : str
        Names the object.
    weigh : callable
        Returns for a `BackendServer` its weight, above 0.

    Returns
    -------
    Candidate or None
        None if neither of the first two in its order is free.

    Notes
    -----
    A server that is full passes its objects on to the second one in their
    orders, which are the same on all VMs. Further ones are not used: with
    bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018) an overload would
    spread every object over all servers, none of which would keep it.
    """
    servers = tuple(
        (candidate.view.server.server_id, weigh(candidate.view.server))
        for candidate in candidates
    )
    own = (candidates[place] for place in _find_own(key, servers))
    return next((candidate for candidate in own if candidate.free > 0), None)


@functools.lru_cache(maxsize=_KEPT_PLACES)
def _find_own(key, servers):
    """Return the places of an object's own servers in a list.

    A busy VM asks for the same objects and servers again and again: scoring
    each time took most of its processor time under overload.
    """
    key_hash = _hash(key)
    return heapq.nlargest(
        _SERVERS_PER_OBJECT,
        range(len(servers)),
        key=lambda place: _score(key_hash, *servers[place]),
    )


def _score(key_hash, server_id, weight):
    mixed = _mix(key_hash ^ _hash(server_id))
    # In (0, 1), so that the logarithm is defined and below 0.
    point = ((mixed >> (_BITS - _POINT_BITS)) + 0.5) / (1 << _POINT_BITS)
    return -weight / math.log(point)


@functools.lru_cache(maxsize=_KEPT_HASHES)
def _hash(text):
    digest = hashlib.blake2b(text.encode(), digest_size=_BITS // 8).digest()
    return int.from_bytes(digest)


def _mix(number):
    """Spread the bits of a number (finalizer of SplitMix64)."""
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & _MASK
    return number ^ (number >> 31)
