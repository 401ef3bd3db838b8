"""Operator requests over HTTP."""

import pytest

from medlarhollow.errors import fail
from medlarhollow.messages.records import ActivatePreset
from medlarhollow.messages.records import DeleteAccount
from medlarhollow.messages.records import DeletePreset
from medlarhollow.messages.records import DeleteRoute
from medlarhollow.messages.records import DeleteService
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import IssueKey
from medlarhollow.messages.records import Key
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import Priority
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import PutClientBlocks
from medlarhollow.messages.records import PutLink
from medlarhollow.messages.records import PutPreset
from medlarhollow.messages.records import PutRoute
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import RevokeKey
from medlarhollow.messages.records import RollBackMove
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import StartMove

ACCOUNT = {"name": "crew", "rate_per_s": 10.0, "burst": 20}
HASH = "ab" * 32

CHANGES = [
    ("PUT", "/v1/accounts", ACCOUNT, PutAccount),
    ("DELETE", "/v1/accounts/crew", None, DeleteAccount),
    (
        "POST",
        "/v1/accounts/crew/keys",
        {"key_id": "k" * 16, "secret_sha256": HASH},
        IssueKey,
    ),
    ("DELETE", "/v1/keys/k1", None, RevokeKey),
    (
        "PUT",
        "/v1/services",
        {"name": "plots", "announce_sha256": HASH, "version": "1"},
        PutService,
    ),
    ("DELETE", "/v1/services/plots", None, DeleteService),
    (
        "PUT",
        "/v1/routes",
        {"path_prefix": "/plots", "service": "plots", "priority": "urgent"},
        PutRoute,
    ),
    ("DELETE", "/v1/routes?path_prefix=/plots", None, DeleteRoute),
    (
        "PUT",
        "/v1/presets",
        {
            "name": "peak",
            "weights": [{"from_region": "a", "to_region": "b", "weight": 0.5}],
        },
        PutPreset,
    ),
    ("DELETE", "/v1/presets/peak", None, DeletePreset),
    ("POST", "/v1/presets/peak/activate", None, ActivatePreset),
    (
        "POST",
        "/v1/moves",
        {"service": "plots", "to_version": "2", "deadline_s": 9e9},
        StartMove,
    ),
    ("POST", "/v1/moves/m1/roll-back", {}, RollBackMove),
    (
        "PUT",
        "/v1/client-blocks",
        {"blocks": [{"prefix": "10.0.0.0/8", "region": "north"}]},
        PutClientBlocks,
    ),
    (
        "PUT",
        "/v1/links",
        {"from_region": "a", "to_region": "b", "mbit_per_s": 4000},
        PutLink,
    ),
]


@pytest.mark.parametrize(("method", "path", "body", "kind"), CHANGES)
async def test_each_request_proposes_its_change(
    api, replica, method, path, body, kind
):
    """Guards against a request that is dropped or proposes another change."""
    status, response = await api.send(
        method, path, body, X_Request_Id="r1", X_Base_Revision="0"
    )
    assert (status, response) == (200, {"revision": 1, "request_id": "r1"})
    (change,) = replica.changes
    assert isinstance(change.body, kind)
    assert change.author == "ana"


async def test_body_values_reach_the_change(api, replica):
    """Guards against values that are lost or altered in conversion."""
    for number, (method, path, body, _) in enumerate(CHANGES):
        await api.send(method, path, body, X_Request_Id=f"r{number}")
    bodies = {type(change.body): change.body for change in replica.changes}
    assert bodies[PutRoute].route.priority is Priority.URGENT
    assert bodies[DeleteRoute].path_prefix == "/plots"
    assert bodies[IssueKey].key.secret_sha256 == bytes.fromhex(HASH)
    assert bodies[IssueKey].key.account == "crew"
    assert bodies[PutPreset].preset.weights[0].weight == 0.5
    assert bodies[StartMove].move.move_id == "r11"


BAD_BODIES = [
    ({"name": "crew", "rate_per_s": "10"}, "$.rate_per_s: must be a number"),
    ({"name": "crew", "rate_per_s": True}, "$.rate_per_s: must be a number"),
    ({"name": "crew", "burst": 10**400}, "$.burst: must be a finite number"),
    ({"name": 7}, "$.name: must be a string"),
    ({"name": "crew", "rate": 1}, "unknown: rate"),
    ([], "must be an object"),
    (None, "must be an object"),
]


@pytest.mark.parametrize(("body", "expected"), BAD_BODIES)
async def test_invalid_value_is_reported(api, replica, body, expected):
    """Guards against an invalid value that is accepted or not named."""
    data = None if body is not None else b"null"
    status, response = await api.send("PUT", "/v1/accounts", body, data=data)
    assert status == 400
    assert expected in response["detail"]
    assert replica.changes == []


BAD_TEXTS = [
    b"",
    b"{",
    b'{"name": "crew", "rate_per_s": NaN}',
    b"\xff",
    b"[" * 100_000,
]


@pytest.mark.parametrize("data", BAD_TEXTS, ids=range(len(BAD_TEXTS)))
async def test_malformed_json_is_rejected(api, data):
    """Guards against a parser error that becomes an internal error."""
    status, response = await api.send("PUT", "/v1/accounts", data=data)
    assert status == 400
    assert "not JSON" in response["detail"]


