"""Decide whether a caller's request is admitted."""

import math
import random
import re
import uuid

import attrs
from result import Ok

from ..configuration import authenticate_key
from ..configuration import choose_destination
from ..configuration import match_route
from ..configuration.keys import parse_key
from ..distribution import STALE_PROOF_S
from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import Priority
from ..requests import choose_timeout
from ..requests import contains_key
from ..requests import parse_idempotency_key
from ..steering import SlotRequest
from ..transport.channel import SECRET_HEADER
from ..transport.secret import secrets_equal
from .dialect import read_key
from .headers import ACCOUNT_HEADER
from .headers import CLAIMED_HEADER
from .headers import DEADLINE_HEADER
from .headers import FORWARDED_HEADER
from .headers import IDEMPOTENCY_HEADER
from .headers import KEY_ID_HEADER
from .headers import read_single
from .headers import REQUEST_ID_HEADER

__all__ = ["Admission", "admit", "recheck_key"]

_REQUEST_ID = re.compile("[!-~]{1,128}")
# A backend server may resolve dot segments, so that the request would bypass
# the checks of the route that serves the resolved path.
_DOT_SEGMENT = re.compile(r"(^|/|\\)\.\.?(;[^/]*)?(/|\\|$)")
_REPEATED_SLASHES = re.compile("/{2,}")
# Failures that depend on the configuration and that callers do not retry.
_DENIALS = (ErrorKind.NOT_FOUND, ErrorKind.UNAUTHENTICATED)


@attrs.frozen
class Admission:
    """An admitted request.

    Attributes
    ----------
    slot_request : SlotRequest
        Route, account and deadline.
    request_id : str
        Identifier that is passed to the backend server.
    key : str
        The caller's key; empty on open routes and forwarded requests.
    key_id : str
        Identifier of the key.
    key_known : bool
        Whether this VM knew the key of a forwarded request at admission.
    forwarded : bool
        Whether another entry VM admitted and forwarded the request.
    idempotent : bool
        Whether the request may be retried.
    idempotency_key : str
        Key to claim before the request is sent; empty if none is needed.
    """

    slot_request: SlotRequest
    request_id: str
    key: str = attrs.field(default="", repr=False)
    key_id: str = ""
    key_known: bool = False
    forwarded: bool = False
    idempotent: bool = True
    idempotency_key: str = ""


def admit(vm, caller, now):
    """Find the route of a request and check its key and headers.

    A request is denied for its route or key only if the state is fresh, since
    a denial is final for the caller and the state may lack a change that
    allows the request.

    Parameters
    ----------
    vm : EntryVm
        Provides the fleet state.
    caller : Caller
        The request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(Admission)`` or the failure to report.
    """
    return _confirm_denial(vm, _admit(vm, caller, now), now)


def _admit(vm, caller, now):
    if vm.drain.closing:
        return fail(ErrorKind.DRAINING, "this VM is shutting down")
    if not vm.state_cache.has_proof:
        return fail(
            ErrorKind.STALE_AUTHORITY,
            "this VM has not received a configuration yet",
        )
    route = _find_route(vm.state_cache.state, caller, vm.dialect)
    if route.is_err():
        return route
    if caller.is_declared_too_large:
        return fail(ErrorKind.TOO_LARGE, "the body exceeds the size limit")
    single_headers = _read_headers(caller.headers)
    if single_headers.is_err():
        return single_headers
    values = single_headers.ok_value
    key = read_key(caller.headers, vm.dialect)
    if key.is_err():
        return key
    timeout = choose_timeout(
        values[DEADLINE_HEADER], route.ok_value, vm.settings
    )
    if timeout.is_err():
        return timeout
    admission = Admission(
        _make_slot_request(
            vm, caller, route.ok_value, now, now + timeout.ok_value
        ),
        _choose_request_id(values[REQUEST_ID_HEADER], vm.dialect),
        idempotent=route.ok_value.idempotent,
    )
    if _is_forwarded(vm, values):
        return _admit_forwarded(vm, admission, values)
    if route.ok_value.open:
        return Ok(admission)
    return _admit_with_key(vm, admission, key.ok_value, values, now)


