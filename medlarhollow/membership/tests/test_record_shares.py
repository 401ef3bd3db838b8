"""Senders of announcements under ever new identifiers."""

import attrs
import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import check_open_announcement
from medlarhollow.membership import Directory
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind

LIMIT = 800
SERVER = BackendServer(
    server_id="s1",
    service="plots",
    version="1",
    address="127.0.0.1:9",
    slots=5,
    sequence=4,
    started_at_ms=1000,
)


@pytest.fixture
def directory():
    settings = make_settings("core-1")
    backends = attrs.evolve(settings.backends, record_limit=LIMIT)
    return Directory(attrs.evolve(settings, backends=backends))


def announce(directory, server, source, now=0.0):
    """Announce a server where there is room; return whether there was."""
    admitted = directory.check_capacity(server, source)
    if admitted.is_ok():
        directory.announce(server, now, source)
    else:
        assert admitted.err_value.kind is ErrorKind.OVERLOADED
    return admitted.is_ok()


def flood(directory, source, service="plots", now=0.0):
    return sum(
        announce(
            directory,
            attrs.evolve(
                SERVER,
                server_id=f"{source}-{service}-{number}",
                service=service,
                address=f"127.0.0.1:{1024 + number}",
                leaving=True,
            ),
            source,
            now,
        )
        for number in range(2 * LIMIT)
    )


def test_flood_of_identifiers_takes_only_its_own_share(directory):
    """Guards the memory of all VMs against a server that announces itself
    under ever new identifiers, and the servers beside it."""
    assert announce(directory, SERVER, "10.0.0.1")
    assert flood(directory, "10.0.0.2") == LIMIT / 8
    assert flood(directory, "10.0.0.2", "alerts") == 0
    renewed = attrs.evolve(SERVER, sequence=5)
    assert announce(directory, renewed, "10.0.0.1", 1.0)
    other = attrs.evolve(SERVER, server_id="s2", address="127.0.0.1:8")
    assert announce(directory, other, "10.0.0.3", 1.0)


def test_flood_from_many_addresses_leaves_room_for_other_services(directory):
    """Guards the servers of a service against a flood of another one."""
    accepted = sum(flood(directory, f"10.0.1.{host}") for host in range(20))
    assert accepted == LIMIT / 2
    other = attrs.evolve(SERVER, server_id="s2", service="alerts")
    assert announce(directory, other, "10.0.0.3")
    for service in ("alerts", "orders", "maps"):
        for host in range(20):
            flood(directory, f"10.0.2.{host}", service)
    assert len(directory.known_ids()) == LIMIT


def test_leaving_server_is_not_forgotten_in_a_flood(directory):
    """Guards invariant 11: a server that left receives no new requests."""
    assert announce(directory, SERVER, "10.0.0.1")
    assert directory.mark_leaving("s1", 0.5)
    for host in range(40):
        flood(directory, f"10.0.1.{host}", f"service-{host % 5}", 1.0)
    assert directory.find("s1").leaving
    assert directory.servers("plots", "1", 1.0) == []


def test_share_is_free_again_after_the_retention(directory):
    """Guards servers that join after a flood has ended."""
    flood(directory, "10.0.0.2")
    lease_s = make_settings("core-1").backends.lease_s
    later = 12 * lease_s
    directory.current(later)
    assert not directory.known_ids()
    assert flood(directory, "10.0.0.2", now=later) == LIMIT / 8


def test_record_of_excessive_size_is_rejected():
    """Guards the bytes of the records that every VM holds."""
    server = attrs.evolve(SERVER, version="v" * 4000)
    result = check_open_announcement(server, make_state())
    assert result.err_value.kind is ErrorKind.BAD_REQUEST
    assert "2048" in result.err_value.detail


def test_exhausted_share_is_logged_once(directory, caplog):
    """Guards the log against a line for each rejected announcement."""
    flood(directory, "10.0.0.2")
    messages = [record.getMessage() for record in caplog.records]
    rejections = [text for text in messages if "too many" in text]
    assert rejections == [
        "membership: too many backend servers are known of address 10.0.0.2"
    ]
