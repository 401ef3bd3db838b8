"""Reports of VMs, collected for the control leader."""

import attrs

from ..messages.records import VmReport

__all__ = ["Reports", "Samples"]


@attrs.frozen
class _ReceivedReport:
    """A report and the monotonic time in seconds of its arrival."""

    report: VmReport
    received_at: float


@attrs.frozen
class Samples:
    """Samples of VMs, summed up.

    Attributes
    ----------
    versions : tuple of VersionSample
        Sums by service, version, route and region.
    demands : tuple of DemandSample
        Sums by account and data centre.
    waits : tuple of WaitSample
        Sums by caller region, service, version and server region.
    """

    versions: tuple = ()
    demands: tuple = ()
    waits: tuple = ()


class Reports:
    """Store the last report of each VM and aggregate their samples.

    A relay forwards the reports of its downstream VMs, so that the leader
    receives those of a data centre over one stream.
    """

    def __init__(self):
        self._vms = {}
        self._versions = {}
        self._demands = {}
        self._waits = {}

    def add(self, request, now):
        """Add the reports and samples of a Sync request.

        Parameters
        ----------
        request : SyncRequest
            From a downstream VM or from this VM itself.
        now : float
            Monotonic time in seconds.
        """
        for report in request.reports:
            self._add_vm(report, now)
        for sample in request.versions:
            key = (
                sample.service,
                sample.version,
                sample.route,
                sample.region,
            )
            self._versions[key] = _sum_versions(
                self._versions.get(key), sample
            )
        for sample in request.demands:
            key = (sample.account, sample.data_centre)
            self._demands[key] = _sum_demands(self._demands.get(key), sample)
        for sample in request.waits:
            key = (
                sample.caller_region,
                sample.service,
                sample.version,
                sample.server_region,
            )
            self._waits[key] = _sum_waits(self._waits.get(key), sample)

    def list_recent(self, now, max_age_s):
        """Return the recent reports, aged by the time they were stored.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        max_age_s : float
            Maximum age in seconds.

        Returns
        -------
        tuple of VmReport
            One for each VM, with `report_age_s` and `freshness_age_s`
            increased up to now.
        """
        aged = []
        for stored in self._vms.values():
            wait_s = now - stored.received_at
            if stored.report.report_age_s + wait_s <= max_age_s:
                aged.append(
                    attrs.evolve(
                        stored.report,
                        report_age_s=stored.report.report_age_s + wait_s,
                        freshness_age_s=stored.report.freshness_age_s + wait_s,
                    )
                )
        return tuple(aged)

    def drain_samples(self):
        """Return and clear the samples aggregated since the last call.

        Returns
        -------
        Samples
            The sums of what was added.
        """
        samples = Samples(
            versions=tuple(self._versions.values()),
            demands=tuple(self._demands.values()),
            waits=tuple(self._waits.values()),
        )
        self._versions.clear()
        self._demands.clear()
        self._waits.clear()
        return samples

    def _add_vm(self, report, now):
        name = report.vm.name
        stored = self._vms.get(name)
        if stored is not None:
            age_s = stored.report.report_age_s + now - stored.received_at
            if report.report_age_s > age_s:
                return
        self._vms[name] = _ReceivedReport(report, now)


def _sum_versions(total, sample):
    if total is None:
        return sample
    return attrs.evolve(
        total,
        requests=total.requests + sample.requests,
        errors=total.errors + sample.errors,
        slow=total.slow + sample.slow,
        unanswered=total.unanswered + sample.unanswered,
    )


def _sum_demands(total, sample):
    if total is None:
        return sample
    return attrs.evolve(
        total,
        rate_per_s=total.rate_per_s + sample.rate_per_s,
        unmet_per_s=total.unmet_per_s + sample.unmet_per_s,
    )


def _sum_waits(total, sample):
    if total is None:
        return sample
    return attrs.evolve(
        total,
        requests=total.requests + sample.requests,
        wait_s=total.wait_s + sample.wait_s,
        busy_s=total.busy_s + sample.busy_s,
    )
