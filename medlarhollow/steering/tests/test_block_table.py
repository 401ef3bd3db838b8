import ipaddress

from hypothesis import given
from hypothesis import strategies as st
import pytest

from medlarhollow.steering.regions.block_table import BlockTable

PREFIXES = st.builds(
    lambda value, length: ipaddress.ip_network((value, length), strict=False),
    st.integers(0, 2**32 - 1),
    st.integers(0, 32),
)
ADDRESSES = st.integers(0, 2**32 - 1)


def naive_find(blocks, address):
    """Scan all prefixes for the longest that contains the address."""
    matches = [
        (network.prefixlen, region)
        for network, region in blocks.items()
        if address in network
    ]
    return max(matches)[1] if matches else None


@given(
    st.dictionaries(PREFIXES, st.sampled_from("abcd"), max_size=12), ADDRESSES
)
def test_agrees_with_a_linear_scan_of_all_prefixes(blocks, extra):
    """Checks the addresses at and next to both ends of each prefix, where
    nested and adjacent prefixes are most likely to be confused."""
    table = BlockTable([(str(net), region) for net, region in blocks.items()])
    values = {extra}
    for network in blocks:
        first, last = int(network[0]), int(network[-1])
        values |= {first, last, max(first - 1, 0), min(last + 1, 2**32 - 1)}
    for value in values:
        address = ipaddress.IPv4Address(value)
        assert table.find(str(address)) == naive_find(blocks, address)


@pytest.mark.parametrize(
    ("address", "region"),
    [
        ("2001:db8::1", "wide"),
        ("2001:db8:1::1", "narrow"),
        ("2001:db9::1", None),
        ("10.0.0.1", None),
        ("not an address", None),
    ],
)
def test_ipv6_and_unknown_addresses(address, region):
    """Covers IPv6, addresses without a block and malformed addresses."""
    table = BlockTable(
        [("2001:db8::/32", "wide"), ("2001:db8:1::/48", "narrow")]
    )
    assert table.find(address) == region


@pytest.mark.parametrize("prefix", ["10.0.0.1/8", "x", "2001:db8::/96"])
def test_invalid_prefix_raises(prefix):
    """Guards against a table that silently omits a block."""
    with pytest.raises(ValueError, match="."):
        BlockTable([(prefix, "region")])
