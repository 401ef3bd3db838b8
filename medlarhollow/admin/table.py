"""Table of the administration API: paths, methods and operations."""

import attrs

from ..messages import records
from . import documents
from . import operations

__all__ = ["BODY_LIMIT_BYTES", "OPERATIONS", "Operation"]

BODY_LIMIT_BYTES = 1024 * 1024
# 100,000 client blocks are about 6 MB of JSON.
LARGE_BODY_LIMIT_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Operation:
    """One path and method of the API.

    Attributes
    ----------
    method, path : str
        HTTP method and path, with parameters in braces.
    name : str
        Identifier, unique in the table.
    summary : str
        One sentence for operators.
    run : callable
        Coroutine function of `FleetAdmin` and `OperatorRequest` that returns a
        `result.Result`.
    body : type or None
        Record class of the request's body.
    query : tuple of str
        Names of query parameters.
    answer : type or None
        Record class of the answer, if it is no list.
    items : tuple of (str, type) or None
        Name and record class of the items of a list.
    is_change : bool
        Whether it alters the fleet.
    body_limit_bytes : int
        Largest body.
    """

    method: str
    path: str
    name: str
    summary: str
    run: object
    body: type | None = None
    query: tuple[str, ...] = ()
    answer: type | None = None
    items: tuple | None = None
    is_change: bool = False
    body_limit_bytes: int = BODY_LIMIT_BYTES


def _list(path, name, cls, **more):
    more.setdefault("run", operations.read_table(name))
    return Operation(
        "GET",
        path,
        f"list_{name}",
        f"List the {name.replace('_', ' ')}.",
        items=(name, cls),
        **more,
    )


def _change(method, path, name, summary, body=None, **more):
    make = getattr(operations, name)
    return Operation(
        method,
        path,
        name,
        summary,
        operations.change_of(make),
        body=body,
        answer=documents.Accepted,
        is_change=True,
        **more,
    )


OPERATIONS = (
    _list("/v1/accounts", "accounts", records.Account),
    _change(
        "PUT",
        "/v1/accounts",
        "put_account",
        "Set an account.",
        records.Account,
    ),
    _change(
        "DELETE",
        "/v1/accounts/{account}",
        "delete_account",
        "Delete an account with its keys.",
    ),
    _list(
        "/v1/keys",
        "keys",
        documents.KeySummary,
        run=operations.read_keys,
        query=("account",),
    ),
    _change(
        "POST",
        "/v1/accounts/{account}/keys",
        "issue_key",
        "Issue a key whose secret the client made and keeps.",
        documents.KeyOrder,
    ),
    _change("DELETE", "/v1/keys/{key}", "revoke_key", "Revoke a key."),
    _list("/v1/services", "services", records.Service),
    _change(
        "PUT",
        "/v1/services",
        "put_service",
        "Set a service.",
        records.Service,
    ),
    _change(
        "DELETE",
        "/v1/services/{service}",
        "delete_service",
        "Delete a service that no route uses.",
    ),
    _list("/v1/routes", "routes", records.Route),
    _change("PUT", "/v1/routes", "put_route", "Set a route.", records.Route),
    _change(
        "DELETE",
        "/v1/routes",
        "delete_route",
        "Delete the route of a host and path prefix.",
        query=("host", "path_prefix"),
    ),
    _list("/v1/presets", "presets", records.Preset),
    _change(
        "PUT", "/v1/presets", "put_preset", "Set a preset.", records.Preset
    ),
    _change(
        "DELETE",
        "/v1/presets/{preset}",
        "delete_preset",
        "Delete a preset that is not in force.",
    ),
    _change(
        "POST",
        "/v1/presets/{preset}/activate",
        "activate_preset",
        "Start the shift of traffic to a preset.",
    ),
    Operation(
        "GET",
        "/v1/active-preset",
        "read_active_preset",
        "Tell the preset in force and how far the shift to it has come.",
        operations.read_active_preset,
        answer=documents.ActivePreset,
    ),
    _list("/v1/moves", "moves", records.Move),
    _change(
        "POST",
        "/v1/moves",
        "start_move",
        "Start a version move that ends by a deadline.",
        documents.MoveOrder,
    ),
    Operation(
        "GET",
        "/v1/moves/{move}",
        "read_move",
        "Show a move.",
        operations.read_move,
        answer=records.Move,
    ),
    _change(
        "POST",
        "/v1/moves/{move}/roll-back",
        "roll_back_move",
        "Roll a move back.",
        documents.RollBackOrder,
    ),
    _list(
        "/v1/client-blocks",
        "client_blocks",
        records.ClientBlock,
        query=("after",),
    ),
    _change(
        "PUT",
        "/v1/client-blocks",
        "put_client_blocks",
        "Set client blocks.",
        documents.ClientBlocks,
        body_limit_bytes=LARGE_BODY_LIMIT_BYTES,
    ),
    _list("/v1/links", "links", records.Link),
    _change("PUT", "/v1/links", "put_link", "Set a link.", records.Link),
    Operation(
        "GET",
        "/v1/status",
        "read_status",
        "Show replicas, entry VMs and data centres.",
        operations.read_status,
        answer=documents.FleetStatus,
    ),
    Operation(
        "PUT",
        "/v1/replicas/{replica}",
        "add_replica",
        "Add a control replica or replace its incarnation.",
        operations.set_replica,
        body=documents.ReplicaOrder,
        answer=documents.Accepted,
        is_change=True,
    ),
    Operation(
        "DELETE",
        "/v1/replicas/{replica}",
        "remove_replica",
        "Remove a control replica.",
        operations.set_replica,
        answer=documents.Accepted,
        is_change=True,
    ),
    Operation(
        "GET",
        "/v1/configuration",
        "read_configuration",
        "Return the whole configuration.",
        operations.read_configuration,
        query=("client_blocks",),
        items=("configuration", documents.Configuration),
    ),
    Operation(
        "POST",
        "/v1/configuration",
        "apply_configuration",
        "Bring a whole configuration into force, or show the differences.",
        operations.apply_configuration,
        body=documents.Configuration,
        query=("dry_run",),
        answer=documents.ConfigurationAnswer,
        is_change=True,
        body_limit_bytes=LARGE_BODY_LIMIT_BYTES,
    ),
)
