"""Table of the prefixes of log messages."""

__all__ = ["PREFIXES", "log_prefix_for"]

# Package below medlarhollow and the prefix with which its messages begin.
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
}
_PACKAGE = "medlarhollow"


def log_prefix_for(logger):
    """Return the prefix of a logger's part.

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
