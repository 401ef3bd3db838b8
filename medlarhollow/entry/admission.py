"""Decide whether a caller's request is admitted."""

import random
import re
import uuid

import attrs
from result import Ok

from ..configuration import check_key
from ..configuration import choose_destination
from ..configuration import match_route
from ..configuration.keys import identify_key
from ..errors import fail
from ..messages.records import ErrorKind
from ..requests import choose_timeout
from ..requests import contains_key
from ..requests import parse_idempotency_key
from ..steering import Demand
from ..transport.channel import SECRET_HEADER
from ..transport.secret import same_secret
from .dialect import read_key
from .headers import ACCOUNT_HEADER
from .headers import CLAIMED_HEADER
from .headers import DEADLINE_HEADER
from .headers import FORWARDED_HEADER
from .headers import IDEMPOTENCY_HEADER
from .headers import KEY_ID_HEADER
from .headers import read_single
from .headers import REQUEST_ID_HEADER

__all__ = ["Admission", "admit", "check_again"]

_REQUEST_ID = re.compile("[!-~]{1,128}")
# A backend server may resolve such segments, and the request would then run
# under a route other than the one that was checked.
_DOT_SEGMENT = re.compile(r"(^|/|\\)\.\.?(;[^/]*)?(/|\\|$)")
_SLASHES = re.compile("/{2,}")


@attrs.frozen
class Admission:
    """An admitted request.

    Attributes
    ----------
    demand : Demand
        Route, account and deadline.
    request_id : str
        Identifier that is passed on.
    key : str
        The caller's key; empty on open routes and forwarded requests.
    key_id : str
        Identifier of the key.
    key_known : bool
        Whether this VM knew the key of a forwarded request.
    forwarded : bool
        Whether another entry VM has admitted the request.
    idempotent : bool
        Whether the request may be sent again.
    idempotency_key : str
        Key to claim before the request is sent; empty for none.
    """

    demand: Demand
    request_id: str
    key: str = attrs.field(default="", repr=False)
    key_id: str = ""
    key_known: bool = False
    forwarded: bool = False
    idempotent: bool = True
    idempotency_key: str = ""


def admit(vm, caller, now):
    """Check route, authority, key and headers of a request.

    Parameters
    ----------
    vm : EntryVm
        Holds the agreed state.
    caller : Caller
        The request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(Admission)`` or the failure.
    """
    if vm.drain.closing:
        return fail(ErrorKind.DRAINING, "this VM is stopping")
    if not vm.state_cache.has_proof:
        return fail(
            ErrorKind.STALE_AUTHORITY, "this VM has no configuration yet"
        )
    route = _find_route(vm.state_cache.state, caller)
    if route.is_err():
        return route
    single = _read_headers(caller.headers)
    if single.is_err():
        return single
    values = single.ok_value
    key = read_key(caller.headers, vm.dialect)
    if key.is_err():
        return key
    timeout = choose_timeout(
        values[DEADLINE_HEADER], route.ok_value, vm.settings
    )
    if timeout.is_err():
        return timeout
    admission = Admission(
        _make_demand(vm, caller, route.ok_value, now + timeout.ok_value),
        _choose_request_id(values[REQUEST_ID_HEADER]),
        idempotent=route.ok_value.idempotent,
    )
    if _is_forwarded(vm, values):
        return _admit_forwarded(vm, admission, values)
    if route.ok_value.open:
        return Ok(admission)
    return _admit_keyed(vm, admission, key.ok_value, values, now)


