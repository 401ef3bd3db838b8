"""Find the region of a caller from its address.

The prefixes are flattened into disjoint intervals and kept in two arrays, so
that 1.9 million client blocks take a few tens of megabytes and a look-up is
one binary search.
"""

import array
import bisect
import ipaddress
import socket

import attrs

__all__ = ["BlockTable"]

_NO_SITE = -1
_TYPE_CODES = {4: "I", 6: "Q"}
_ADDRESS_FAMILIES = ((socket.AF_INET, 4), (socket.AF_INET6, 6))
_VALUE_BITS = {4: 32, 6: 64}


@attrs.define
class _Intervals:
    """Disjoint intervals of one address family.

    Attributes
    ----------
    starts : array.array
        First address of each interval, ascending.
    sites : array.array
        Index of the site of each interval, -1 for none.
    """

    starts: array.array
    sites: array.array


class BlockTable:
    """Map client blocks to sites by longest prefix.

    Parameters
    ----------
    blocks : iterable of (str, str)
        CIDR prefix and site of each block. IPv6 prefixes are at most 64
        bits long.

    Raises
    ------
    ValueError
        If a prefix is not valid.

    Examples
    --------
    >>> table = BlockTable([("10.0.0.0/8", "north"), ("10.1.0.0/16", "east")])
    >>> table.find("10.1.2.3"), table.find("10.2.0.1"), table.find("9.9.9.9")
    ('east', 'north', None)
    """

    def __init__(self, blocks):
        self._names = []
        indexes = {}
        prefixes = {4: [], 6: []}
        for text, site in blocks:
            version, first, last = _parse(text)
            if site not in indexes:
                indexes[site] = len(self._names)
                self._names.append(site)
            prefixes[version].append((first, -last, indexes[site]))
        self._families = {
            version: _flatten(sorted(items), version)
            for version, items in prefixes.items()
        }

    @property
    def size_bytes(self):
        """Bytes taken by the arrays."""
        return sum(
            len(part) * part.itemsize
            for family in self._families.values()
            for part in (family.starts, family.sites)
        )

    def find(self, address):
        """Return the site of an address.

        Parameters
        ----------
        address : str
            IPv4 or IPv6 address of a caller.

        Returns
        -------
        str or None
            Site of the longest prefix that contains the address; None if
            no prefix does or the text is not an address.
        """
        for family, version in _ADDRESS_FAMILIES:
            try:
                packed = socket.inet_pton(family, address)
            except (OSError, ValueError):
                continue
            # Of an IPv6 address only the upper 64 bits count.
            return self.find_value(version, int.from_bytes(packed[:8]))
        return None

    def find_value(self, version, value):
        """Return the site of an address given as a number.

        Parameters
        ----------
        version : int
            4 or 6.
        value : int
            The address; of an IPv6 address the upper 64 bits.

        Returns
        -------
        str or None
            As in :meth:`find`.
        """
        family = self._families[version]
        place = bisect.bisect_right(family.starts, value) - 1
        if place < 0:
            return None
        site = family.sites[place]
        return None if site == _NO_SITE else self._names[site]


def _parse(text):
    """Return the version and the first and last address of a prefix.

    `ipaddress.ip_network` takes 10 us a prefix, which would make 20 s of a
    table of 1.9 million; it is kept for IPv6 and for error messages.
    """
    address, separator, length = text.partition("/")
    if not separator or ":" in text or not length.isdigit():
        return _parse_any(text)
    try:
        first = int.from_bytes(socket.inet_pton(socket.AF_INET, address))
    except OSError:
        return _parse_any(text)
    size = 1 << (32 - int(length)) if int(length) <= 32 else 0
    if not size or first % size:
        return _parse_any(text)
    return 4, first, first + size - 1


def _parse_any(text):
    network = ipaddress.ip_network(text)
    first = int(network.network_address)
    last = int(network.broadcast_address)
    if network.version == 4:
        return 4, first, last
    if network.prefixlen > 64:
        raise ValueError(f"{network}: at most 64 bits of an IPv6 prefix count")
    return 6, first >> 64, last >> 64


def _flatten(prefixes, version):
    """Return the intervals of prefixes sorted by start, the widest first.

    A stack holds the prefixes that contain the current position, so each
    prefix is pushed and popped once.
    """
    intervals = _Intervals(array.array(_TYPE_CODES[version]), array.array("i"))
    top = 1 << _VALUE_BITS[version]
    stack = []
    for first, negative_last, site in prefixes:
        _close_until(stack, first, intervals)
        _open(intervals, first, site)
        stack.append((-negative_last, site))
    _close_until(stack, top, intervals)
    return intervals


def _close_until(stack, position, intervals):
    while stack and stack[-1][0] < position:
        last, _ = stack.pop()
        after = last + 1
        if after < position or not stack:
            site = stack[-1][1] if stack else _NO_SITE
            if not after >> (8 * intervals.starts.itemsize):
                _open(intervals, after, site)


def _open(intervals, start, site):
    if intervals.starts and intervals.starts[-1] == start:
        intervals.sites[-1] = site
    elif not intervals.sites or intervals.sites[-1] != site:
        intervals.starts.append(start)
        intervals.sites.append(site)
