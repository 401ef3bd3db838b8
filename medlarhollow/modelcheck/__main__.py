"""Command that explores the models; see the package's documentation."""

import argparse
import json
import sys

import attrs

from .first_start import explore_first_start
from .late_orders import explore_late_orders
from .late_orders import Guards
from .order_kinds import ORDER_KINDS
from .replacements import explore_replacements
from .usage_reports import explore_usage_reports

_WITHOUT_ONE = {
    field.name: Guards(**{field.name: False}) for field in attrs.fields(Guards)
}
_FIRST_STARTS = {
    "3 seeds": {"seeds": 3, "rounds": 2, "losses": 1},
    "3 seeds, 3 proposers": {"seeds": 3, "proposers": 3, "losses": 0},
    "5 seeds": {"seeds": 5, "losses": 0, "restarts": 0},
}

_REPLACEMENTS = {
    "3 replicas": {"replacements": 4, "outages": 2},
    "4 replicas": {"size": 4, "replacements": 3, "outages": 1},
    "5 replicas, 2 at a time": {"size": 5, "tolerance": 2, "catch_up_s": 6},
    "6 replicas, 2 at a time": {
        "size": 6,
        "tolerance": 2,
        "catch_up_s": 6,
        "replacements": 4,
        "outages": 0,
    },
}
_USAGE_REPORTS = {
    "3 elections": {"losses": 0},
    "2 elections, 2 losses": {"elections": 2, "losses": 2},
    "2 elections, restart": {"elections": 2, "restarts": 1},
}


def main(arguments=None):
    """Explore all models and print a JSON line for each.

    Returns
    -------
    int
        1 if a property does not hold with all protections, else 0.
    """
    parser = argparse.ArgumentParser(prog="python -m medlarhollow.modelcheck")
    parser.add_argument(
        "--vms", type=int, default=2, help="VMs that receive orders"
    )
    parser.add_argument(
        "--faults", type=int, default=2, help="suspensions and cuts"
    )
    parser.add_argument(
        "--states",
        type=int,
        default=1_000_000,
        help="states after which a search ends incomplete",
    )
    options = parser.parse_args(arguments)
    is_violated = False
    for kind in ORDER_KINDS:
        for name, guards in {"": Guards(), **_WITHOUT_ONE}.items():
            result = explore_late_orders(
                kind, guards, options.vms, options.faults, options.states
            )
            _print(f"{kind}, without {name}" if name else kind, result)
            is_violated |= bool(result.violation and not name)
    for name, sizes in _FIRST_STARTS.items():
        result = explore_first_start(**sizes, limit_states=options.states)
        _print(f"first start, {name}", result)
        is_violated |= bool(result.violation)
    for name, sizes in _REPLACEMENTS.items():
        result = explore_replacements(**sizes, limit_states=options.states)
        _print(f"replacements, {name}", result)
        is_violated |= bool(result.violation)
    for name, faults in _USAGE_REPORTS.items():
        result = explore_usage_reports(**faults, limit_states=options.states)
        _print(f"usage reports, {name}", result)
        is_violated |= bool(result.violation)
    return int(is_violated)


def _print(name, result):
    print(json.dumps({"model": name, **attrs.asdict(result)}), flush=True)


if __name__ == "__main__":
    sys.exit(main())
