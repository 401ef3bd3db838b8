"""Addresses of the form ``host:port``."""

__all__ = ["parse_address"]

_MAX_PORT = 65535


def parse_address(text):
    """Split an address into host and port.

    Parameters
    ----------
    text : str
        ``192.0.2.1:80`` or ``[2001:db8::1]:80``.

    Returns
    -------
    tuple of (str, int)
        Host without brackets, and port.

    Raises
    ------
    ValueError
        If host or port is missing or the port is out of range.

    Examples
    --------
    >>> parse_address("[::1]:80")
    ('::1', 80)
    """
    host, separator, port = text.strip().rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number:
        raise ValueError(f"'{text}' is not an address like 192.0.2.1:80")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {_MAX_PORT}")
    return host.removeprefix("[").removesuffix("]"), int(port)
