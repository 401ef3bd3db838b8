"""Apply changes to services and routes."""

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import DeleteRoute
from ..messages.records import DeleteService
from ..messages.records import ErrorKind
from ..messages.records import MoveState
from ..messages.records import PutRoute
from ..messages.records import PutService
from ..messages.records import SetServiceVersion
from .apply import apply
from .names import check_name

__all__ = []

_SHA256_BYTES = 32


@apply.register
def _put_service(change: PutService, state, now):
    service = change.service
    if service is None:
        return fail(ErrorKind.BAD_REQUEST, "a service is needed")
    checked_name = check_name("service", service.name)
    if checked_name.is_err():
        return checked_name
    if len(service.announce_sha256) != _SHA256_BYTES:
        return fail(
            ErrorKind.BAD_REQUEST, "a service needs the hash of a credential"
        )
    if not service.version:
        return fail(ErrorKind.BAD_REQUEST, "a service needs a version")
    current = state.services.get(service.name)
    if current is not None and current.version != service.version:
        return fail(
            ErrorKind.CONFLICT,
            f"'{service.name}' is at version '{current.version}'; another "
            "version takes over by a move",
        )
    state.services[service.name] = service
    return Ok(None)


@apply.register
def _set_service_version(change: SetServiceVersion, state, now):
    current = state.services.get(change.service)
    if current is None:
        return fail(ErrorKind.NOT_FOUND, f"no service '{change.service}'")
    if current.version or not change.version:
        return fail(
            ErrorKind.CONFLICT,
            f"'{change.service}' is at version '{current.version}'",
        )
    state.services[change.service] = attrs.evolve(
        current, version=change.version
    )
    return Ok(None)


@apply.register
def _delete_service(change: DeleteService, state, now):
    if change.name not in state.services:
        return fail(ErrorKind.NOT_FOUND, f"no service '{change.name}'")
    route_prefixes = [
        route.path_prefix
        for route in state.routes.values()
        if route.service == change.name
    ]
    if route_prefixes:
        return fail(
            ErrorKind.CONFLICT,
            f"service '{change.name}' is used by the routes {route_prefixes}",
        )
    moves = [
        move for move in state.moves.values() if move.service == change.name
    ]
    for move in moves:
        if move.state is MoveState.IN_PROGRESS:
            return fail(
                ErrorKind.CONFLICT,
                f"move '{move.move_id}' of '{change.name}' is in progress",
            )
    for move in moves:
        del state.moves[move.move_id]
    del state.services[change.name]
    return Ok(None)


@apply.register
def _put_route(change: PutRoute, state, now):
    route = change.route
    if route is None or not route.path_prefix.startswith("/"):
        return fail(
            ErrorKind.BAD_REQUEST, "a route needs a path prefix like /plots"
        )
    if route.path_prefix.startswith("/v1/lookup"):
        return fail(ErrorKind.BAD_REQUEST, "/v1/lookup is taken")
    if route.service not in state.services:
        return fail(ErrorKind.NOT_FOUND, f"no service '{route.service}'")
    if route.timeout_s < 0 or route.stale_keys_s < 0:
        return fail(ErrorKind.BAD_REQUEST, "times must not be negative")
    if route.stale_keys_s and not route.idempotent:
        return fail(
            ErrorKind.BAD_REQUEST,
            "stale_keys_s is allowed on idempotent routes only",
        )
    state.routes[(route.host, route.path_prefix)] = route
    state.longest_stale_keys_s = max(
        state.longest_stale_keys_s, route.stale_keys_s
    )
    return Ok(None)


@apply.register
def _delete_route(change: DeleteRoute, state, now):
    route_key = (change.host, change.path_prefix)
    if route_key not in state.routes:
        return fail(ErrorKind.NOT_FOUND, f"no route {route_key}")
    del state.routes[route_key]
    return Ok(None)
