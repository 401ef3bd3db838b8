"""Samples of VMs, summed on their way to the control leader."""

from medlarhollow.distribution import Reports
from medlarhollow.messages.codec import decode
from medlarhollow.messages.codec import encode
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import WaitSample


def make_request(*rows):
    waits = [
        WaitSample(caller, "plots", "1", server, requests, wait_s, busy_s)
        for caller, server, requests, wait_s, busy_s in rows
    ]
    return SyncRequest(waits=tuple(waits))


def test_waits_are_summed_once_over_vms_and_relays():
    """Guards the leader's demand against samples that are counted twice or
    mixed between regions, and the links against one sample per VM."""
    relay, leader = Reports(), Reports()
    relay.add(make_request(("n", "n", 2, 0.5, 1.0), ("n", "e", 1, 0, 2.0)), 0)
    relay.add(make_request(("n", "n", 3, 0.25, 2.0)), 0.1)
    forwarded = SyncRequest(waits=relay.drain_samples().waits)
    leader.add(decode(SyncRequest, encode(forwarded)), 0.2)
    leader.add(make_request(("e", "n", 1, 0.0, 4.0)), 0.3)
    assert leader.drain_samples().waits == (
        WaitSample("n", "plots", "1", "n", 5, 0.75, 3.0),
        WaitSample("n", "plots", "1", "e", 1, 0.0, 2.0),
        WaitSample("e", "plots", "1", "n", 1, 0.0, 4.0),
    )
    assert relay.drain_samples().waits == ()
    assert leader.drain_samples().waits == ()
