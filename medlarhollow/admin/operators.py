"""Tokens of operators."""

import hashlib
import hmac
import pathlib

__all__ = ["OperatorTokens"]


class OperatorTokens:
    """Authenticate operators by their tokens.

    Parameters
    ----------
    settings : Settings
        Option ``tokens_file`` of section ``admin`` names the file. It has
        one line ``name hash`` for each operator, where the hash is the
        SHA-256 of the token in hexadecimal.

    Raises
    ------
    ValueError
        If a line of the file is malformed.
    """

    def __init__(self, settings):
        self._token_hashes = {}
        path = pathlib.Path(settings.admin.tokens_file)
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            fields = line.split()
            if len(fields) != 2 or len(fields[1]) != 64:
                raise ValueError(
                    f"{path}:{number}: expected 'name SHA-256-in-hexadecimal'"
                )
            self._token_hashes[fields[0]] = bytes.fromhex(fields[1])

    def find(self, token):
        """Return the name of the operator with a token, or None."""
        digest = hashlib.sha256(token.encode()).digest()
        operator = None
        for name, expected in self._token_hashes.items():
            if hmac.compare_digest(digest, expected):
                operator = name
        return operator
