"""Configuration as one document."""

import attrs
import pytest

from medlarhollow.admin.differences import BLOCKS_PER_CHANGE
from medlarhollow.admin.differences import describe_state
from medlarhollow.admin.differences import plan_changes
from medlarhollow.admin.documents import Configuration
from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.errors import fail
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import ClientBlock
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Link
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import PutPreset
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import Shift

TARGET = Configuration(
    accounts=(Account("crew", 10.0, 20.0), Account("office", 1.0, 2.0)),
    services=(Service("plots", b"\x01" * 32, "1"),),
    routes=(Route(path_prefix="/plots", service="plots"),),
)


def _apply_all(state, target):
    planned = plan_changes(state, target)
    for change in planned.ok_value:
        assert apply(change, state, 1.0).is_ok(), change
    return planned.ok_value


def test_plan_reaches_the_document_in_a_valid_order():
    """Guards against a change that is missing or comes before what it
    refers to."""
    state = FleetState()
    assert len(_apply_all(state, TARGET)) == 4
    described = describe_state(state)
    assert described.accounts == TARGET.accounts
    assert described.routes == TARGET.routes
    assert plan_changes(state, TARGET).ok_value == ()


def test_records_missing_from_a_section_are_deleted():
    """Guards against records that remain although the document omits them,
    and against the deletion of sections that the document omits."""
    state = FleetState()
    _apply_all(state, TARGET)
    _apply_all(state, Configuration(services=(), routes=()))
    described = describe_state(state)
    assert described.services == ()
    assert described.accounts == TARGET.accounts


def test_presets_are_put_before_and_deleted_after_the_activation():
    """Guards against the activation of a preset that does not exist yet."""
    state = FleetState()
    state.presets["day"] = Preset("day")
    state.shift = Shift(preset="day")
    target = Configuration(presets=(Preset("peak"),), active_preset="peak")
    kinds = [type(c).__name__ for c in plan_changes(state, target).ok_value]
    assert kinds == ["PutPreset", "ActivatePreset", "DeletePreset"]


@pytest.mark.parametrize(
    "target",
    [
        Configuration(accounts=(Account("a"), Account("a", 1.0))),
        Configuration(links=()),
        Configuration(client_blocks=(ClientBlock("10.0.0.1/8", "a"),)),
        Configuration(services=(Service("plots", b"", "2"),)),
    ],
)
def test_unreachable_document_is_rejected(target):
    """Guards against a document that is accepted but not applied."""
    state = FleetState()
    state.links[("a", "b")] = Link("a", "b", 1.0)
    state.services["plots"] = Service("plots", b"", "1")
    failure = plan_changes(state, target).err_value
    assert failure.kind is ErrorKind.BAD_REQUEST


def test_blocks_are_compared_as_networks_and_removed():
    """Guards against a prefix that differs on every run because of its
    spelling, and against blocks that remain although the document omits
    them."""
    state = FleetState()
    state.client_blocks["2001:db8::/32"] = ClientBlock("2001:db8::/32", "a")
    state.client_blocks["10.0.0.0/8"] = ClientBlock("10.0.0.0/8", "a")
    target = Configuration(client_blocks=(ClientBlock("2001:DB8::/32", "a"),))
    (change,) = plan_changes(state, target).ok_value
    assert change.blocks == (ClientBlock("10.0.0.0/8", ""),)


def test_service_without_version_keeps_its_version():
    """Guards against an old document that reverts a finished move."""
    state = FleetState()
    state.services["plots"] = Service("plots", b"\x01" * 32, "2")
    target = Configuration(services=(Service("plots", b"\x01" * 32),))
    assert plan_changes(state, target).ok_value == ()


def test_many_blocks_are_split():
    """Guards against one log entry with millions of client blocks."""
    blocks = tuple(
        ClientBlock(f"10.{n // 256}.{n % 256}.0/24", "a")
        for n in range(BLOCKS_PER_CHANGE + 1)
    )
    target = Configuration(client_blocks=blocks)
    changes = plan_changes(FleetState(), target).ok_value
    assert [len(change.blocks) for change in changes] == [
        BLOCKS_PER_CHANGE,
        1,
    ]


DOCUMENT = {
    "accounts": [{"name": "crew", "rate_per_s": 10, "burst": 20}],
    "presets": [{"name": "day"}],
}


async def test_dry_run_changes_nothing(api, replica):
    """Guards against a dry run that applies changes."""
    status, response = await api.send(
        "POST", "/v1/configuration?dry_run=true", DOCUMENT
    )
    assert status == 200
    assert [change["change"] for change in response["changes"]] == [
        "put_account",
        "put_preset",
    ]
    assert response["changes"][0]["body"]["account"]["burst"] == 20
    assert replica.changes == []


async def test_changes_are_proposed_one_by_one(api, replica):
    """Guards against changes that skip the base revision check."""
    replica.state.revision = replica.state.operator_revision = 4
    status, response = await api.send(
        "POST",
        "/v1/configuration",
        DOCUMENT,
        X_Request_Id="doc",
        X_Base_Revision="4",
    )
    assert (status, response["applied"], response["revision"]) == (200, 2, 6)
    assert [change.base_revision for change in replica.changes] == [4, 5]
    names = [change.request_id for change in replica.changes]
    assert len(set(names)) == 2


async def test_base_revision_of_a_document_is_checked(api, replica):
    """Guards against a document that overwrites another operator's work."""
    replica.state.revision = replica.state.operator_revision = 4
    status, response = await api.send(
        "POST", "/v1/configuration", DOCUMENT, X_Base_Revision="3"
    )
    assert (status, response["revision"]) == (409, 4)
    assert replica.changes == []


async def test_retry_resumes_an_interrupted_document(api, replica):
    """Guards against a conflict with the request's own earlier changes."""
    propose = replica.propose

    async def propose_until_preset(change):
        if isinstance(change.body, PutPreset):
            return replica.propose_failure
        result = await propose(change)
        account = change.body.account
        replica.state.accounts[account.name] = account
        return result

    replica.propose_failure = fail(ErrorKind.NO_QUORUM, "no leader")
    replica.state.revision = replica.state.operator_revision = 4
    replica.propose = propose_until_preset
    headers = {"X_Request_Id": "doc", "X_Base_Revision": "4"}
    status, response = await api.send(
        "POST", "/v1/configuration", DOCUMENT, **headers
    )
    assert status == 503
    assert "1 of 2 changes are in force" in response["detail"]
    replica.propose = propose
    status, response = await api.send(
        "POST", "/v1/configuration", DOCUMENT, **headers
    )
    assert (status, response["applied"], response["revision"]) == (200, 1, 6)


async def test_document_round_trips(api, replica):
    """Guards against differences between a document and its own state."""
    _apply_all(replica.state, TARGET)
    replica.state.links[("a", "b")] = Link("a", "b", 1.0)
    _, response = await api.send("GET", "/v1/configuration?client_blocks=true")
    assert "keys" not in response["configuration"]
    status, response = await api.send(
        "POST", "/v1/configuration", response["configuration"]
    )
    assert (status, response["changes"]) == (200, [])


def test_every_section_of_the_document_is_compared():
    """Guards against a section added to the document but never applied."""
    sections = {field.name for field in attrs.fields(Configuration)}
    assert sections == {
        "accounts",
        "services",
        "routes",
        "presets",
        "active_preset",
        "client_blocks",
        "links",
    }