def check_again(vm, admission, now):
    """Check the key again after the request has waited.

    Parameters
    ----------
    vm : EntryVm
        Holds the agreed state.
    admission : Admission
        From :func:`admit`.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(account)`` or the failure with which the request is refused.
    """
    if admission.demand.route.open:
        return Ok("")
    if not admission.forwarded:
        return _check_key(vm, admission.demand.route, admission.key, now)
    # The key itself is not passed on, so a forwarded request is refused if
    # this VM has seen the key disappear.
    if (
        admission.key_known
        and admission.key_id not in vm.state_cache.state.keys
    ):
        return fail(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Ok(admission.demand.account)


def _find_route(state, caller):
    path = caller.path
    if contains_key(caller.raw_path):
        return fail(
            ErrorKind.BAD_REQUEST,
            "the path contains a key; keys belong in X-Medlarhollow-Key",
        )
    if _DOT_SEGMENT.search(path) or "\0" in path:
        return fail(
            ErrorKind.BAD_REQUEST, "the path must not contain dot segments"
        )
    host = caller.headers.get("host", "")
    route = match_route(state, host, path)
    if match_route(state, host, _SLASHES.sub("/", path)) is not route:
        return fail(ErrorKind.BAD_REQUEST, "the path has empty segments")
    if route is None:
        return fail(ErrorKind.NOT_FOUND, "no route for this path")
    return Ok(route)


def _read_headers(headers):
    values = {}
    for name in (
        ACCOUNT_HEADER,
        CLAIMED_HEADER,
        DEADLINE_HEADER,
        FORWARDED_HEADER,
        IDEMPOTENCY_HEADER,
        KEY_ID_HEADER,
        REQUEST_ID_HEADER,
        SECRET_HEADER,
        "host",
    ):
        value = read_single(headers, name)
        if value.is_err():
            return value
        values[name] = value.ok_value
    return Ok(values)


def _choose_request_id(given):
    if given and _REQUEST_ID.fullmatch(given) and not contains_key(given):
        return given
    return str(uuid.uuid4())


def _is_forwarded(vm, values):
    given = values[SECRET_HEADER]
    return (
        given is not None
        and values[FORWARDED_HEADER] is not None
        and same_secret(given, vm.secret)
    )


def _admit_forwarded(vm, admission, values):
    claimed = values[CLAIMED_HEADER] is not None
    route = admission.demand.route
    account = values[ACCOUNT_HEADER] or ""
    if not route.open and not account:
        return fail(ErrorKind.UNAUTHENTICATED, "no account was passed on")
    if not route.open and not route.idempotent and not claimed:
        return fail(
            ErrorKind.CONFLICT,
            "the route became non-idempotent and the request is not claimed",
        )
    key_id = values[KEY_ID_HEADER] or ""
    return Ok(
        attrs.evolve(
            admission,
            demand=attrs.evolve(
                admission.demand, account=account, local_only=True
            ),
            key_id=key_id,
            key_known=key_id in vm.state_cache.state.keys,
            forwarded=True,
            idempotent=route.idempotent and not claimed,
        )
    )


def _admit_keyed(vm, admission, key, values, now):
    route = admission.demand.route
    checked = _check_key(vm, route, key, now)
    if checked.is_err():
        return checked
    idempotency_key = ""
    if not route.idempotent and not route.unclaimed:
        parsed = parse_idempotency_key(values[IDEMPOTENCY_HEADER] or "")
        if parsed.is_err():
            return parsed
        idempotency_key = parsed.ok_value.text
    return Ok(
        attrs.evolve(
            admission,
            demand=_with_account(vm, admission.demand, checked.ok_value),
            key=key,
            key_id=identify_key(key)[0],
            idempotency_key=idempotency_key,
        )
    )


def _make_demand(vm, caller, route, deadline_at):
    """Return what steering needs to know of a request."""
    point = random.random()
    if route.split:
        # One draw decides the service, another one the version.
        service = choose_destination(route, random.random())
        route = attrs.evolve(route, service=service)
    affinity = ""
    if route.sticky:
        affinity = caller.headers.get(vm.dialect.affinity, "")
    return Demand(
        route,
        "",
        deadline_at,
        point,
        affinity=affinity and f"{route.path_prefix} {affinity}",
        home_regions=frozenset(route.home_regions),
    )


def _with_account(vm, demand, name):
    """Return the demand of an account; its home regions bind as well."""
    account = vm.state_cache.state.accounts.get(name)
    homes = demand.home_regions
    if account is not None and account.home_regions:
        own = frozenset(account.home_regions)
        homes = homes & own if homes else own
    return attrs.evolve(demand, account=name, home_regions=homes)


def _check_key(vm, route, key, now):
    limit_s = max(vm.settings.limits.key_freshness_limit_s, route.stale_keys_s)
    if vm.state_cache.freshness_age_s(now) > limit_s:
        return fail(
            ErrorKind.STALE_AUTHORITY,
            "this VM cannot tell whether the key is still valid",
        )
    return check_key(vm.state_cache.state, key)
