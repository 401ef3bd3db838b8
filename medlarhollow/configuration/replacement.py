"""Replace accounts, keys, services and routes with one document."""

import hashlib
import math

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import AcceptedConfiguration
from ..messages.records import ErrorKind
from ..messages.records import MoveState
from ..messages.records import PutConfiguration
from .accounts import remove_account
from .apply import apply
from .shares import group_shares
from .shares import MAX_RATE_OR_BURST
from .shares import scale_down_shares
from .shares import store_account

__all__ = ["ROUTE_TIMEOUT_LIMIT_S", "check_configuration"]

# A longer response timeout indicates a value given in the wrong unit.
ROUTE_TIMEOUT_LIMIT_S = 600.0
# Accepted documents that are remembered to recognise retries: those of a day
# of the design size.
ACCEPTED_LIMIT = 10_000


def check_configuration(configuration):
    """Validate a configuration independently of the fleet state.

    Parameters
    ----------
    configuration : Configuration
        Configuration submitted by an operator.

    Returns
    -------
    list of str
        Description of each fault; empty if the configuration is valid.
    """
    return [
        *_check_names(configuration),
        *_check_accounts(configuration.accounts),
        *_check_keys(configuration),
        *_check_routes(configuration),
    ]


@apply.register
def _put_configuration(change: PutConfiguration, state, now):
    new = change.configuration
    if new is None or new.version < 1:
        return fail(ErrorKind.BAD_REQUEST, "a configuration needs a version")
    digest = new.document_sha256
    if len(digest) != hashlib.sha256().digest_size:
        return fail(ErrorKind.BAD_REQUEST, "the document's digest is missing")
    accepted = state.accepted.get(new.version)
    if accepted is not None and accepted.sha256 == digest:
        # A retry, possibly after later versions were accepted.
        return Ok(None)
    if change.base_version != state.configuration_version:
        return fail(
            ErrorKind.CONFLICT,
            f"based on version {change.base_version}, in force is "
            f"{state.configuration_version}",
            revision=state.configuration_version,
        )
    if new.version <= state.configuration_version:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"version {new.version} does not follow "
            f"{state.configuration_version}",
        )
    faults = check_configuration(new)
    if faults:
        return fail(ErrorKind.BAD_REQUEST, "; ".join(faults))
    _replace_accounts(state, new)
    _replace_services(state, new)
    state.keys = {
        key.key_id: attrs.evolve(key, issued_at_s=now) for key in new.keys
    }
    state.routes = {
        (route.host, route.path_prefix): route for route in new.routes
    }
    state.longest_stale_keys_s = max(
        [state.longest_stale_keys_s]
        + [route.stale_keys_s for route in new.routes]
    )
    state.limits = new.limits
    state.document = new.document
    state.configuration_version = new.version
    state.accepted[new.version] = AcceptedConfiguration(new.version, digest)
    while len(state.accepted) > ACCEPTED_LIMIT:
        del state.accepted[min(state.accepted)]
    return Ok(None)


def _replace_accounts(state, new):
    new_accounts = {account.name: account for account in new.accounts}
    for name in [name for name in state.accounts if name not in new_accounts]:
        remove_account(state, name)
    shares = group_shares(state)
    for account in new_accounts.values():
        store_account(state, account)
        if account.rate_per_s:
            scale_down_shares(state, account, shares.get(account.name, {}))


def _replace_services(state, new):
    """Replace the services; existing ones keep their current version."""
    old_services = state.services
    state.services = {
        service.name: attrs.evolve(
            service,
            version=old_services[service.name].version
            if service.name in old_services
            else service.version,
        )
        for service in new.services
    }
    for move_id, move in list(state.moves.items()):
        if (
            move.service not in state.services
            and move.state is not MoveState.IN_PROGRESS
        ):
            del state.moves[move_id]
    for move in state.moves.values():
        if move.service not in state.services:
            # Keep a removed service until its move has ended.
            state.services[move.service] = old_services[move.service]


def _check_names(configuration):
    for kind, records in (
        ("account", configuration.accounts),
        ("service", configuration.services),
    ):
        names = [record.name for record in records]
        if "" in names:
            yield f"{kind} without a name"
        for name in sorted({name for name in names if names.count(name) > 1}):
            yield f"two records for {kind} '{name}'"


def _check_accounts(accounts):
    for account in accounts:
        if not 0 <= account.rate_per_s <= MAX_RATE_OR_BURST:
            yield f"account '{account.name}' has a rate out of range"
        elif (
            account.rate_per_s and not 0 <= account.burst <= MAX_RATE_OR_BURST
        ):
            yield f"account '{account.name}' has a burst out of range"


def _check_keys(configuration):
    names = {account.name for account in configuration.accounts}
    key_owners = {}
    for key in configuration.keys:
        if key.account not in names:
            yield f"a key belongs to the unknown account '{key.account}'"
        owner = key_owners.setdefault(key.key_id, key.account)
        if owner != key.account:
            yield f"accounts '{owner}' and '{key.account}' share a key"


def _check_routes(configuration):
    services = {service.name for service in configuration.services}
    seen_routes = set()
    for route in configuration.routes:
        label = f"route '{route.host}{route.path_prefix}'"
        if (route.host, route.path_prefix) in seen_routes:
            yield f"two records for {label}"
        seen_routes.add((route.host, route.path_prefix))
        if not route.path_prefix.startswith("/"):
            yield f"{label} needs a path prefix that begins with a slash"
        if not 0 < route.timeout_s <= ROUTE_TIMEOUT_LIMIT_S:
            yield (
                f"{label} needs a timeout above 0 and up to "
                f"{ROUTE_TIMEOUT_LIMIT_S:g} s"
            )
        if not route.attempts:
            yield f"{label} allows no attempt"
        for name in _destination_services(route):
            if name not in services:
                yield f"{label} names the unknown service '{name}'"
        yield from _check_split(label, route)


def _destination_services(route):
    if route.split:
        return [destination.service for destination in route.split]
    return [route.service]


def _check_split(label, route):
    if not route.split:
        return
    weights = [destination.weight for destination in route.split]
    if not all(0 <= weight < math.inf for weight in weights):
        yield f"{label} has a weight out of range"
    elif not sum(weights):
        yield f"{label} has a split without weight"
