"""Totals of requests by window, VM and account, merged on each hop."""

import collections
import logging

import attrs

from ..messages.records import UsageCount
from ..messages.records import UsageSample

__all__ = ["UsagePosition", "UsageTotals", "retention_s"]

_LOG = logging.getLogger(__name__)
# Totals are kept for this long after the end of their window.
_RETENTION_S = 30.0
# A request carries at most this many totals (about 280 KB), so that a repeat
# of all totals does not hold up a slow link until the response times out.
_MAX_COUNTS = 20_000


def retention_s(settings):
    """Return the time in seconds for which totals are kept.

    Parameters
    ----------
    settings : Settings
        Section ``usage`` is read.
    """
    return max(_RETENTION_S, settings.usage.due_s)


@attrs.frozen
class UsagePosition:
    """What one upstream has received.

    Attributes
    ----------
    sent : int
        Revision of the last sample that was sent.
    complete : int
        Revision up to which it has all totals. This is lower than `sent`
        while a list that is too long for one request is being sent: its later
        samples contain totals that changed before `sent`.
    """

    sent: int = 0
    complete: int = 0


@attrs.define
class _VmTotals:
    """Totals of one VM in one window.

    Attributes
    ----------
    counts : dict of (int, int)
        Requests, and the revision of the last change, by account.
    completed_at : int
        Revision at which the totals became final; 0 if they are not.
    revision : int
        Revision of the last change.
    """

    counts: dict = attrs.field(factory=dict)
    completed_at: int = 0
    revision: int = 0


class UsageTotals:
    """Keep the maximum of each total that was received.

    Totals never decrease at their source, so repeated, late and reordered
    samples have no effect, whichever path they took.

    Parameters
    ----------
    settings : Settings
        Section ``usage`` is read.
    fleet_clock : FleetClock
        Determines which windows are kept.
    """

    def __init__(self, settings, fleet_clock):
        self._window_s = settings.usage.window_s
        self._retention_s = retention_s(settings)
        self._fleet_clock = fleet_clock
        self._revision = 0
        # By window, VM and incarnation; the last changed ones at the end.
        self._entries = collections.OrderedDict()
        # Keys of the entries by window.
        self._windows = {}

    def add(self, samples, now):
        """Merge samples.

        Parameters
        ----------
        samples : iterable of UsageSample
            From this VM or a downstream VM.
        now : float
            Monotonic time in seconds.
        """
        self._evict(now)
        dropped = []
        for sample in samples:
            if self._is_kept(sample.window, now):
                self._merge(sample)
            else:
                dropped.append(sample)
        if dropped:
            _LOG.info(
                "usage: dropped %d samples of windows that are not kept, "
                "such as window %d of %s",
                len(dropped),
                dropped[0].window,
                dropped[0].vm,
            )

    def list_samples(self, now):
        """Return all totals, as a new upstream needs them.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of UsageSample
            One for each window, VM and incarnation.
        """
        self._evict(now)
        return tuple(
            _make_sample(key, entry, 0) for key, entry in self._entries.items()
        )

    def list_changes(self, now, position):
        """Return totals that an upstream has not received.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        position : UsagePosition
            What the upstream has received.

        Returns
        -------
        tuple of (tuple of UsageSample, UsagePosition)
            The samples, those that changed longest ago first, and what the
            upstream has received with them. The samples name only the
            accounts that changed, and are `complete` only if the upstream has
            not received that. If there are too many for one request, the rest
            follows from the new position.
        """
        self._evict(now)
        changed = []
        for key in reversed(self._entries):
            if self._entries[key].revision <= position.sent:
                break
            changed.append(key)
        samples, size = [], 0
        sent = position.sent
        for key in reversed(changed):
            entry = self._entries[key]
            sample = _make_sample(key, entry, position.complete)
            size += len(sample.counts)
            if samples and size > _MAX_COUNTS:
                return tuple(samples), attrs.evolve(position, sent=sent)
            samples.append(sample)
            sent = entry.revision
        return tuple(samples), UsagePosition(self._revision, self._revision)

    def counts(self, window):
        """Return the totals of a window over all VMs.

        Parameters
        ----------
        window : int
            Number of the window.

        Returns
        -------
        dict of int
            Requests by account.
        """
        totals = collections.Counter()
        for key in self._windows.get(window, ()):
            for account, (requests, _) in self._entries[key].counts.items():
                totals[account] += requests
        return dict(totals)

    def is_complete(self, window, vms):
        """Return whether the totals of VMs in a window are final.

        Parameters
        ----------
        window : int
            Number of the window.
        vms : iterable of (str, str)
            Name and incarnation of each VM.
        """
        return not self.list_incomplete(window, vms)

    def list_incomplete(self, window, vms):
        """Return the names of VMs whose totals in a window are not final.

        Parameters
        ----------
        window : int
            Number of the window.
        vms : iterable of (str, str)
            Name and incarnation of each VM.

        Returns
        -------
        list of str
            In the order of `vms`.
        """
        return [
            name
            for name, incarnation in vms
            if not self._is_final((window, name, incarnation))
        ]

    def _is_final(self, key):
        entry = self._entries.get(key)
        return entry is not None and entry.completed_at > 0

    def _merge(self, sample):
        key = (sample.window, sample.vm, sample.incarnation)
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _VmTotals()
            self._windows.setdefault(sample.window, []).append(key)
        revision = self._revision + 1
        is_changed = False
        for count in sample.counts:
            if count.requests > entry.counts.get(count.account, (0, 0))[0]:
                entry.counts[count.account] = (count.requests, revision)
                is_changed = True
        if sample.complete and not entry.completed_at:
            entry.completed_at = revision
            is_changed = True
        if is_changed:
            entry.revision = self._revision = revision
            self._entries.move_to_end(key)

    def _is_kept(self, window, now):
        """Return whether a window is near the present.

        A window of the future is counted by a VM whose clock is wrong.
        """
        begins_in_s = window * self._window_s - self._fleet_clock.fleet_time(
            now
        )
        ended_s = -begins_in_s - self._window_s
        return ended_s < self._retention_s and begins_in_s < self._retention_s

    def _evict(self, now):
        evicted = [
            window
            for window in self._windows
            if not self._is_kept(window, now)
        ]
        for window in evicted:
            for key in self._windows.pop(window):
                del self._entries[key]


def _make_sample(key, entry, since):
    window, vm, incarnation = key
    return UsageSample(
        vm=vm,
        incarnation=incarnation,
        window=window,
        counts=tuple(
            UsageCount(account=account, requests=requests)
            for account, (requests, revision) in entry.counts.items()
            if revision > since
        ),
        complete=entry.completed_at > since,
    )
