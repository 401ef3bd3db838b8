"""Operation table of the administration API."""

import attrs

from ..messages import records
from . import documents
from . import operations

__all__ = ["BODY_LIMIT_BYTES", "OPERATIONS", "Operation"]

BODY_LIMIT_BYTES = 1024 * 1024
# 100,000 client blocks take about 6 MB of JSON.
LARGE_BODY_LIMIT_BYTES = 16 * 1024 * 1024


@attrs.frozen
class Operation:
    """One path and method of the API.

    Attributes
    ----------
    method, path : str
        HTTP method and path, with parameters in braces.
    name : str
        Operation identifier, unique in the table.
    summary : str
        One sentence for the API description.
    run : callable
        Coroutine function of `FleetAdmin` and `OperatorRequest` that returns a
        `result.Result`.
    body : type or None
        Record class of the request body.
    query : tuple of str
        Names of query parameters.
    response : type or None
        Record class of the response, unless `items` describes it.
    items : tuple of (str, type) or None
        Field name and record class of a response with revisions.
    is_change : bool
        Whether the operation changes the fleet state.
    body_limit_bytes : int
        Maximum size of the request body.
    """

    method: str
    path: str
    name: str
    summary: str
    run: object
    body: type | None = None
    query: tuple[str, ...] = ()
    response: type | None = None
    items: tuple | None = None
    is_change: bool = False
    body_limit_bytes: int = BODY_LIMIT_BYTES


def _list_operation(path, name, cls, **options):
    options.setdefault("run", operations.make_list_operation(name))
    return Operation(
        "GET",
        path,
        f"list_{name}",
        f"List the {name.replace('_', ' ')}.",
        items=(name, cls),
        **options,
    )


def _change_operation(method, path, name, summary, body=None, **options):
    make_body = getattr(operations, name)
    return Operation(
        method,
        path,
        name,
        summary,
        operations.make_change_operation(make_body),
        body=body,
        response=documents.Accepted,
        is_change=True,
        **options,
    )


OPERATIONS = (
    _list_operation("/v1/accounts", "accounts", records.Account),
    _change_operation(
        "PUT",
        "/v1/accounts",
        "put_account",
        "Set an account.",
        records.Account,
    ),
    _change_operation(
        "DELETE",
        "/v1/accounts/{account}",
        "delete_account",
        "Delete an account with its keys.",
    ),
    _list_operation(
        "/v1/keys",
        "keys",
        documents.KeySummary,
        run=operations.list_keys,
        query=("account",),
    ),
    _change_operation(
        "POST",
        "/v1/accounts/{account}/keys",
        "issue_key",
        "Issue a key; the client generates and keeps its secret.",
        documents.KeyOrder,
    ),
    _change_operation(
        "DELETE", "/v1/keys/{key}", "revoke_key", "Revoke a key."
    ),
    _list_operation("/v1/services", "services", records.Service),
    _change_operation(
        "PUT",
        "/v1/services",
        "put_service",
        "Set a service.",
        records.Service,
    ),
    _change_operation(
        "DELETE",
        "/v1/services/{service}",
        "delete_service",
        "Delete a service that no route uses.",
    ),
    _list_operation("/v1/routes", "routes", records.Route),
    _change_operation(
        "PUT", "/v1/routes", "put_route", "Set a route.", records.Route
    ),
    _change_operation(
        "DELETE",
        "/v1/routes",
        "delete_route",
        "Delete the route of a host and path prefix.",
        query=("host", "path_prefix"),
    ),
    _list_operation("/v1/presets", "presets", records.Preset),
    _change_operation(
        "PUT", "/v1/presets", "put_preset", "Set a preset.", records.Preset
    ),
    _change_operation(
        "DELETE",
        "/v1/presets/{preset}",
        "delete_preset",
        "Delete a preset that is not in force.",
    ),
    _change_operation(
        "POST",
        "/v1/presets/{preset}/activate",
        "activate_preset",
        "Start the shift of traffic to a preset.",
    ),
    Operation(
        "GET",
        "/v1/active-preset",
        "read_active_preset",
        "Show the preset in force and the progress of the shift to it.",
        operations.read_active_preset,
        response=documents.ActivePreset,
    ),
    _list_operation("/v1/moves", "moves", records.Move),
    _change_operation(
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
        response=records.Move,
    ),
    _change_operation(
        "POST",
        "/v1/moves/{move}/roll-back",
        "roll_back_move",
        "Roll a move back.",
        documents.RollBackOrder,
    ),
    _list_operation(
        "/v1/client-blocks",
        "client_blocks",
        records.ClientBlock,
        query=("after",),
    ),
    _change_operation(
        "PUT",
        "/v1/client-blocks",
        "put_client_blocks",
        "Set client blocks.",
        documents.ClientBlocks,
        body_limit_bytes=LARGE_BODY_LIMIT_BYTES,
    ),
    _list_operation("/v1/links", "links", records.Link),
    _change_operation(
        "PUT", "/v1/links", "put_link", "Set a link.", records.Link
    ),
    Operation(
        "GET",
        "/v1/status",
        "read_status",
        "Show replicas, entry VMs and data centres.",
        operations.read_status,
        response=documents.FleetStatus,
    ),
    Operation(
        "PUT",
        "/v1/replicas/{replica}",
        "add_replica",
        "Add a control replica or replace its incarnation.",
        operations.set_replica,
        body=documents.ReplicaOrder,
        response=documents.Accepted,
        is_change=True,
    ),
    Operation(
        "DELETE",
        "/v1/replicas/{replica}",
        "remove_replica",
        "Remove a control replica.",
        operations.set_replica,
        response=documents.Accepted,
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
        "Apply a whole configuration, or only show the changes.",
        operations.apply_configuration,
        body=documents.Configuration,
        query=("dry_run",),
        response=documents.ConfigurationAnswer,
        is_change=True,
        body_limit_bytes=LARGE_BODY_LIMIT_BYTES,
    ),
)
