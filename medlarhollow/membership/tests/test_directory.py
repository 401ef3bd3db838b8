"""Leases and the order of updates between directories."""

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership import Directory
from medlarhollow.membership import LocalLoad
from medlarhollow.membership.updates import OutgoingUpdates
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmState

LEASE_S = 3.0


def make_server(**more):
    return BackendServer(
        **{
            "server_id": "s1",
            "service": "plots",
            "version": "1",
            "address": "127.0.0.1:9",
            "slots": 5,
            **more,
        }
    )


class Member:
    """A VM with its directory and its streams to the others."""

    def __init__(self, name, incarnation="1"):
        self.vm = Vm(name=name, incarnation=incarnation, data_centre="north-a")
        self.directory = Directory(make_settings(name))
        self.updates = {}
        self.load = LocalLoad()

    def update_for(self, other, now):
        updates = self.updates.setdefault(other, OutgoingUpdates())
        update = updates.next_update(self.vm, self.directory, self.load, now)
        return attrs.evolve(update, vm=self.vm)

    def tell(self, other, now):
        update = self.update_for(other.vm.name, now)
        other.directory.merge(update, now)
        return update

    def usable(self, now):
        return [
            server.server_id
            for server in self.directory.servers("plots", "1", now)
        ]


@pytest.fixture
def pair():
    return Member("a"), Member("b")


def test_a_server_is_usable_at_both_until_its_lease_ends(pair):
    """Guards against work for a server that died."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    a.tell(b, 0.5)
    for member in pair:
        assert member.usable(LEASE_S - 0.1) == ["s1"]
        assert member.usable(LEASE_S + 0.1) == []


def test_leases_are_renewed_without_a_word_of_each_server(pair):
    """Guards the size of the stream: only what changed is sent."""
    a, b = pair
    names = [f"s{number}" for number in range(100)]
    for second in range(10):
        for name in names:
            server = make_server(server_id=name, address=f"h:{name}")
            a.directory.announce(server, float(second))
        update = a.tell(b, second + 0.1)
        assert len(update.servers) == (100 if second == 0 else 0)
    assert a.tell(b, 9.2).servers == ()
    assert b.usable(9.0 + LEASE_S - 0.2) == names


@pytest.mark.parametrize("streams", [1, 90])
def test_work_for_a_renewal_does_not_grow_with_streams(streams, monkeypatch):
    """Guards the processor time of a registry of a large fleet: records
    were copied and compared for each server on each stream."""
    member = Member("a")
    others = [f"b{number}" for number in range(streams)]
    names = [f"s{number}" for number in range(50)]
    copied = []
    evolve = attrs.evolve

    def count(record, **changes):
        copied.append(record)
        return evolve(record, **changes)

    for now in (0.0, 1.0):
        for name in names:
            member.directory.announce(
                make_server(server_id=name, address=f"h:{name}"), now
            )
        if now:
            monkeypatch.setattr(attrs, "evolve", count)
        for other in others:
            update = member.updates.setdefault(other, OutgoingUpdates())
            update.next_update(member.vm, member.directory, member.load, now)
    assert not copied


def test_a_server_that_stopped_announcing_is_told_when_its_lease_ends(pair):
    a, b = pair
    for second in range(3):
        a.directory.announce(make_server(), float(second))
        a.tell(b, second + 0.1)
    for second in (3.0, 4.0, 5.0):
        a.tell(b, second)
    assert b.usable(5.0) == []
    a.directory.announce(make_server(), 6.0)
    a.tell(b, 6.0)
    assert b.usable(6.0) == ["s1"]


def make_started(sequence, **more):
    return make_server(started_at_ms=1, sequence=sequence, **more)


def test_a_late_announcement_at_another_vm_does_not_end_a_live_server():
    """Guards a server whose delayed announcement reaches another VM, which
    hears of it once and then lets its lease end."""
    a, b, late = Member("a"), Member("b"), Member("c")
    for second in range(12):
        a.directory.announce(make_started(10 + second), float(second))
        if second == 1:
            late.directory.announce(make_started(10), 1.0)
        for teller in (a, late):
            teller.tell(b, second + 0.1)
        assert b.usable(second + 0.1) == ["s1"]


def test_a_server_is_dropped_by_the_vm_from_which_it_moved():
    """Guards against a dead server that its former VM keeps alive."""
    a, b, c = Member("a"), Member("b"), Member("c")
    a.directory.announce(make_started(1), 0.0)
    a.tell(c, 0.1)
    b.directory.announce(make_started(2), 1.0)
    b.tell(a, 1.1)
    b.tell(c, 1.1)
    for second in range(2, 10):
        a.tell(c, float(second))
        b.tell(c, float(second))
    assert c.usable(10.0) == []


def test_a_server_that_left_is_not_brought_back_by_one_that_has_not_heard():
    a, b, c = Member("a"), Member("b"), Member("c")
    a.directory.announce(make_started(1), 0.0)
    a.tell(c, 0.1)
    b.directory.announce(make_started(2, leaving=True), 0.5)
    b.tell(c, 0.5)
    for tenth in range(6, 60):
        for teller in (b, a):
            teller.tell(c, tenth / 10)
        assert c.usable(tenth / 10) == []


@pytest.mark.parametrize("by", ["a", "b"])
def test_a_leaving_server_is_not_used(pair, by):
    """Guards invariant 11, whichever VM heard that the server leaves."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    a.tell(b, 0.1)
    teller, other = (a, b) if by == "a" else (b, a)
    teller.directory.announce(make_server(leaving=True), 1.0)
    teller.tell(other, 1.0)
    assert a.usable(1.0) == b.usable(1.0) == []


