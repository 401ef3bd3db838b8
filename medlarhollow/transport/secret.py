"""Shared secret and TLS contexts of the processes of the fleet."""

import hmac
import pathlib
import ssl

__all__ = [
    "create_client_tls",
    "read_secret",
    "secrets_equal",
    "create_server_tls",
]

_MIN_SECRET_BYTES = 16


def read_secret(settings):
    """Read the secret by which processes of the fleet authenticate.

    Parameters
    ----------
    settings : PeerSettings
        Provides the path of the file.

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
    if len(secret.encode()) < _MIN_SECRET_BYTES:
        raise ValueError(
            f"[peer] secret_file {settings.secret_file}: the secret is "
            f"shorter than {_MIN_SECRET_BYTES} bytes"
        )
    return secret


def secrets_equal(received, expected):
    """Compare two secrets in constant time."""
    return hmac.compare_digest(received.encode(), expected.encode())


def create_server_tls(settings):
    """Return the TLS context for servers, or None if TLS is disabled."""
    return _create_context(settings, ssl.Purpose.CLIENT_AUTH)


def create_client_tls(settings):
    """Return the TLS context for clients, or None if TLS is disabled."""
    context = _create_context(settings, ssl.Purpose.SERVER_AUTH)
    if context is not None:
        # Peers are addressed by IP and authenticated by the fleet's own
        # certificate authority, so certificates have no host names to check.
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
