"""Compute the changes that turn the fleet state into a configuration."""

import ipaddress

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ActivatePreset
from ..messages.records import ClientBlock
from ..messages.records import DeleteAccount
from ..messages.records import DeletePreset
from ..messages.records import DeleteRoute
from ..messages.records import DeleteService
from ..messages.records import ErrorKind
from ..messages.records import PutAccount
from ..messages.records import PutClientBlocks
from ..messages.records import PutLink
from ..messages.records import PutPreset
from ..messages.records import PutRoute
from ..messages.records import PutService
from .documents import Configuration

__all__ = ["BLOCKS_PER_CHANGE", "describe_state", "plan_changes"]

# 2,000 blocks take about 80 KB in the log, well below the limit of a message.
BLOCKS_PER_CHANGE = 2000


@attrs.frozen
class _Section:
    """Name, record key and change classes of one configuration section."""

    name: str
    key: object
    put: object
    delete: object = None


def _name_of(record):
    return record.name


def _delete_route(key):
    return DeleteRoute(host=key[0], path_prefix=key[1])


_ACCOUNTS = _Section("accounts", _name_of, PutAccount, DeleteAccount)
_SERVICES = _Section("services", _name_of, PutService, DeleteService)
_ROUTES = _Section(
    "routes",
    lambda route: (route.host, route.path_prefix),
    PutRoute,
    _delete_route,
)
_PRESETS = _Section("presets", _name_of, PutPreset, DeletePreset)
_LINKS = _Section(
    "links", lambda link: (link.from_region, link.to_region), PutLink
)
_BLOCKS = _Section("client_blocks", lambda block: block.prefix, None)


def describe_state(state, with_blocks=False):
    """Return the configuration in force.

    Parameters
    ----------
    state : FleetState
        The fleet state.
    with_blocks : bool
        Whether to include the client blocks; there can be millions.

    Returns
    -------
    Configuration
        Records sorted by key.
    """
    return Configuration(
        accounts=_sorted(state.accounts),
        services=_sorted(state.services),
        routes=_sorted(state.routes),
        presets=_sorted(state.presets),
        active_preset=state.shift.preset if state.shift else "",
        client_blocks=_sorted(state.client_blocks) if with_blocks else None,
        links=_sorted(state.links),
    )


def plan_changes(state, target):
    """Return the changes that bring a configuration into force.

    Parameters
    ----------
    state : FleetState
        The fleet state; it is not modified.
    target : Configuration
        Desired configuration; a section that is None is left unchanged.

    Returns
    -------
    result.Result
        ``Ok`` with a tuple of change bodies, ordered so that each one is
        valid: records that others refer to are put first and deleted last.
        ``BAD_REQUEST`` if the configuration cannot be reached.
    """
    prepared = _normalize(state, target)
    if prepared.is_err():
        return prepared
    target = prepared.ok_value
    for section in (_ACCOUNTS, _SERVICES, _ROUTES, _PRESETS, _LINKS, _BLOCKS):
        duplicate = _find_duplicate(
            section, getattr(target, section.name) or ()
        )
        if duplicate is not None:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"{section.name}: {duplicate} is duplicated",
            )
    missing = _find_missing_link(state, target)
    if missing is not None:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"links: {missing} is missing; a link cannot be deleted",
        )
    return Ok(
        (
            *_plan_puts(state, target, _ACCOUNTS),
            *_plan_puts(state, target, _SERVICES),
            *_plan_puts(state, target, _ROUTES),
            *_plan_deletes(state, target, _ROUTES),
            *_plan_deletes(state, target, _SERVICES),
            *_plan_deletes(state, target, _ACCOUNTS),
            *_plan_puts(state, target, _PRESETS),
            *_plan_activation(state, target),
            *_plan_deletes(state, target, _PRESETS),
            *_plan_puts(state, target, _LINKS),
            *_plan_block_puts(state, target),
        )
    )


def _sorted(table):
    return tuple(table[key] for key in sorted(table))


def _find_duplicate(section, records):
    seen = set()
    for record in records:
        key = section.key(record)
        if key in seen:
            return key
        seen.add(key)
    return None


def _find_missing_link(state, target):
    if target.links is None:
        return None
    requested = {_LINKS.key(link) for link in target.links}
    return next((key for key in state.links if key not in requested), None)


def _normalize(state, target):
    """Write prefixes in canonical form and fill in omitted versions."""
    try:
        blocks = target.client_blocks and tuple(
            attrs.evolve(block, prefix=str(ipaddress.ip_network(block.prefix)))
            for block in target.client_blocks
        )
    except ValueError as error:
        return fail(ErrorKind.BAD_REQUEST, f"client_blocks: {error}")
    services = []
    for service in target.services or ():
        current = state.services.get(service.name)
        version = service.version or (current.version if current else "")
        if current is not None and version != current.version:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"services: '{service.name}' is at version "
                f"'{current.version}'; omit the version and change it by "
                "a move",
            )
        services.append(attrs.evolve(service, version=version))
    return Ok(
        attrs.evolve(
            target,
            client_blocks=blocks,
            services=None if target.services is None else tuple(services),
        )
    )


def _plan_puts(state, target, section):
    current = getattr(state, section.name)
    return [
        section.put(record)
        for record in getattr(target, section.name) or ()
        if current.get(section.key(record)) != record
    ]


def _plan_deletes(state, target, section):
    records = getattr(target, section.name)
    if records is None:
        return []
    requested = {section.key(record) for record in records}
    return [
        section.delete(key)
        for key in sorted(getattr(state, section.name))
        if key not in requested
    ]


def _plan_activation(state, target):
    active = state.shift.preset if state.shift else ""
    if not target.active_preset or target.active_preset == active:
        return []
    return [ActivatePreset(name=target.active_preset)]


def _plan_block_puts(state, target):
    if target.client_blocks is None:
        return []
    requested = {block.prefix for block in target.client_blocks}
    changed = [
        block
        for block in target.client_blocks
        if state.client_blocks.get(block.prefix) != block
    ]
    # An empty region deletes the block.
    changed += [
        ClientBlock(prefix)
        for prefix in sorted(state.client_blocks)
        if prefix not in requested
    ]
    return [
        PutClientBlocks(tuple(changed[start : start + BLOCKS_PER_CHANGE]))
        for start in range(0, len(changed), BLOCKS_PER_CHANGE)
    ]
