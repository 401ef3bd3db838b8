"""Generate, hash and verify the keys of client accounts."""

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
    "generate_key",
    "hash_secret",
    "make_key_record",
    "parse_key",
]

_ALPHABET = string.ascii_letters + string.digits
_ID_LENGTH = 16
_SECRET_LENGTH = 43
KEY_PATTERN = re.compile(
    f"mhk_([A-Za-z0-9]{{{_ID_LENGTH}}})_([A-Za-z0-9]{{{_SECRET_LENGTH}}})"
)


def generate_key(account):
    """Generate a random key for an account.

    Parameters
    ----------
    account : str
        Name of the account.

    Returns
    -------
    tuple of (str, Key)
        Key text sent by the caller, and the record stored in the state.
    """
    key_id = _random_text(_ID_LENGTH)
    secret = _random_text(_SECRET_LENGTH)
    record = Key(
        key_id=key_id, account=account, secret_sha256=hash_secret(secret)
    )
    return f"mhk_{key_id}_{secret}", record


def make_key_record(account, text):
    """Create the record of a key chosen by an operator.

    Parameters
    ----------
    account : str
        Name of the account.
    text : str
        Key text in any format.

    Returns
    -------
    Key
        Contains only the hash of the secret. The identifier of a key in
        another format than that of :func:`generate_key` is derived from its
        hash.
    """
    key_id, secret = parse_key(text)
    return Key(
        key_id=key_id, account=account, secret_sha256=hash_secret(secret)
    )


def parse_key(text):
    """Split a key's text into its identifier and its secret."""
    match = KEY_PATTERN.fullmatch(text)
    if match is not None:
        return match[1], match[2]
    return hash_secret(text).hex()[:_ID_LENGTH], text


def hash_secret(secret):
    """Return the SHA-256 hash of a secret.

    A plain hash without salt or key stretching is sufficient, since generated
    secrets are random and have more entropy than the hash has bits.
    """
    return hashlib.sha256(secret.encode()).digest()


def authenticate_key(state, text):
    """Verify a key and return its account.

    Parameters
    ----------
    state : FleetState
        Contains the valid keys.
    text : str
        Key text sent by the caller.

    Returns
    -------
    result.Result
        ``Ok`` with the name of the account, or ``UNAUTHENTICATED``.

    Notes
    -----
    The hashes are compared in constant time, also if the key is unknown, to
    prevent timing attacks.
    """
    key_id, secret = parse_key(text)
    key = state.keys.get(key_id)
    expected_hash = key.secret_sha256 if key else bytes(32)
    secret_hash = hash_secret(secret)
    if not hmac.compare_digest(secret_hash, expected_hash) or key is None:
        return fail(ErrorKind.UNAUTHENTICATED, "the key is not valid")
    return Ok(key.account)


def _random_text(length):
    return "".join(secrets.choice(_ALPHABET) for _ in range(length))
