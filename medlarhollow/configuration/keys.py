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

__all__ = [
    "KEY_PATTERN",
    "authenticate_key",
    "hash_secret",
    "parse_key",
    "generate_key",
    "make_key_record",
]

_ALPHABET = string.ascii_letters + string.digits
_ID_CHARACTERS = 16
_SECRET_CHARACTERS = 43
KEY_PATTERN = re.compile(
    f"mhk_([A-Za-z0-9]{{{_ID_CHARACTERS}}})"
    f"_([A-Za-z0-9]{{{_SECRET_CHARACTERS}}})"
)


def generate_key(account):
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


def make_key_record(account, text):
    """Return the record of a key that an operator chose.

    Parameters
    ----------
    account : str
        Name of the account.
    text : str
        The key, of any form.

    Returns
    -------
    Key
        Holds a hash only; the identifier of a key of another form than that
        of :func:`generate_key` comes from its hash.
    """
    key_id, secret = parse_key(text)
    return Key(
        key_id=key_id, account=account, secret_sha256=hash_secret(secret)
    )


def parse_key(text):
    """Return the identifier and the secret part of a key's text."""
    match = KEY_PATTERN.fullmatch(text)
    if match is not None:
        return match[1], match[2]
    return hash_secret(text).hex()[:_ID_CHARACTERS], text


def hash_secret(secret):
    """Return the SHA-256 hash of a secret.

    A plain hash is enough, since the secrets are random and longer than
    the hash is strong.
    """
    return hashlib.sha256(secret.encode()).digest()


def authenticate_key(state, text):
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
    key_id, secret = parse_key(text)
    key = state.keys.get(key_id)
    expected = key.secret_sha256 if key else bytes(32)
    given = hash_secret(secret)
    if not hmac.compare_digest(given, expected) or key is None:
        return fail(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Ok(key.account)


def _random(length):
    return "".join(secrets.choice(_ALPHABET) for _ in range(length))
