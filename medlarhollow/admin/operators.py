"""OperatorTokens and their tokens."""

import hashlib
import hmac
import pathlib

__all__ = ["OperatorTokens"]


class OperatorTokens:
    """Check the tokens of operators.

    Parameters
    ----------
    settings : Settings
        Section ``admin`` names the file: one line ``name hash`` for each
        operator, the hash being the SHA-256 of the token in hexadecimal.

    Raises
    ------
    ValueError
        If a line of the file is wrong.
    """

    def __init__(self, settings):
        self._hashes = {}
        path = pathlib.Path(settings.admin.tokens_file)
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            parts = line.split()
            if len(parts) != 2 or len(parts[1]) != 64:
                raise ValueError(
                    f"{path}:{number}: 'name SHA-256-in-hexadecimal' needed"
                )
            self._hashes[parts[0]] = bytes.fromhex(parts[1])

    def find(self, token):
        """Return the name of the operator with a token, or None."""
        given = hashlib.sha256(token.encode()).digest()
        found = None
        for name, expected in self._hashes.items():
            if hmac.compare_digest(given, expected):
                found = name
        return found