def test_older_updates_do_not_override_newer(pair):
    """Guards against a server that leaves and gets work again because of a
    record that another VM still holds."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    stale = a.update_for("b", 0.1)
    b.directory.merge(stale, 0.1)
    b.directory.announce(make_server(leaving=True), 1.0)
    b.directory.merge(attrs.evolve(stale, sequence=2), 1.1)
    assert b.usable(1.1) == []


def test_a_record_overtaken_by_another_vm_counts_after_renewal(pair):
    """Guards against a server that moved to another VM before that VM had
    heard its latest sequence number."""
    a, b = pair
    c = Member("c")
    a.directory.announce(make_server(), 0.0)
    a.tell(c, 0.0)
    for second in (0.1, 0.2, 0.3):
        a.directory.announce(make_server(), second)
        a.tell(b, second)
    c.directory.announce(make_server(), 1.0)
    c.tell(b, 1.0)
    for second in (2.0, 3.0, 4.0):
        c.directory.announce(make_server(), second)
        c.tell(b, second)
    assert b.usable(5.5) == ["s1"]


def test_a_voucher_that_restarts_is_believed_at_once(pair):
    """Guards against a VM that counts from 1 after a restart."""
    a, b = pair
    for second in range(20):
        a.directory.announce(make_server(), second / 10)
    a.tell(b, 2.0)
    again = Member("a", incarnation="2")
    again.directory.announce(make_server(leaving=True), 2.1)
    again.tell(b, 2.1)
    assert b.usable(2.1) == []


@pytest.mark.parametrize(
    ("change", "is_new"),
    [
        ({}, False),
        ({"instance": "2"}, True),
        ({"address": "127.0.0.1:10"}, True),
        ({"slots": 9}, False),
    ],
)
def test_a_restarted_server_is_a_new_one(pair, change, is_new):
    """Guards slow start and statistics against a restart under one name."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    a.tell(b, 0.0)
    a.directory.announce(make_server(**change), 1.0)
    a.tell(b, 1.0)
    for member in pair:
        [view] = member.directory.views("plots", "1", 1.0)
        assert (view.first_seen_at == 1.0) is is_new


