"""Find the changes that lead from the agreed state to a configuration."""

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

# 2,000 blocks are about 80 KB in the log, well below a message's limit.
BLOCKS_PER_CHANGE = 2000


@attrs.frozen
class _Part:
    """How one part of the configuration is named and changed."""

    name: str
    place: object
    put: object
    delete: object = None


def _name(record):
    return record.name


def _delete_route(place):
    return DeleteRoute(host=place[0], path_prefix=place[1])


_ACCOUNTS = _Part("accounts", _name, PutAccount, DeleteAccount)
_SERVICES = _Part("services", _name, PutService, DeleteService)
_ROUTES = _Part(
    "routes",
    lambda route: (route.host, route.path_prefix),
    PutRoute,
    _delete_route,
)
_PRESETS = _Part("presets", _name, PutPreset, DeletePreset)
_LINKS = _Part(
    "links", lambda link: (link.from_region, link.to_region), PutLink
)
_BLOCKS = _Part("client_blocks", lambda block: block.prefix, None)


def describe_state(state, with_blocks=False):
    """Return the configuration in force.

    Parameters
    ----------
    state : FleetState
        The agreed state.
    with_blocks : bool
        Whether to name the client blocks, which can be millions.

    Returns
    -------
    Configuration
        In the order of names.
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


def plan_changes(state, wanted):
    """Return the changes that bring a configuration into force.

    Parameters
    ----------
    state : FleetState
        The agreed state; it is not altered.
    wanted : Configuration
        What is to be in force; a part that is None is left as it is.

    Returns
    -------
    result.Result
        ``Ok`` with a tuple of change bodies, in an order in which each is
        allowed: what others refer to is put first and deleted last.
    """
    prepared = _prepare(state, wanted)
    if prepared.is_err():
        return prepared
    wanted = prepared.ok_value
    for part in (_ACCOUNTS, _SERVICES, _ROUTES, _PRESETS, _LINKS, _BLOCKS):
        twice = _find_repeated(part, getattr(wanted, part.name) or ())
        if twice is not None:
            return fail(
                ErrorKind.BAD_REQUEST, f"{part.name}: {twice} is given twice"
            )
    kept = _find_kept_link(state, wanted)
    if kept is not None:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"links: {kept} is missing; a link can be changed, not deleted",
        )
    return Ok(
        (
            *_puts(state, wanted, _ACCOUNTS),
            *_puts(state, wanted, _SERVICES),
            *_puts(state, wanted, _ROUTES),
            *_deletes(state, wanted, _ROUTES),
            *_deletes(state, wanted, _SERVICES),
            *_deletes(state, wanted, _ACCOUNTS),
            *_puts(state, wanted, _PRESETS),
            *_activation(state, wanted),
            *_deletes(state, wanted, _PRESETS),
            *_puts(state, wanted, _LINKS),
            *_block_puts(state, wanted),
        )
    )


def _sorted(table):
    return tuple(table[place] for place in sorted(table))


def _find_repeated(part, records):
    seen = set()
    for record in records:
        place = part.place(record)
        if place in seen:
            return place
        seen.add(place)
    return None


def _find_kept_link(state, wanted):
    if wanted.links is None:
        return None
    given = {_LINKS.place(link) for link in wanted.links}
    return next((place for place in state.links if place not in given), None)


def _prepare(state, wanted):
    """Write prefixes as the state does and fill in versions."""
    try:
        blocks = wanted.client_blocks and tuple(
            attrs.evolve(block, prefix=str(ipaddress.ip_network(block.prefix)))
            for block in wanted.client_blocks
        )
    except ValueError as error:
        return fail(ErrorKind.BAD_REQUEST, f"client_blocks: {error}")
    services = []
    for service in wanted.services or ():
        held = state.services.get(service.name)
        version = service.version or (held.version if held else "")
        if held is not None and version != held.version:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"services: '{service.name}' is at version "
                f"'{held.version}'; leave the version out, another one "
                "takes over by a move",
            )
        services.append(attrs.evolve(service, version=version))
    return Ok(
        attrs.evolve(
            wanted,
            client_blocks=blocks,
            services=None if wanted.services is None else tuple(services),
        )
    )


def _puts(state, wanted, part):
    held = getattr(state, part.name)
    return [
        part.put(record)
        for record in getattr(wanted, part.name) or ()
        if held.get(part.place(record)) != record
    ]


def _deletes(state, wanted, part):
    records = getattr(wanted, part.name)
    if records is None:
        return []
    given = {part.place(record) for record in records}
    return [
        part.delete(place)
        for place in sorted(getattr(state, part.name))
        if place not in given
    ]


def _activation(state, wanted):
    active = state.shift.preset if state.shift else ""
    if not wanted.active_preset or wanted.active_preset == active:
        return []
    return [ActivatePreset(name=wanted.active_preset)]


def _block_puts(state, wanted):
    if wanted.client_blocks is None:
        return []
    given = {block.prefix for block in wanted.client_blocks}
    changed = [
        block
        for block in wanted.client_blocks
        if state.client_blocks.get(block.prefix) != block
    ]
    # A block without a region is removed.
    changed += [
        ClientBlock(prefix)
        for prefix in sorted(state.client_blocks)
        if prefix not in given
    ]
    return [
        PutClientBlocks(tuple(changed[start : start + BLOCKS_PER_CHANGE]))
        for start in range(0, len(changed), BLOCKS_PER_CHANGE)
    ]
