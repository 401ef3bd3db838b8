"""Shared secret and certificates of the fleet's processes."""

import hmac
import pathlib
import ssl

__all__ = [
    "create_client_tls",
    "read_secret",
    "secrets_equal",
    "create_server_tls",
]

_SHORTEST_SECRET_BYTES = 16


def read_secret(settings):
    """Read the secret that processes of the fleet show to each other.

    Parameters
    ----------
    settings : PeerSettings
        Names the file.

    Returns
    -------
    str
        The secret.

    Raises
    ------
    ValueError
        If the secret is shorter than 16 bytes.
    OSError
        If the file cannot be read.
    """
    secret = pathlib.Path(settings.secret_file).read_text().strip()
    if len(secret.encode()) < _SHORTEST_SECRET_BYTES:
        raise ValueError(
            f"[peer] secret_file {settings.secret_file}: a secret of at "
            f"least {_SHORTEST_SECRET_BYTES} bytes is needed"
        )
    return secret


def secrets_equal(given, expected):
    """Compare two secrets in constant time."""
    return hmac.compare_digest(given.encode(), expected.encode())


def create_server_tls(settings):
    """Return the TLS context of the server side, or None without TLS."""
    return _create_context(settings, ssl.Purpose.CLIENT_AUTH)


def create_client_tls(settings):
    """Return the TLS context of the client side, or None without TLS."""
    context = _create_context(settings, ssl.Purpose.SERVER_AUTH)
    if context is not None:
        # Peers are addressed by IP and authenticated by the fleet's own
        # authority, so certificates carry no names to compare.
        context.check_hostname = False
    return context


def _create_context(settings, purpose):
    if not settings.tls_certificate_file:
        return None
    context = ssl.create_default_context(
        purpose, cafile=settings.tls_authority_file
    )
    context.load_cert_chain(
        settings.tls_certificate_file, settings.tls_key_file
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context
