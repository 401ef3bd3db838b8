"""Cache of the agreed fleet state on a VM outside the quorum."""

import asyncio
import logging

from result import Ok

from ..configuration import apply
from ..configuration import CommitHistory
from ..configuration import FleetState
from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["FleetStateCache"]

_LOG = logging.getLogger(__name__)


class FleetStateCache:
    """Cache the agreed fleet state; its revision never decreases.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``control`` are read.
    """

    def __init__(self, settings):
        self._cluster = settings.vm.cluster
        self._state = FleetState(cluster=settings.vm.cluster)
        self._history = CommitHistory(settings)
        self._proof_time_s = float("-inf")
        self._changed = asyncio.Condition()
        self._logged_version = self._state.configuration_version

    @property
    def state(self):
        """FleetState : the state at the highest revision applied."""
        return self._state

    @property
    def history(self):
        """CommitHistory : recent changes, for downstream VMs."""
        return self._history

    @property
    def has_proof(self):
        """Whether this VM ever received a proof of a quorum's authority."""
        return self._proof_time_s > float("-inf")

    def freshness_age_s(self, now):
        """Return the age of the last proof of a quorum's authority.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Infinite if there is no proof yet.
        """
        return now - self._proof_time_s

    async def apply_response(self, response, requested_at):
        """Apply a response of an upstream.

        Parameters
        ----------
        response : SyncResponse
            Changes or a snapshot, with the age of the upstream's proof.
        requested_at : float
            Monotonic time in seconds when this VM sent the request.

        Returns
        -------
        result.Result
            ``Ok(None)``, ``WRONG_CLUSTER`` if the response is from another
            cluster, or ``CONFLICT`` if it does not continue the cached
            state; otherwise the failure in the response or of a change.

        Notes
        -----
        The upstream's proof was `freshness_age_s` old when it responded,
        which was at least `held_s` after the request was sent. The time of
        the proof is therefore no earlier than
        ``requested_at + held_s - freshness_age_s``, which requires no
        comparison of clocks.
        """
        if response.cluster != self._cluster:
            return fail(
                ErrorKind.WRONG_CLUSTER,
                f"upstream belongs to cluster '{response.cluster}'",
            )
        if response.failure is not None:
            return fail(response.failure.kind, response.failure.detail)
        before = self._state.revision
        self._apply_snapshot(response.snapshot)
        result = self._apply_commits(response.commits)
        if result.is_ok() and response.freshness_age_s >= 0:
            proof = requested_at + response.held_s - response.freshness_age_s
            self._proof_time_s = max(self._proof_time_s, proof)
        if self._state.revision > before:
            self._log_configuration()
            async with self._changed:
                self._changed.notify_all()
        return result

    async def wait_for_revision(self, revision, timeout_s):
        """Wait until the cached state has a revision above the given one.

        Returns after `timeout_s` seconds in any case.
        """
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._state.revision > revision
                )
        except TimeoutError:
            return

    def _log_configuration(self):
        version = self._state.configuration_version
        if version != self._logged_version:
            self._logged_version = version
            _LOG.info(
                "sync: configuration %s in force from revision %d",
                version,
                self._state.revision,
            )

    def _apply_snapshot(self, snapshot):
        if snapshot is None or snapshot.revision <= self._state.revision:
            return
        if snapshot.cluster != self._cluster:
            return
        self._state = FleetState.from_snapshot(snapshot)
        self._history.clear()

    def _apply_commits(self, commits):
        for commit in commits:
            if commit.revision <= self._state.revision:
                continue
            if commit.revision != self._state.revision + 1:
                return fail(
                    ErrorKind.CONFLICT,
                    f"revision {commit.revision} does not follow "
                    f"{self._state.revision}",
                )
            result = apply(commit.change.body, self._state, commit.time_s)
            if result.is_err():
                return result
            self._state.revision = commit.revision
            self._state.time_s = commit.time_s
            if commit.change.author:
                self._state.operator_revision = commit.revision
            self._history.add(commit)
        return Ok(None)
