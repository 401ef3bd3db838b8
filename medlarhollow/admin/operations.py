"""Operations of the administration API, independent of the encoding."""

import hashlib
import time

import attrs
from result import Ok

from .. import clock
from ..errors import fail
from ..messages.codec import encode
from ..messages.records import ActivatePreset
from ..messages.records import Change
from ..messages.records import DeleteAccount
from ..messages.records import DeletePreset
from ..messages.records import DeleteRoute
from ..messages.records import DeleteService
from ..messages.records import ErrorKind
from ..messages.records import IssueKey
from ..messages.records import Key
from ..messages.records import Move
from ..messages.records import PutAccount
from ..messages.records import PutClientBlocks
from ..messages.records import PutLink
from ..messages.records import PutPreset
from ..messages.records import PutRoute
from ..messages.records import PutService
from ..messages.records import Replica
from ..messages.records import RevokeKey
from ..messages.records import RollBackMove
from ..messages.records import StartMove
from .differences import describe_state
from .differences import plan_changes
from .documents import ActivePreset
from .documents import ConfigurationAnswer
from .documents import KeySummary
from .documents import PlannedChange
from .encoding import to_json

__all__ = [
    "BLOCKS_PER_PAGE",
    "apply_configuration",
    "list_keys",
    "make_change_operation",
    "make_list_operation",
    "read_active_preset",
    "read_configuration",
    "read_move",
    "read_status",
    "set_replica",
]

# Page size of a list of client blocks; `after` requests the next page.
BLOCKS_PER_PAGE = 10_000
_BOOLEANS = {"": False, "false": False, "0": False, "true": True, "1": True}


def make_change_operation(make_body):
    """Return an operation that proposes one change.

    Parameters
    ----------
    make_body : callable
        Builds the body of the change from an `OperatorRequest`.

    Returns
    -------
    callable
        Coroutine function of `FleetAdmin` and `OperatorRequest`.
    """

    async def propose(admin, request):
        return await admin.propose(request, make_body(request))

    return propose


def make_list_operation(name):
    """Return an operation that lists the records of one table."""

    async def read(admin, request):
        table = getattr(admin.state, name)
        keys = sorted(table)
        if name == "client_blocks":
            after = request.query.get("after", "")
            keys = [key for key in keys if key > after]
            keys = keys[:BLOCKS_PER_PAGE]
        return Ok(_list_response(admin, name, [table[key] for key in keys]))

    return read


async def list_keys(admin, request):
    """List the keys of one account or of all, without their hashes."""
    account = request.query.get("account", "")
    keys = sorted(admin.state.keys.values(), key=lambda key: key.key_id)
    summaries = [
        KeySummary(key.key_id, key.account, key.issued_at_s)
        for key in keys
        if not account or key.account == account
    ]
    return Ok(_list_response(admin, "keys", summaries))


async def read_active_preset(admin, request):
    """Return the preset in force."""
    shift = admin.state.shift
    if shift is None:
        return Ok(ActivePreset())
    return Ok(
        ActivePreset(
            preset=shift.preset,
            fraction=shift.fraction,
            stepped_at_s=shift.stepped_at_s,
            base=shift.base,
        )
    )


async def read_move(admin, request):
    """Return one move."""
    move = admin.state.moves.get(request.path["move"])
    if move is None:
        return fail(ErrorKind.NOT_FOUND, f"no move '{request.path['move']}'")
    return Ok(move)


async def read_status(admin, request):
    """Return the state of the fleet."""
    return Ok(await admin.status(clock.monotonic(), time.time()))


async def set_replica(admin, request):
    """Add a control replica, or remove it if the request has no body."""
    body = request.body
    replica = Replica(name=request.path["replica"])
    if body is not None:
        replica = attrs.evolve(
            replica, address=body.address, incarnation=body.incarnation
        )
    return await admin.set_replica(replica, remove=body is None)


async def read_configuration(admin, request):
    """Return the configuration in force."""
    flag = _read_flag(request, "client_blocks")
    if flag.is_err():
        return flag
    document = to_json(describe_state(admin.state, flag.ok_value))
    sections = {k: v for k, v in document.items() if v is not None}
    return Ok({"configuration": sections, **_revisions(admin)})


