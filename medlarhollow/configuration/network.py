"""Apply changes to client blocks and to links between regions."""

import ipaddress
import math

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import PutClientBlocks
from ..messages.records import PutLink
from .apply import apply
from .names import check_name

__all__ = []

# The client block table stores only the upper 64 bits of IPv6 addresses.
_MAX_IPV6_PREFIX_LENGTH = 64


@apply.register
def _put_client_blocks(change: PutClientBlocks, state, now):
    """Set the region of each given block; an empty region removes it."""
    blocks = {}
    for block in change.blocks:
        try:
            prefix = _parse_prefix(block.prefix)
        except ValueError as error:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"client block '{block.prefix}': {error}",
            )
        if prefix in blocks:
            return fail(
                ErrorKind.BAD_REQUEST, f"client block '{prefix}' occurs twice"
            )
        if block.region:
            checked_name = check_name("region", block.region)
            if checked_name.is_err():
                return checked_name
        elif prefix not in state.client_blocks:
            return fail(
                ErrorKind.NOT_FOUND,
                f"no client block '{prefix}' to remove (its region is empty)",
            )
        blocks[prefix] = attrs.evolve(block, prefix=prefix)
    if not blocks:
        return fail(ErrorKind.BAD_REQUEST, "at least one block is needed")
    state.blocks_revision = state.revision + 1
    for prefix, block in blocks.items():
        if block.region:
            state.client_blocks[prefix] = block
        else:
            del state.client_blocks[prefix]
    return Ok(None)


def _parse_prefix(text):
    network = ipaddress.ip_network(text)
    if network.version == 6 and network.prefixlen > _MAX_IPV6_PREFIX_LENGTH:
        raise ValueError("at most 64 bits of an IPv6 prefix are allowed")
    return str(network)


@apply.register
def _put_link(change: PutLink, state, now):
    link = change.link
    if link is None:
        return fail(ErrorKind.BAD_REQUEST, "a link is needed")
    for region in (link.from_region, link.to_region):
        checked_name = check_name("region", region)
        if checked_name.is_err():
            return checked_name
    if link.from_region == link.to_region:
        return fail(ErrorKind.BAD_REQUEST, "a link joins two regions")
    if not 0 < link.mbit_per_s < math.inf:
        return fail(ErrorKind.BAD_REQUEST, "mbit_per_s must be above 0")
    state.links[(link.from_region, link.to_region)] = link
    return Ok(None)
