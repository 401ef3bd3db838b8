"""Reports of VMs on their way to the control leader."""

import attrs

from ..messages.records import VmReport

__all__ = ["Reports"]


@attrs.frozen
class _Stored:
    """A report and when it arrived here."""

    report: VmReport
    at: float


class Reports:
    """Keep the last report of each VM and add up their samples.

    A relay passes on what its downstream VMs reported, so that the leader
    hears each data centre through one stream.
    """

    def __init__(self):
        self._vms = {}
        self._versions = {}
        self._demands = {}

    def add(self, request, now):
        """Take the reports in a Sync request.

        Parameters
        ----------
        request : SyncRequest
            From a downstream VM, or this VM's own.
        now : float
            Monotonic time in seconds.
        """
        for report in request.reports:
            self._add_vm(report, now)
        for sample in request.versions:
            place = (
                sample.service,
                sample.version,
                sample.route,
                sample.region,
            )
            self._versions[place] = _sum_versions(
                self._versions.get(place), sample
            )
        for sample in request.demands:
            place = (sample.account, sample.data_centre)
            self._demands[place] = _sum_demands(
                self._demands.get(place), sample
            )

    def list_recent(self, now, limit_s):
        """Return the reports younger than a limit, aged by their wait here.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        limit_s : float
            Greatest age in seconds.

        Returns
        -------
        tuple of VmReport
            One for each VM, `report_age_s` and `freshness_age_s` counted up
            to now.
        """
        aged = []
        for stored in self._vms.values():
            wait = now - stored.at
            if stored.report.report_age_s + wait <= limit_s:
                aged.append(
                    attrs.evolve(
                        stored.report,
                        report_age_s=stored.report.report_age_s + wait,
                        freshness_age_s=stored.report.freshness_age_s + wait,
                    )
                )
        return tuple(aged)

    def drain_samples(self):
        """Return the samples added up since the last call and forget them.

        Returns
        -------
        tuple of (tuple of VersionSample, tuple of DemandSample)
            The sums.
        """
        versions = tuple(self._versions.values())
        demands = tuple(self._demands.values())
        self._versions.clear()
        self._demands.clear()
        return versions, demands

    def _add_vm(self, report, now):
        name = report.vm.name
        known = self._vms.get(name)
        if known is not None:
            age = known.report.report_age_s + now - known.at
            if report.report_age_s > age:
                return
        self._vms[name] = _Stored(report, now)


def _sum_versions(known, sample):
    if known is None:
        return sample
    return attrs.evolve(
        known,
        requests=known.requests + sample.requests,
        errors=known.errors + sample.errors,
        slow=known.slow + sample.slow,
        unanswered=known.unanswered + sample.unanswered,
    )


def _sum_demands(known, sample):
    if known is None:
        return sample
    return attrs.evolve(
        known,
        rate_per_s=known.rate_per_s + sample.rate_per_s,
        unmet_per_s=known.unmet_per_s + sample.unmet_per_s,
    )
