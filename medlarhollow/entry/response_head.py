"""What the head of a backend server's response says."""

import logging
import re

from .. import clock
from ..requests import Answered
from ..requests import Refused
from ..requests import Unanswered
from .dialect import read_load
from .headers import OUTCOME_HEADER
from .headers import REQUEST_ID_HEADER
from .notices import read_notice

__all__ = ["classify_response", "report_load", "report_notice"]

_LOG = logging.getLogger(__name__)
_MISDIRECTED = 421
_SUCCESSES = range(200, 300)
# The client library passes on any three digits. A final 1xx would be an answer
# to an upgrade, which is never requested.
_FINAL_STATUSES = range(200, 600)
# Fields as RFC 9110 permits them; the HTTP server refuses to write others.
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def classify_response(response, slot, dialect, request_id):
    """Return the outcome of an attempt from its response head.

    A head that cannot be passed on is no answer, whatever else it says.
    """
    defect = _find_defect(response)
    if defect:
        return Unanswered(f"{slot.address} responded with {defect}")
    headers = response.headers
    if dialect.echoes_request_id and not slot.remote:
        echoed = headers.get(REQUEST_ID_HEADER, request_id)
        if echoed != request_id:
            return Unanswered(f"{slot.address} responded to another request")
    if dialect.not_run and dialect.not_run in headers:
        return Refused(f"{slot.address} refused with {response.status}")
    if dialect.server and response.status == _MISDIRECTED:
        return Refused(f"{slot.address} is a different server")
    if (
        dialect.seal
        and response.status in _SUCCESSES
        and dialect.seal not in headers
    ):
        return Unanswered(f"{slot.address} responded without a seal")
    if slot.remote:
        reported = response.headers.get(OUTCOME_HEADER)
        detail = f"{slot.address} responded with {response.status}"
        if reported == "not-run":
            return Refused(detail)
        if reported is not None:
            return Unanswered(detail)
    return Answered(response.status)


def _find_defect(response):
    """Return what makes a head invalid, or an empty string."""
    if response.status not in _FINAL_STATUSES:
        return f"the status {response.status:03d}, which is none"
    for name, value in response.raw_headers:
        if not _FIELD_NAME.fullmatch(name):
            return f"the field name {name!r}"
        if _FORBIDDEN_IN_VALUE.search(value):
            return f"control characters in the field {name.decode()!r}"
    return ""


def report_load(vm, response, slot):
    """Pass the load report in a response to the dispatcher."""
    load = read_load(response.headers, vm.dialect)
    if load.is_err():
        _LOG.info("entry: %s: %s", slot.address, load.err_value.detail)
    elif load.ok_value is not None:
        vm.dispatcher.record_load(
            slot.assignment, load.ok_value, clock.monotonic()
        )


def report_notice(vm, response, slot, outcome):
    """Apply what a server told of itself in a response that is its own."""
    if (
        slot.remote
        or isinstance(outcome, Unanswered)
        or response.status == _MISDIRECTED
    ):
        return
    notice = read_notice(
        slot.address, response.status, response.headers, vm.dialect
    )
    now = clock.monotonic()
    if notice.is_leaving and vm.directory.mark_left(
        slot.assignment.server, now
    ):
        _LOG.info(
            "entry: %s reported in a response that it is leaving",
            slot.server_id,
        )
    if notice.pause_s:
        vm.dispatcher.record_pause(slot.assignment, notice.pause_s, now)
