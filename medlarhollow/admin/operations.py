"""What operators can order and ask, apart from its encoding."""

import hashlib
import time

import attrs
from result import Ok

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
    "BLOCKS_LIMIT",
    "apply_configuration",
    "change_of",
    "read_active_preset",
    "read_configuration",
    "read_keys",
    "read_move",
    "read_status",
    "read_table",
    "set_replica",
]

# Most client blocks in one answer; more are read with `after`.
BLOCKS_LIMIT = 10_000
_TRUTHS = {"": False, "false": False, "0": False, "true": True, "1": True}


def change_of(make):
    """Return an operation that proposes one change.

    Parameters
    ----------
    make : callable
        Makes the body of the change from an `OperatorRequest`.

    Returns
    -------
    callable
        Coroutine function of `FleetAdmin` and `OperatorRequest`.
    """

    async def propose(admin, order):
        return await admin.propose(order, make(order))

    return propose


def read_table(name):
    """Return an operation that lists the records of one table."""

    async def read(admin, order):
        table = getattr(admin.state, name)
        places = sorted(table)
        if name == "client_blocks":
            after = order.query.get("after", "")
            places = [place for place in places if place > after]
            places = places[:BLOCKS_LIMIT]
        return Ok(_listed(admin, name, [table[place] for place in places]))

    return read


async def read_keys(admin, order):
    """List the keys of one account or of all, without their hashes."""
    account = order.query.get("account", "")
    keys = sorted(admin.state.keys.values(), key=lambda key: key.key_id)
    summaries = [
        KeySummary(key.key_id, key.account, key.issued_at_s)
        for key in keys
        if not account or key.account == account
    ]
    return Ok(_listed(admin, "keys", summaries))


async def read_active_preset(admin, order):
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


async def read_move(admin, order):
    """Return one move."""
    move = admin.state.moves.get(order.path["move"])
    if move is None:
        return fail(ErrorKind.NOT_FOUND, f"no move '{order.path['move']}'")
    return Ok(move)


async def read_status(admin, order):
    """Return the state of the fleet."""
    return Ok(await admin.status(time.monotonic(), time.time()))


async def set_replica(admin, order):
    """Add a control replica, or remove one if there is no body."""
    body = order.body
    replica = Replica(name=order.path["replica"])
    if body is not None:
        replica = attrs.evolve(
            replica, address=body.address, incarnation=body.incarnation
        )
    return await admin.set_replica(replica, remove=body is None)


async def read_configuration(admin, order):
    """Return the configuration in force."""
    flag = _read_flag(order, "client_blocks")
    if flag.is_err():
        return flag
    document = to_json(describe_state(admin.state, flag.ok_value))
    given = {name: part for name, part in document.items() if part is not None}
    return Ok({"configuration": given, **_revisions(admin)})


async def apply_configuration(admin, order):
    """Show the differences to a configuration and bring them into force.

    Each difference is one change, based on the one before, so that a change
    by another operator in between stops the rest. If the order is sent
    again, it goes on where it stopped.
    """
    flag = _read_flag(order, "dry_run")
    if flag.is_err():
        return flag
    if not await admin.catch_up():
        return fail(
            ErrorKind.NOT_LEADER,
            "this replica cannot tell what configuration is in force",
        )
    state = admin.state
    planned = plan_changes(state, order.body)
    if planned.is_err():
        return planned
    changes = planned.ok_value
    base = state.operator_revision
    described = tuple(
        PlannedChange(_kind(change), to_json(change)) for change in changes
    )
    if flag.ok_value or not changes:
        return Ok(ConfigurationAnswer(flag.ok_value, base, 0, described))
    given = order.base_revision
    if given and given != base and not admin.continues(order):
        return fail(
            ErrorKind.CONFLICT,
            f"based on revision {given}, in force is {base}",
            revision=base,
        )
    for number, change in enumerate(changes):
        step = attrs.evolve(order, base_revision=base)
        # The base is part of the identifier: sent again, the same change on
        # another base is another order.
        part = f"{_digest(change)}-{base}"
        result = await admin.propose(step, change, part)
        if result.is_err():
            return _stopped(result.err_value, number, len(changes), change)
        base = result.ok_value.revision
    return Ok(ConfigurationAnswer(False, base, len(changes), described))


def put_account(order):
    """Return the change that sets an account."""
    return PutAccount(order.body)


def delete_account(order):
    """Return the change that deletes an account with its keys."""
    return DeleteAccount(order.path["account"])


def issue_key(order):
    """Return the change that issues a key made by the client."""
    return IssueKey(
        Key(
            key_id=order.body.key_id,
            account=order.path["account"],
            secret_sha256=order.body.secret_sha256,
        )
    )


def revoke_key(order):
    """Return the change that revokes a key."""
    return RevokeKey(order.path["key"])


def put_service(order):
    """Return the change that sets a service."""
    return PutService(order.body)


def delete_service(order):
    """Return the change that deletes a service."""
    return DeleteService(order.path["service"])


def put_route(order):
    """Return the change that sets a route."""
    return PutRoute(order.body)


def delete_route(order):
    """Return the change that deletes a route."""
    return DeleteRoute(
        order.query.get("host", ""), order.query.get("path_prefix", "")
    )


def put_preset(order):
    """Return the change that sets a preset."""
    return PutPreset(order.body)


def delete_preset(order):
    """Return the change that deletes a preset."""
    return DeletePreset(order.path["preset"])


def activate_preset(order):
    """Return the change that starts the shift to a preset."""
    return ActivatePreset(order.path["preset"])


def start_move(order):
    """Return the change that starts a version move."""
    body = order.body
    return StartMove(
        Move(
            move_id=body.move_id or order.request_id,
            service=body.service,
            from_version=body.from_version,
            to_version=body.to_version,
            deadline_s=body.deadline_s,
            cap=body.cap,
            step_s=body.step_s,
        )
    )


def roll_back_move(order):
    """Return the change that rolls a move back."""
    return RollBackMove(order.path["move"], order.body.reason)


def put_client_blocks(order):
    """Return the change that sets client blocks."""
    return PutClientBlocks(order.body.blocks)


def put_link(order):
    """Return the change that sets a link."""
    return PutLink(order.body)


def _listed(admin, name, records):
    return {name: tuple(records), **_revisions(admin)}


def _revisions(admin):
    state = admin.state
    return {
        "revision": state.revision,
        "operator_revision": state.operator_revision,
    }


def _read_flag(order, name):
    text = order.query.get(name, "")
    if text not in _TRUTHS:
        return fail(
            ErrorKind.BAD_REQUEST, f"{name} '{text}': true or false is needed"
        )
    return Ok(_TRUTHS[text])


def _kind(change):
    name = type(change).__name__
    return "".join(
        f"_{letter.lower()}" if letter.isupper() else letter for letter in name
    ).lstrip("_")


def _digest(change):
    return hashlib.sha256(encode(Change(body=change))).hexdigest()[:16]


def _stopped(failure, number, count, change):
    detail = (
        f"{number} of {count} changes are in force; {_kind(change)} was "
        f"rejected: {failure.detail}"
    )
    return fail(
        failure.kind, detail, revision=failure.revision, leader=failure.leader
    )
