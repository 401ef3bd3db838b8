"""The whole configuration as one document."""

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

WANTED = Configuration(
    accounts=(Account("crew", 10.0, 20.0), Account("office", 1.0, 2.0)),
    services=(Service("plots", b"\x01" * 32, "1"),),
    routes=(Route(path_prefix="/plots", service="plots"),),
)


def _apply_all(state, wanted):
    planned = plan_changes(state, wanted)
    for change in planned.ok_value:
        assert apply(change, state, 1.0).is_ok(), change
    return planned.ok_value


def test_plan_leads_to_the_document_in_an_allowed_order():
    """Guards against a difference that is missed or put too early."""
    state = FleetState()
    assert len(_apply_all(state, WANTED)) == 4
    held = describe_state(state)
    assert held.accounts == WANTED.accounts
    assert held.routes == WANTED.routes
    assert plan_changes(state, WANTED).ok_value == ()


def test_what_is_left_out_of_a_given_part_is_deleted():
    """Guards against routes that outlive the document, and against parts
    deleted because the document does not mention them."""
    state = FleetState()
    _apply_all(state, WANTED)
    _apply_all(state, Configuration(services=(), routes=()))
    held = describe_state(state)
    assert held.services == ()
    assert held.accounts == WANTED.accounts


def test_presets_are_put_before_and_deleted_after_the_activation():
    """Guards against a switch to a preset that is not there yet."""
    state = FleetState()
    state.presets["day"] = Preset("day")
    state.shift = Shift(preset="day")
    wanted = Configuration(presets=(Preset("peak"),), active_preset="peak")
    kinds = [type(c).__name__ for c in plan_changes(state, wanted).ok_value]
    assert kinds == ["PutPreset", "ActivatePreset", "DeletePreset"]


@pytest.mark.parametrize(
    "wanted",
    [
        Configuration(accounts=(Account("a"), Account("a", 1.0))),
        Configuration(links=()),
        Configuration(client_blocks=(ClientBlock("10.0.0.1/8", "a"),)),
        Configuration(services=(Service("plots", b"", "2"),)),
    ],
)
def test_document_that_cannot_be_reached_is_refused(wanted):
    """Guards against a document that is accepted but not in force."""
    state = FleetState()
    state.links[("a", "b")] = Link("a", "b", 1.0)
    state.services["plots"] = Service("plots", b"", "1")
    failure = plan_changes(state, wanted).err_value
    assert failure.kind is ErrorKind.BAD_REQUEST


def test_blocks_are_compared_as_networks_and_removed():
    """Guards against a prefix that is changed for ever because of its
    spelling, and against blocks that outlive the document."""
    state = FleetState()
    state.client_blocks["2001:db8::/32"] = ClientBlock("2001:db8::/32", "a")
    state.client_blocks["10.0.0.0/8"] = ClientBlock("10.0.0.0/8", "a")
    wanted = Configuration(client_blocks=(ClientBlock("2001:DB8::/32", "a"),))
    (change,) = plan_changes(state, wanted).ok_value
    assert change.blocks == (ClientBlock("10.0.0.0/8", ""),)


def test_service_without_version_keeps_it():
    """Guards against a stored document that undoes a finished move."""
    state = FleetState()
    state.services["plots"] = Service("plots", b"\x01" * 32, "2")
    wanted = Configuration(services=(Service("plots", b"\x01" * 32),))
    assert plan_changes(state, wanted).ok_value == ()


def test_many_blocks_are_split():
    """Guards against one log entry with millions of client blocks."""
    blocks = tuple(
        ClientBlock(f"10.{n // 256}.{n % 256}.0/24", "a")
        for n in range(BLOCKS_PER_CHANGE + 1)
    )
    wanted = Configuration(client_blocks=blocks)
    changes = plan_changes(FleetState(), wanted).ok_value
    assert [len(change.blocks) for change in changes] == [
        BLOCKS_PER_CHANGE,
        1,
    ]


DOCUMENT = {
    "accounts": [{"name": "crew", "rate_per_s": 10, "burst": 20}],
    "presets": [{"name": "day"}],
}


async def test_dry_run_changes_nothing(api, replica):
    """Guards against a preview that takes effect."""
    status, answer = await api.send(
        "POST", "/v1/configuration?dry_run=true", DOCUMENT
    )
    assert status == 200
    assert [change["change"] for change in answer["changes"]] == [
        "put_account",
        "put_preset",
    ]
    assert answer["changes"][0]["body"]["account"]["burst"] == 20
    assert replica.changes == []


async def test_differences_are_applied_as_single_changes(api, replica):
    """Guards against changes that skip the check of their base."""
    replica.state.revision = replica.state.operator_revision = 4
    status, answer = await api.send(
        "POST",
        "/v1/configuration",
        DOCUMENT,
        X_Request_Id="doc",
        X_Base_Revision="4",
    )
    assert (status, answer["applied"], answer["revision"]) == (200, 2, 6)
    assert [change.base_revision for change in replica.changes] == [4, 5]
    names = [change.request_id for change in replica.changes]
    assert len(set(names)) == 2


async def test_base_revision_of_a_document_is_checked(api, replica):
    """Guards against a document that overwrites another operator's work."""
    replica.state.revision = replica.state.operator_revision = 4
    status, answer = await api.send(
        "POST", "/v1/configuration", DOCUMENT, X_Base_Revision="3"
    )
    assert (status, answer["revision"]) == (409, 4)
    assert replica.changes == []


async def test_interrupted_document_goes_on_when_resent(api, replica):
    """Guards against a conflict with one's own first half."""
    propose = replica.propose

    async def propose_until_preset(change):
        if isinstance(change.body, PutPreset):
            return replica.lost
        result = await propose(change)
        account = change.body.account
        replica.state.accounts[account.name] = account
        return result

    replica.lost = fail(ErrorKind.NO_QUORUM, "no leader")
    replica.state.revision = replica.state.operator_revision = 4
    replica.propose = propose_until_preset
    headers = {"X_Request_Id": "doc", "X_Base_Revision": "4"}
    status, answer = await api.send(
        "POST", "/v1/configuration", DOCUMENT, **headers
    )
    assert status == 503
    assert "1 of 2 changes are in force" in answer["detail"]
    replica.propose = propose
    status, answer = await api.send(
        "POST", "/v1/configuration", DOCUMENT, **headers
    )
    assert (status, answer["applied"], answer["revision"]) == (200, 1, 6)


async def test_document_round_trips(api, replica):
    """Guards against a document that differs from itself when sent back."""
    _apply_all(replica.state, WANTED)
    replica.state.links[("a", "b")] = Link("a", "b", 1.0)
    _, answer = await api.send("GET", "/v1/configuration?client_blocks=true")
    assert "keys" not in answer["configuration"]
    status, answer = await api.send(
        "POST", "/v1/configuration", answer["configuration"]
    )
    assert (status, answer["changes"]) == (200, [])


def test_every_part_of_the_document_is_compared():
    """Guards against a part added to the document but never applied."""
    parts = {field.name for field in attrs.fields(Configuration)}
    assert parts == {
        "accounts",
        "services",
        "routes",
        "presets",
        "active_preset",
        "client_blocks",
        "links",
    }