def test_in_flight_requests_of_peers_count_until_they_are_silent(pair):
    """Guards slots against counts of a VM that died or restarted."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    b.load = LocalLoad(in_flight={"s1": 4})
    b.tell(a, 0.0)
    assert a.directory.peers.in_flight("s1", 1.0) == 4
    b.load = LocalLoad(in_flight={"s1": 2})
    b.tell(a, 1.0)
    assert a.directory.peers.in_flight("s1", 1.0) == 2
    again = Member("b", incarnation="2")
    again.tell(a, 1.5)
    assert a.directory.peers.in_flight("s1", 1.5) == 0
    b.tell(a, 1.6)
    b.load = LocalLoad(in_flight={"s1": 3})
    b.tell(a, 1.7)
    assert a.directory.peers.in_flight("s1", 10.0) == 0


def test_load_keeps_its_age_through_renewals(pair):
    """Guards against an old load that looks fresh on another VM."""
    a, b = pair
    a.directory.announce(make_server(load=0.5, load_age_s=2.0), 0.0)
    a.tell(b, 0.5)
    a.directory.announce(make_server(load=0.5, load_age_s=3.0), 1.0)
    a.tell(b, 1.0)
    [view] = b.directory.views("plots", "1", 1.0)
    assert view.load_at == pytest.approx(-2.0)


def test_a_peer_that_drains_or_is_silent_is_not_named(pair):
    """Guards callers against VMs whose end is not in the roster yet."""
    a, b = pair
    b.tell(a, 0.0)
    peers = a.directory.peers
    assert peers.accepts_callers(b.vm, 1.0)
    assert not peers.accepts_callers(b.vm, 10.0)
    restarted = attrs.evolve(b.vm, incarnation="2")
    assert peers.accepts_callers(restarted, 10.0)
    assert peers.accepts_callers(Vm(name="elsewhere"), 10.0)
    roster = b.vm
    b.vm = attrs.evolve(b.vm, state=VmState.DRAINING)
    b.tell(a, 11.0)
    assert not peers.accepts_callers(roster, 11.0)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["announce", "leave", "restart", "tell"]),
            st.sampled_from([0.0, 0.3, 1.0]),
        ),
        max_size=40,
    ),
    st.integers(0, 2),
    st.booleans(),
)
@hypothesis.settings(deadline=None)
def test_directories_agree_on_the_last_announcement(steps, last, leaving):
    """Guards against directories that stay apart after any order of updates: a
    naive directory that sees every announcement holds only the last one."""
    members = [Member(name) for name in "abc"]
    now = 0.0
    instance = 0
    for number, action, seconds in steps:
        now += seconds
        member = members[number]
        if action == "tell":
            member.tell(members[(number + 1) % 3], now)
        else:
            instance += action == "restart"
            member.directory.announce(
                make_server(instance=str(instance), leaving=action == "leave"),
                now,
            )
    for _ in range(4):
        now += 1.0
        members[last].directory.announce(
            make_server(instance="last", leaving=leaving), now
        )
        for member in members:
            for other in members:
                if other is not member:
                    member.tell(other, now)
    for member in members:
        views = member.directory.views("plots", "1", now)
        assert len(views) == (not leaving)
        assert all(view.server.instance == "last" for view in views)


def test_servers_of_one_message_share_a_log_line(pair, caplog):
    """Guards the start of a VM, which hears of every server of the fleet."""
    a, b = pair
    for number in range(40):
        server = make_server(
            server_id=f"s{number}", address=f"127.0.0.1:{number + 1}"
        )
        a.directory.announce(server, 0.0)
    caplog.clear()
    caplog.set_level("INFO")
    a.tell(b, 0.1)
    [record] = caplog.records
    assert record.servers == [f"s{number}" for number in range(40)]
    assert record.told_by == "a"
    a.directory.announce(attrs.evolve(server, leaving=True), 0.2)
    caplog.clear()
    a.tell(b, 0.3)
    [record] = caplog.records
    assert record.getMessage() == "membership: s39 leaves"
