"""HTTP headers that the proxy reads, removes or adds."""

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..requests import contains_key
from ..requests import redact_text
from ..transport.channel import SECRET_HEADER

__all__ = [
    "ACCOUNT_HEADER",
    "CLAIMED_HEADER",
    "DEADLINE_HEADER",
    "FORWARDED_HEADER",
    "IDEMPOTENCY_HEADER",
    "KEY_HEADER",
    "KEY_ID_HEADER",
    "OUTCOME_HEADER",
    "REPLAY_HEADER",
    "REQUEST_ID_HEADER",
    "filter_response_headers",
    "filter_request_headers",
    "read_single",
]

_INTERNAL_PREFIX = "x-medlarhollow-"
KEY_HEADER = "x-medlarhollow-key"
OUTCOME_HEADER = "x-medlarhollow-outcome"
REPLAY_HEADER = "x-medlarhollow-replay"
# Sent only between entry VMs, together with the fleet secret.
FORWARDED_HEADER = "x-medlarhollow-forwarded"
ACCOUNT_HEADER = "x-medlarhollow-account"
KEY_ID_HEADER = "x-medlarhollow-key-id"
CLAIMED_HEADER = "x-medlarhollow-claimed"
DEADLINE_HEADER = "x-deadline-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"

# Hop-by-hop headers: RFC 9110, section 7.6.1, and obsolete ones.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The front end handles 100-continue itself. Deadline and request identifier
# are set again by this VM.
_REPLACED_HEADERS = frozenset(
    {
        "authorization",
        "expect",
        DEADLINE_HEADER,
        REQUEST_ID_HEADER,
        SECRET_HEADER,
    }
)


def read_single(headers, name):
    """Return the value of a header that must occur at most once.

    Parameters
    ----------
    headers : starlette.datastructures.Headers
        Headers of a request.
    name : str
        Name in lower case.

    Returns
    -------
    result.Result
        ``Ok`` with the value or None, or ``BAD_REQUEST`` if it is repeated.
    """
    values = headers.getlist(name)
    if len(values) > 1:
        return fail(ErrorKind.BAD_REQUEST, f"{name} must not be repeated")
    return Ok(values[0] if values else None)


def filter_request_headers(raw, set_by_vm=frozenset(), masks_keys=True):
    """Return the headers of a request that are forwarded.

    Parameters
    ----------
    raw : iterable of (bytes, bytes)
        Names in lower case and values, as received.
    set_by_vm : frozenset of str
        Further headers that only an entry VM may set.
    masks_keys : bool
        Whether keys in values are redacted and headers whose names contain
        one are removed.

    Returns
    -------
    list of (str, str)
        Without hop-by-hop and internal headers.
    """
    pairs = [(_decode(name), _decode(value)) for name, value in raw]
    dropped = (
        _HOP_BY_HOP_HEADERS
        | _REPLACED_HEADERS
        | _connection_options(pairs)
        | set_by_vm
    )
    kept = [
        (name, value)
        for name, value in pairs
        if name not in dropped and not name.startswith(_INTERNAL_PREFIX)
    ]
    if not masks_keys:
        return kept
    return [
        (name, redact_text(value))
        for name, value in kept
        if not contains_key(name)
    ]


def filter_response_headers(raw):
    """Return the headers of a response that are forwarded.

    Parameters
    ----------
    raw : iterable of (bytes, bytes)
        Names and values, as received.

    Returns
    -------
    list of (bytes, bytes)
        Names in lower case, in order, including repeated headers. Headers
        that only an entry VM may set are removed.
    """
    pairs = [(name.lower(), value) for name, value in raw]
    decoded = [(_decode(name), _decode(value)) for name, value in pairs]
    dropped = _HOP_BY_HOP_HEADERS | _connection_options(decoded)
    return [
        pair
        for pair, (name, _) in zip(pairs, decoded, strict=True)
        if name not in dropped and not name.startswith(_INTERNAL_PREFIX)
    ]


def _connection_options(pairs):
    return {
        token.strip().lower()
        for name, value in pairs
        if name == "connection"
        for token in value.split(",")
    }


def _decode(data):
    try:
        return data.decode()
    except UnicodeDecodeError:
        return data.decode("latin-1")