BAD_ENUMS = [
    (
        "/v1/routes",
        {"priority": "soon"},
        "one of ordinary, urgent, patient",
    ),
    (
        "/v1/services",
        {"announce_sha256": "xyz"},
        "$.announce_sha256: must be a hexadecimal string",
    ),
]


@pytest.mark.parametrize(("path", "body", "expected"), BAD_ENUMS)
async def test_invalid_enum_or_hash_is_reported(api, path, body, expected):
    """Guards against unchecked enumerations and hashes."""
    status, response = await api.send("PUT", path, body)
    assert status == 400
    assert expected in response["detail"]


@pytest.mark.parametrize(
    "headers",
    [
        {"X_Base_Revision": "-1"},
        {"X_Base_Revision": "one"},
        {"X_Base_Revision": "\u0661".encode().decode("latin-1")},
        {"X_Base_Revision": "9" * 30},
        {"X_Request_Id": ""},
        {"X_Request_Id": "a b"},
        {"X_Request_Id": "x" * 65},
    ],
)
async def test_invalid_header_is_rejected(api, replica, headers):
    """Guards against a header that breaks the handler or is ignored."""
    status, response = await api.send(
        "PUT", "/v1/accounts", ACCOUNT, **headers
    )
    assert status == 400
    assert replica.changes == []


async def test_retried_request_gets_its_first_response(api, replica):
    """Guards against a key issued twice after a lost response."""
    key_order = {"key_id": "k" * 16, "secret_sha256": HASH}
    path = "/v1/accounts/crew/keys"
    first = await api.send("POST", path, key_order, X_Request_Id="same")
    again = await api.send("POST", path, key_order, X_Request_Id="same")
    assert first == again
    assert len(replica.changes) == 1


async def test_operators_may_choose_equal_request_identifiers(api, replica):
    """Guards against a request that returns another operator's result."""
    other = {"name": "survey", "rate_per_s": 1, "burst": 1}
    await api.send("PUT", "/v1/accounts", ACCOUNT, X_Request_Id="1")
    status, response = await api.send(
        "PUT", "/v1/accounts", other, operator="rui", X_Request_Id="1"
    )
    assert (status, response["revision"]) == (200, 2)
    assert [change.author for change in replica.changes] == ["ana", "rui"]


async def test_conflict_reports_the_revision_in_force(api):
    """Guards against a conflict that lacks the revision for a retry."""
    await api.send("PUT", "/v1/accounts", ACCOUNT)
    await api.send("PUT", "/v1/accounts", ACCOUNT, X_Base_Revision="1")
    status, response = await api.send(
        "PUT", "/v1/accounts", ACCOUNT, X_Base_Revision="1"
    )
    assert (status, response["revision"]) == (409, 2)


async def test_every_path_requires_a_token(api, replica):
    """Guards against a request accepted without authentication."""
    for method, path, body, _ in CHANGES:
        status, response = await api.send(method, path, body, operator=None)
        assert (status, response["error"]) == (401, "unauthenticated")
    for path in ("/v1/accounts", "/v1/status", "/v1/keys"):
        assert (await api.send("GET", path, operator=None))[0] == 401
    assert replica.changes == []


async def test_keys_are_listed_without_secrets(api, replica):
    """Guards against a list that exposes hashes of secrets."""
    replica.state.keys["k1"] = Key("k1", "crew", b"\x07" * 32, 5.0)
    replica.state.keys["k2"] = Key("k2", "survey", b"\x07" * 32, 6.0)
    status, response = await api.send("GET", "/v1/keys?account=crew")
    assert status == 200
    assert response["keys"] == [
        {"key_id": "k1", "account": "crew", "issued_at_s": 5.0}
    ]


async def test_large_body_is_rejected(api):
    """Guards against a body that exhausts the memory of a replica."""
    status, response = await api.send(
        "PUT", "/v1/accounts", data=b" " * (1024 * 1024 + 1)
    )
    assert (status, response["error"]) == (413, "too_large")


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/v1/none", 404),
        ("DELETE", "/v1/status", 405),
        ("GET", "/v1/moves/none", 404),
        ("GET", "/v1/accounts?wrong=1", 400),
    ],
)
async def test_routing_errors_are_json(api, method, path, expected):
    """Guards against error responses that a script cannot parse."""
    status, response = await api.send(method, path)
    assert status == expected
    assert response["outcome"] == "not-run"


async def test_missing_quorum_maps_to_its_status(api, replica):
    """Guards against an unavailable quorum reported as success."""
    replica.failure = fail(ErrorKind.NO_QUORUM, "no leader")
    status, response = await api.send("PUT", "/v1/accounts", ACCOUNT)
    assert (status, response["error"]) == (503, "no_quorum")


async def test_presets_and_moves_are_shown(api, replica):
    """Guards against moves and presets whose state is not visible."""
    replica.state.shift = Shift(preset="peak", fraction=0.25)
    replica.state.moves["m1"] = Move(
        "m1", "plots", state=MoveState.ROLLED_BACK, reason="errors"
    )
    _, preset = await api.send("GET", "/v1/active-preset")
    _, move = await api.send("GET", "/v1/moves/m1")
    assert (preset["preset"], preset["fraction"]) == ("peak", 0.25)
    assert (move["state"], move["reason"]) == ("rolled_back", "errors")
