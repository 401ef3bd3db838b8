"""Rank the backend servers of a pool for each object by rendezvous hashing.

Requests for the same object go to the same servers, so that their caches stay
effective. Every VM computes the same ranking without communication, by
weighted rendezvous hashing (Thaler and Ravishankar 1998, "Using Name-Based
Mappings to Increase Hit Rates"; Schindelhauer and Schomaker 2005, "Weighted
Distributed Hash Tables"). When a server is added or removed, only the objects
that it gains or loses are remapped.
"""

import functools
import hashlib
import heapq
import math

__all__ = ["RendezvousRanking", "SERVERS_PER_OBJECT"]

_BITS = 64
_MASK = (1 << _BITS) - 1
# Bits of a hash that a float between 0 and 1 represents exactly.
_FRACTION_BITS = 52
# Replicas of an object. The second server takes over immediately when the
# first is full or lost; further copies would only occupy cache memory.
SERVERS_PER_OBJECT = 2
# Length of the ranking of an object. Servers beyond the first
# `SERVERS_PER_OBJECT` substitute for cold ones.
_RANKED_SERVERS = 8
# Cached hashes of objects and servers: a fleet has a few thousand servers, and
# requests concentrate on a few thousand objects.
_HASH_CACHE_SIZE = 16384
# Cached rankings per pool.
_RANKING_CACHE_SIZE = 4096


class RendezvousRanking:
    """Ranking of the servers of a pool for each object.

    Parameters
    ----------
    servers : iterable of BackendServer
        The pool.
    weights : dict of str to float
        Weight of one slot in each region, above 0.

    Notes
    -----
    The objects of a full server overflow to the second server of their
    rankings, which are the same on all VMs. Further servers are used only in
    place of cold ones: consistent hashing with bounded loads (Mirrokni,
    Thorup and Zadimoghaddam 2018) would, in an overload, spread every object
    over all servers, and none of them would keep it cached.
    """

    def __init__(self, servers, weights):
        self._servers = tuple(servers)
        self._weights = weights
        self._hashes = tuple(
            _hash(server.server_id) for server in self._servers
        )
        self._server_weights = tuple(
            server.slots * weights[server.region] for server in self._servers
        )
        self._cache = {}

    @property
    def weights(self):
        """Dict of str to float : weight of one slot in each region."""
        return self._weights

    def with_weights(self, weights):
        """Return a ranking of the same servers with other weights."""
        return RendezvousRanking(self._servers, weights)

    def is_equivalent(self, other):
        """Return whether another ranking orders the same servers equally."""
        return (
            self._hashes == other._hashes
            and self._server_weights == other._server_weights
            and self._regions() == other._regions()
        )

    def _regions(self):
        return [server.region for server in self._servers]

    @property
    def servers(self):
        """Tuple of BackendServer : the pool."""
        return self._servers

    def object_indexes(self, key, home_regions=None, excluded=frozenset()):
        """Return the pool indexes of the servers that cache an object.

        Parameters are those of :meth:`ranked_indexes`.

        Returns
        -------
        list of int
            The first `SERVERS_PER_OBJECT` of its ranking.
        """
        return self.ranked_indexes(key, home_regions, excluded)[
            :SERVERS_PER_OBJECT
        ]

    def ranked_indexes(self, key, home_regions=None, excluded=frozenset()):
        """Return the ranking of an object as indexes into the pool.

        Parameters
        ----------
        key : str
            Identifier of the object.
        home_regions : frozenset of str or None
            Regions whose servers are allowed; None for all.
        excluded : frozenset of str
            Servers that are not allowed.

        Returns
        -------
        list of int
            Indexes of the highest ranked allowed servers. The list is longer
            than `SERVERS_PER_OBJECT` so that callers can skip cold servers.
        """
        if excluded:
            return self._rank_servers(key, home_regions, excluded)
        # Requests on a busy VM repeat the same objects.
        indexes = self._cache.get((key, home_regions))
        if indexes is None:
            if len(self._cache) >= _RANKING_CACHE_SIZE:
                self._cache.clear()
            indexes = self._rank_servers(key, home_regions, excluded)
            self._cache[(key, home_regions)] = indexes
        return indexes

    def _rank_servers(self, key, home_regions, excluded):
        key_hash = _hash(key)
        best = []
        for index, server in enumerate(self._servers):
            if server.server_id in excluded or (
                home_regions is not None and server.region not in home_regions
            ):
                continue
            score = _score(
                key_hash ^ self._hashes[index], self._server_weights[index]
            )
            best.append((score, -index))
        return [-index for _, index in heapq.nlargest(_RANKED_SERVERS, best)]


def _score(number, weight):
    """Return the weighted rendezvous score for a combined hash."""
    mixed = _mix(number)
    # In the open interval (0, 1), so that the logarithm is negative.
    fraction = ((mixed >> (_BITS - _FRACTION_BITS)) + 0.5) / (
        1 << _FRACTION_BITS
    )
    return -weight / math.log(fraction)


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def _hash(text):
    digest = hashlib.blake2b(text.encode(), digest_size=_BITS // 8).digest()
    return int.from_bytes(digest)


def _mix(number):
    """Spread the bits of a number (finalizer of SplitMix64)."""
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & _MASK
    return number ^ (number >> 31)