async def apply_configuration(admin, request):
    """Plan the changes that lead to a configuration and apply them.

    Each change is based on the revision of the previous one, so that a
    concurrent change by another operator stops the rest. A retry of the
    request resumes where it stopped.
    """
    flag = _read_flag(request, "dry_run")
    if flag.is_err():
        return flag
    if not await admin.catch_up():
        return fail(
            ErrorKind.NOT_LEADER,
            "this replica cannot determine the configuration in force",
        )
    state = admin.state
    planned = plan_changes(state, request.body)
    if planned.is_err():
        return planned
    changes = planned.ok_value
    base = state.operator_revision
    described = tuple(
        PlannedChange(_kind(change), to_json(change)) for change in changes
    )
    if flag.ok_value or not changes:
        return Ok(ConfigurationAnswer(flag.ok_value, base, 0, described))
    expected = request.base_revision
    if expected and expected != base and not admin.may_resume(request):
        return fail(
            ErrorKind.CONFLICT,
            f"based on revision {expected}, in force is revision {base}",
            revision=base,
        )
    for number, change in enumerate(changes):
        rebased = attrs.evolve(request, base_revision=base)
        # The identifier includes the base revision: the same change on another
        # base is a different request, not a retry.
        suffix = f"{_digest(change)}-{base}"
        result = await admin.propose(rebased, change, suffix)
        if result.is_err():
            return _interrupted_failure(
                result.err_value, number, len(changes), change
            )
        base = result.ok_value.revision
    return Ok(ConfigurationAnswer(False, base, len(changes), described))


def put_account(request):
    """Return the change that sets an account."""
    return PutAccount(request.body)


def delete_account(request):
    """Return the change that deletes an account with its keys."""
    return DeleteAccount(request.path["account"])


def issue_key(request):
    """Return the change that issues a key generated by the client."""
    return IssueKey(
        Key(
            key_id=request.body.key_id,
            account=request.path["account"],
            secret_sha256=request.body.secret_sha256,
        )
    )


def revoke_key(request):
    """Return the change that revokes a key."""
    return RevokeKey(request.path["key"])


def put_service(request):
    """Return the change that sets a service."""
    return PutService(request.body)


def delete_service(request):
    """Return the change that deletes a service."""
    return DeleteService(request.path["service"])


def put_route(request):
    """Return the change that sets a route."""
    return PutRoute(request.body)


def delete_route(request):
    """Return the change that deletes a route."""
    return DeleteRoute(
        request.query.get("host", ""), request.query.get("path_prefix", "")
    )


def put_preset(request):
    """Return the change that sets a preset."""
    return PutPreset(request.body)


def delete_preset(request):
    """Return the change that deletes a preset."""
    return DeletePreset(request.path["preset"])


def activate_preset(request):
    """Return the change that starts the shift to a preset."""
    return ActivatePreset(request.path["preset"])


def start_move(request):
    """Return the change that starts a version move."""
    body = request.body
    return StartMove(
        Move(
            move_id=body.move_id or request.request_id,
            service=body.service,
            from_version=body.from_version,
            to_version=body.to_version,
            deadline_s=body.deadline_s,
            cap=body.cap,
            step_s=body.step_s,
        )
    )


def roll_back_move(request):
    """Return the change that rolls a move back."""
    return RollBackMove(request.path["move"], request.body.reason)


def put_client_blocks(request):
    """Return the change that sets client blocks."""
    return PutClientBlocks(request.body.blocks)


def put_link(request):
    """Return the change that sets a link."""
    return PutLink(request.body)


def _list_response(admin, name, records):
    return {name: tuple(records), **_revisions(admin)}


def _revisions(admin):
    state = admin.state
    return {
        "revision": state.revision,
        "operator_revision": state.operator_revision,
    }


def _read_flag(request, name):
    text = request.query.get(name, "")
    if text not in _BOOLEANS:
        return fail(
            ErrorKind.BAD_REQUEST, f"{name} '{text}': must be true or false"
        )
    return Ok(_BOOLEANS[text])


def _kind(change):
    name = type(change).__name__
    return "".join(
        f"_{letter.lower()}" if letter.isupper() else letter for letter in name
    ).lstrip("_")


def _digest(change):
    return hashlib.sha256(encode(Change(body=change))).hexdigest()[:16]


def _interrupted_failure(failure, applied, count, change):
    detail = (
        f"{applied} of {count} changes are in force; {_kind(change)} was "
        f"rejected: {failure.detail}"
    )
    return fail(
        failure.kind, detail, revision=failure.revision, leader=failure.leader
    )
