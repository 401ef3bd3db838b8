"""Operator requests and the headers that they share."""

import re
import uuid

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["OperatorRequest", "change_request_id", "parse_operator_request"]

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")


@attrs.frozen
class OperatorRequest:
    """Decoded request of an operator.

    Attributes
    ----------
    operator : str
        Name of the operator.
    request_id : str
        Identifier that a retry of the request repeats.
    base_revision : int
        Operator revision that the request is based on; 0 for no check.
    path, query : dict
        Parameter values by name, as text.
    body : object or None
        The decoded body.
    """

    operator: str
    request_id: str
    base_revision: int = 0
    path: dict = attrs.field(factory=dict)
    query: dict = attrs.field(factory=dict)
    body: object = None


def parse_operator_request(operator, request_id, base_revision, **fields):
    """Validate the headers that every request has.

    Parameters
    ----------
    operator : str
        Name of the operator.
    request_id, base_revision : str or None
        Header values; None if missing.
    **fields
        Further attributes of the request.

    Returns
    -------
    result.Result
        ``Ok`` with an `OperatorRequest` or ``BAD_REQUEST``.

    Examples
    --------
    >>> parse_operator_request("ana", "a1", "x").err_value.detail
    "X-Base-Revision 'x': must be an integer from 0 to 2**63 - 1"
    """
    if request_id is None:
        request_id = uuid.uuid4().hex
    if not _REQUEST_ID.fullmatch(request_id):
        return fail(
            ErrorKind.BAD_REQUEST,
            f"X-Request-Id '{request_id}': must be 1 to 64 letters, digits, "
            "'.', '_', ':' or '-'",
        )
    base_text = base_revision or "0"
    if not (
        base_text.isascii() and base_text.isdigit() and int(base_text) < 2**63
    ):
        return fail(
            ErrorKind.BAD_REQUEST,
            f"X-Base-Revision '{base_text}': must be an integer from 0 to "
            "2**63 - 1",
        )
    return Ok(OperatorRequest(operator, request_id, int(base_text), **fields))


def change_request_id(request, suffix=""):
    """Return the request identifier of a change in the agreed history.

    It starts with the operator's name, since two operators may choose the
    same identifier for different requests.
    """
    name = f"{request.operator}/{request.request_id}"
    return f"{name}.{suffix}" if suffix else name
