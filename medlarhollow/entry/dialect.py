"""Names of the headers that callers and backend servers use."""

import re

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..steering import ServerLoad
from .headers import KEY_HEADER
from .headers import read_single

__all__ = ["Dialect", "read_key", "read_load"]

_LOAD_FIELDS = 3
# Far more digits than any count has; Python refuses to convert thousands.
_NUMBER = re.compile("[0-9]{1,9}")
# Value of the fourth field of a load report at the usual speed.
_USUAL_SLOWNESS = 100


@attrs.frozen
class Dialect:
    """Header names of an HTTP interface; another front end may use others.

    An empty name disables the header.

    Attributes
    ----------
    key : str
        Header with the caller's key.
    key_scheme : str
        Authentication scheme before the key, as in ``Authorization``.
    affinity : str
        Header with the key of the requested object, for affinity.
    account : str
        Header with the client account, sent to backend servers.
    server : str
        Header that names the backend server a request is intended for; a
        different server at the same address responds with 421.
    not_run : str
        Header by which a backend server reports that it did not run a
        request.
    seal : str
        Header that each genuine success response of a backend server has.
    load : str
        Header with a backend server's running and waiting requests and its
        slots, separated by commas; a fourth value, if any, is the time that
        work takes on its machine, in percent of the usual time.
    leaving : str
        Header with the value 1 in each response of a backend server that is
        leaving.
    pause : str
        Header of a 503 response with the seconds for which the backend server
        wants no requests from this VM.
    echoes_request_id : bool
        Whether responses of backend servers repeat the request identifier,
        by which a response to another request is detected.
    masks_keys : bool
        Whether text in the form of the fleet's own keys is masked in
        forwarded requests. Without keys of this form it is ordinary content.
    """

    key: str = KEY_HEADER
    key_scheme: str = ""
    affinity: str = "x-medlarhollow-affinity"
    account: str = ""
    server: str = ""
    not_run: str = ""
    seal: str = ""
    load: str = ""
    leaving: str = ""
    pause: str = ""
    echoes_request_id: bool = False
    masks_keys: bool = True

    @property
    def set_by_vm(self):
        """Frozenset of str : headers that callers must not set."""
        return frozenset({self.account, self.server, self.key} - {""})


def read_key(headers, dialect):
    """Return the key of a request.

    Parameters
    ----------
    headers : starlette.datastructures.Headers
        Headers of the request.
    dialect : Dialect
        Names the header.

    Returns
    -------
    result.Result
        ``Ok`` with the key, empty if there is none, or ``BAD_REQUEST``.
    """
    single = read_single(headers, dialect.key)
    if single.is_err() or not dialect.key_scheme:
        return single.map(lambda value: value or "")
    scheme, _, key = (single.ok_value or "").partition(" ")
    if scheme.lower() != dialect.key_scheme.lower():
        return Ok("")
    return Ok(key.strip())


def read_load(headers, dialect):
    """Return the load that a backend server reports with a response.

    Parameters
    ----------
    headers : Mapping
        Headers of the response.
    dialect : Dialect
        Names the header.

    Returns
    -------
    result.Result
        ``Ok(ServerLoad)``, ``Ok(None)`` without a report, or
        ``BACKEND_FAILED`` if the report is malformed. Values beyond the known
        ones are ignored.
    """
    text = headers.get(dialect.load) if dialect.load else None
    if text is None:
        return Ok(None)
    parts = [part.strip() for part in text.split(",")]
    known = parts[:_LOAD_FIELDS]
    if len(known) < _LOAD_FIELDS or not all(map(_is_number, known)):
        return fail(
            ErrorKind.BACKEND_FAILED, f"malformed load report {text!r}"
        )
    return Ok(ServerLoad(*map(int, known), _read_slowness(parts)))


def _is_number(text):
    return _NUMBER.fullmatch(text) is not None


def _read_slowness(parts):
    """Return the slowness of a report, 1 if it has none that is known.

    Later versions of servers may add values of any form, which must not
    invalidate those that are known.
    """
    if len(parts) <= _LOAD_FIELDS or not _is_number(parts[_LOAD_FIELDS]):
        return 1.0
    return max(1, int(parts[_LOAD_FIELDS])) / _USUAL_SLOWNESS