def recheck_key(vm, admission, now):
    """Check the key again after the request was queued.

    Parameters
    ----------
    vm : EntryVm
        Provides the fleet state.
    admission : Admission
        From :func:`admit`.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(account)`` or the failure to report.
    """
    route = admission.slot_request.route
    if route.open:
        return Ok("")
    if not admission.forwarded:
        checked = _check_key(vm, route, admission.key, now)
        return _confirm_denial(vm, checked, now)
    # The key itself is not forwarded. A forwarded request is therefore
    # refused if its key id was known at admission and is gone now.
    if (
        admission.key_known
        and admission.key_id not in vm.state_cache.state.keys
    ):
        return fail(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Ok(admission.slot_request.account)


def _find_route(state, caller, dialect):
    path = caller.path
    if dialect.masks_keys and contains_key(caller.raw_path):
        return fail(
            ErrorKind.BAD_REQUEST,
            "the path contains a key; send keys in X-Medlarhollow-Key",
        )
    if _DOT_SEGMENT.search(path) or "\0" in path:
        return fail(
            ErrorKind.BAD_REQUEST, "the path must not contain dot segments"
        )
    host = caller.headers.get("host", "")
    segments = caller.segment_path
    route = match_route(state, host, segments)
    if (
        match_route(state, host, _REPEATED_SLASHES.sub("/", segments))
        is not route
    ):
        return fail(
            ErrorKind.BAD_REQUEST, "the path must not contain empty segments"
        )
    resolved = match_route(state, host, _REPEATED_SLASHES.sub("/", path))
    if route and route.open and resolved and not resolved.open:
        # A backend server may take an escaped slash for a slash.
        return fail(
            ErrorKind.BAD_REQUEST,
            "the path must not contain the prefix of a route with keys in "
            "escaped form",
        )
    if route is None:
        return fail(ErrorKind.NOT_FOUND, "no route matches this path")
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


def _choose_request_id(received, dialect):
    if (
        received
        and _REQUEST_ID.fullmatch(received)
        and not (dialect.masks_keys and contains_key(received))
    ):
        return received
    return str(uuid.uuid4())


def _is_forwarded(vm, values):
    received = values[SECRET_HEADER]
    return (
        received is not None
        and values[FORWARDED_HEADER] is not None
        and secrets_equal(received, vm.secret)
    )


def _admit_forwarded(vm, admission, values):
    claimed = values[CLAIMED_HEADER] is not None
    route = admission.slot_request.route
    account = values[ACCOUNT_HEADER] or ""
    if not route.open and not account:
        return fail(
            ErrorKind.UNAUTHENTICATED, "the forwarded request names no account"
        )
    if not route.open and not route.idempotent and not claimed:
        return fail(
            ErrorKind.CONFLICT,
            "the route became non-idempotent; the request has no claim",
        )
    key_id = values[KEY_ID_HEADER] or ""
    applied = _apply_account(vm, admission.slot_request, account)
    if applied.is_err():
        return applied
    return Ok(
        attrs.evolve(
            admission,
            slot_request=attrs.evolve(applied.ok_value, local_only=True),
            key_id=key_id,
            key_known=key_id in vm.state_cache.state.keys,
            forwarded=True,
            idempotent=route.idempotent and not claimed,
        )
    )


def _admit_with_key(vm, admission, key, values, now):
    route = admission.slot_request.route
    checked = _check_key(vm, route, key, now)
    if checked.is_err():
        return checked
    idempotency_key = ""
    if not route.idempotent and not route.unclaimed:
        parsed = parse_idempotency_key(values[IDEMPOTENCY_HEADER] or "")
        if parsed.is_err():
            return parsed
        idempotency_key = parsed.ok_value.text
    applied = _apply_account(vm, admission.slot_request, checked.ok_value)
    if applied.is_err():
        return applied
    return Ok(
        attrs.evolve(
            admission,
            slot_request=applied.ok_value,
            key=key,
            key_id=parse_key(key)[0],
            idempotency_key=idempotency_key,
        )
    )


def _make_slot_request(vm, caller, route, now, deadline_at):
    """Return the slot request by which a request is steered."""
    split_point = random.random()
    if route.split:
        # Service and version are drawn independently.
        service = choose_destination(route, random.random())
        route = attrs.evolve(route, service=service)
    affinity = ""
    if route.sticky:
        affinity = caller.headers.get(vm.dialect.affinity, "")
    return SlotRequest(
        route,
        "",
        deadline_at,
        split_point,
        affinity=affinity and f"{route.path_prefix} {affinity}",
        home_regions=frozenset(route.home_regions) or None,
        objective_at=min(deadline_at, now + (route.objective_s or math.inf)),
    )


def _apply_account(vm, slot_request, name):
    """Set the account, its priority and its home regions.

    Returns
    -------
    result.Result
        ``Ok`` with the `SlotRequest`, or ``NO_REGION``.
    """
    account = vm.state_cache.state.accounts.get(name)
    home_regions = slot_request.home_regions
    if account is not None and account.home_regions:
        account_regions = frozenset(account.home_regions)
        home_regions = (
            account_regions
            if home_regions is None
            else home_regions & account_regions
        )
        if not home_regions:
            route = slot_request.route
            return fail(
                ErrorKind.NO_REGION,
                f"route '{route.path_prefix}' is bound to "
                f"{_list_names(route.home_regions)} and account '{name}' to "
                f"{_list_names(account.home_regions)}; no region is allowed",
            )
    priority = Priority.ORDINARY if account is None else account.priority
    return Ok(
        attrs.evolve(
            slot_request,
            account=name,
            home_regions=home_regions,
            account_priority=priority,
        )
    )


def _list_names(names):
    return ", ".join(sorted(names))


def _confirm_denial(vm, result, now):
    """Return the result, or a failure that is not final if it may be wrong."""
    if result.is_ok() or result.err_value.kind not in _DENIALS:
        return result
    age_s = vm.state_cache.freshness_age_s(now)
    if age_s <= STALE_PROOF_S:
        return result
    return fail(
        ErrorKind.STALE_AUTHORITY,
        f"the state of this VM is too old to tell: {result.err_value.detail}",
    )


def _check_key(vm, route, key, now):
    limit_s = max(vm.settings.limits.key_freshness_limit_s, route.stale_keys_s)
    if vm.state_cache.freshness_age_s(now) > limit_s:
        return fail(
            ErrorKind.STALE_AUTHORITY,
            "the state of this VM is too old to validate keys",
        )
    return authenticate_key(vm.state_cache.state, key)
