"""Components of a process with and without usage reports."""

import pytest

from medlarhollow import clock
from medlarhollow.daemon.frontend import Frontend
from medlarhollow.daemon.process import Process
from medlarhollow.messages import encode
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings


def make_process(tmp_path, receiver, roles="entry"):
    secret = tmp_path / "secret"
    secret.write_text("s" * 64)
    settings = parse_settings(
        "[vm]\nname = vm-1\ncluster = test\nregion = r\ndata_centre = d\n"
        f"roles = {roles}\n"
        f"[peer]\nlisten = 127.0.0.1:1\nsecret_file = {secret}\n"
        "[control]\nreplicas = 127.0.0.1:2\n"
        f"[usage]\nreceiver = {receiver}\n"
    )
    return Process(settings, Frontend())


async def test_process_without_a_receiver_counts_nothing(tmp_path):
    """Guards other fleets against the cost and the bytes of counting."""
    process = make_process(tmp_path, "")
    now = clock.monotonic()
    report = process._make_report(now)
    plain = VmReport(
        vm=process._make_vm_record(), freshness_age_s=report.freshness_age_s
    )
    assert encode(report) == encode(plain)
    assert process._fleet_clock is None
    assert process._usage_totals is None
    assert process._usage_counter is None
    assert process._make_entry_vm(None).usage_counter is None


@pytest.mark.parametrize("roles", ["entry", "registry"])
async def test_entry_vm_with_a_receiver_counts(tmp_path, roles):
    """Guards against an entry VM that does not count, and against a VM that
    cannot pass on the counts of others because it has none of its own."""
    process = make_process(tmp_path, "192.0.2.1:80", roles)
    assert process._reports.usage_totals is process._usage_totals is not None
    assert (process._usage_counter is not None) == (roles == "entry")
    assert process._make_report(clock.monotonic()).wall_time_s > 1e9
