"""Apply changes to client accounts and their keys."""

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import DeleteAccount
from ..messages.records import ErrorKind
from ..messages.records import IssueKey
from ..messages.records import PutAccount
from ..messages.records import RevokeKey
from .apply import apply
from .names import check_name
from .shares import group_shares
from .shares import MAX_RATE_OR_BURST
from .shares import scale_down_shares
from .shares import store_account

__all__ = ["remove_account"]

_SHA256_BYTES = 32


def remove_account(state, name):
    """Remove an account with its keys and shares.

    Parameters
    ----------
    state : FleetState
        Modified in place.
    name : str
        Name of an existing account.
    """
    del state.accounts[name]
    for key_id in [
        key.key_id for key in state.keys.values() if key.account == name
    ]:
        del state.keys[key_id]
    for share_key in [
        share_key for share_key in state.shares if share_key[0] == name
    ]:
        del state.shares[share_key]


@apply.register
def _put_account(change: PutAccount, state, now):
    account = change.account
    if account is None:
        return fail(ErrorKind.BAD_REQUEST, "an account is needed")
    checked_name = check_name("account", account.name)
    if checked_name.is_err():
        return checked_name
    if not 0 < account.rate_per_s <= MAX_RATE_OR_BURST:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"rate_per_s must be above 0 and at most {MAX_RATE_OR_BURST:g}",
        )
    if not 1 <= account.burst <= MAX_RATE_OR_BURST:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"burst must be from 1 to {MAX_RATE_OR_BURST:g}",
        )
    store_account(state, account)
    shares = group_shares(state).get(account.name, {})
    scale_down_shares(state, account, shares)
    return Ok(None)


@apply.register
def _delete_account(change: DeleteAccount, state, now):
    if change.name not in state.accounts:
        return fail(ErrorKind.NOT_FOUND, f"no account '{change.name}'")
    remove_account(state, change.name)
    return Ok(None)


@apply.register
def _issue_key(change: IssueKey, state, now):
    key = change.key
    if key is None or key.account not in state.accounts:
        return fail(ErrorKind.NOT_FOUND, "a key needs an existing account")
    if key.key_id in state.keys:
        return fail(ErrorKind.CONFLICT, f"key '{key.key_id}' exists")
    if len(key.secret_sha256) != _SHA256_BYTES or not key.key_id:
        return fail(ErrorKind.BAD_REQUEST, "a key needs an id and a hash")
    state.keys[key.key_id] = attrs.evolve(key, issued_at_s=now)
    return Ok(None)


@apply.register
def _revoke_key(change: RevokeKey, state, now):
    if change.key_id not in state.keys:
        return fail(ErrorKind.NOT_FOUND, f"no key '{change.key_id}'")
    del state.keys[change.key_id]
    return Ok(None)
