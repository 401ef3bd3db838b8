"""Helpers that build settings and fleet states for tests."""

import pathlib

from medlarhollow.configuration import FleetState
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import Vm
from medlarhollow.settings.load import parse_settings


def make_settings(
    name, directory=None, region="north", data_centre="", **options
):
    """Return settings of an entry VM; options are section__option."""
    secret = pathlib.Path(directory or "/nowhere") / "peer.secret"
    if directory:
        secret.write_text("0123456789abcdef0123456789abcdef")
    sections = {
        "vm": {
            "name": name,
            "cluster": "test",
            "region": region,
            "data_centre": data_centre or f"{region}-a",
        },
        "peer": {"listen": "127.0.0.1:1", "secret_file": str(secret)},
        "control": {"replicas": "127.0.0.1:1"},
    }
    for qualified_name, value in options.items():
        section, option = qualified_name.split("__")
        sections.setdefault(section, {})[option] = value
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{option} = {value}" for option, value in values.items()]
    return parse_settings("\n".join(lines))


class FakeStateCache:
    """Replicated state with a freshness age set by the test."""

    def __init__(self, state=None, proof_at=float("-inf")):
        self.state = state or FleetState(cluster="test")
        self.proof_at = proof_at

    def freshness_age_s(self, now):
        return now - self.proof_at


def make_state(vms=(), shares=(), allocators=()):
    """Return a state from tuples of VMs, shares and allocators.

    VMs are (name, region, data centre, address), shares of the account 'crew'
    are (data centre, rate, burst), allocators are (data centre, vm, epoch).
    """
    state = FleetState(cluster="test", revision=1)
    for name, region, data_centre, address in vms:
        state.vms[name] = Vm(
            name=name,
            incarnation=f"{name}#1",
            region=region,
            data_centre=data_centre,
            caller_address=f"callers.{name}:80",
            peer_address=address,
        )
    for data_centre, rate_per_s, burst in shares:
        share = Share("crew", data_centre, rate_per_s, burst, 1)
        state.shares[("crew", data_centre)] = share
    for data_centre, vm, epoch in allocators:
        state.allocators[data_centre] = Allocator(
            data_centre,
            vm,
            f"{vm}#1",
            epoch,
            has_predecessor=epoch > 1,
        )
    state.accounts["crew"] = Account("crew", 10.0, 10.0)
    return state
