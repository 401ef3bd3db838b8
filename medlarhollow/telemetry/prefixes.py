"""Prefixes of log messages by package."""

__all__ = ["PREFIXES", "log_prefix_for"]

# Maps subpackages of medlarhollow to the prefix of their log messages.
PREFIXES = {
    "admin": "admin",
    "agreement": "agreement",
    "configuration": "configuration",
    "control": "control",
    "daemon": "daemon",
    "distribution": "sync",
    "entry": "entry",
    "limits": "limits",
    "membership": "membership",
    "moves": "moves",
    "requests": "requests",
    "steering": "steering",
    "storage": "storage",
    "telemetry": "telemetry",
    "transport": "transport",
    "usage": "usage",
}
_PACKAGE = "medlarhollow"


def log_prefix_for(logger):
    """Return the message prefix of a logger.

    Parameters
    ----------
    logger : str
        Name of the logger.

    Returns
    -------
    str
        ``library`` for loggers outside this package.

    Examples
    --------
    >>> log_prefix_for("medlarhollow.distribution.follow")
    'sync'
    """
    names = logger.split(".")
    if names[0] != _PACKAGE or len(names) < 2:
        return "library"
    return PREFIXES.get(names[1], names[1])
