"""Keys of client accounts."""

import hashlib
import hmac
import re
import secrets
import string

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import Key

__all__ = ["KEY_PATTERN", "check_key", "hash_secret", "new_key"]

_ALPHABET = string.ascii_letters + string.digits
_ID_CHARACTERS = 16
_SECRET_CHARACTERS = 43
KEY_PATTERN = re.compile(
    f"mhk_([A-Za-z0-9]{{{_ID_CHARACTERS}}})"
    f"_([A-Za-z0-9]{{{_SECRET_CHARACTERS}}})"
)


def new_key(account):
    """Make a key for an account.

    Parameters
    ----------
    account : str
        Name of the account.

    Returns
    -------
    tuple of (str, Key)
        The text that the caller sends, and the record that is stored.
    """
    key_id = _random(_ID_CHARACTERS)
    secret = _random(_SECRET_CHARACTERS)
    record = Key(
        key_id=key_id, account=account, secret_sha256=hash_secret(secret)
    )
    return f"mhk_{key_id}_{secret}", record


def hash_secret(secret):
    """Return the SHA-256 hash of a secret.

    A plain hash is enough, since the secrets are random and longer than
    the hash is strong.
    """
    return hashlib.sha256(secret.encode()).digest()


def check_key(state, text):
    """Find the account of a key.

    Parameters
    ----------
    state : FleetState
        Holds the keys in force.
    text : str
        What the caller sent.

    Returns
    -------
    result.Result
        ``Ok`` with the account's name, or ``UNAUTHENTICATED``.

    Notes
    -----
    The hash is compared in constant time, also when the key is unknown.
    """
    match = KEY_PATTERN.fullmatch(text)
    key = state.keys.get(match[1]) if match else None
    expected = key.secret_sha256 if key else bytes(32)
    given = hash_secret(match[2] if match else "")
    if not hmac.compare_digest(given, expected) or key is None:
        return fail(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Ok(key.account)


def _random(length):
    return "".join(secrets.choice(_ALPHABET) for _ in range(length))
