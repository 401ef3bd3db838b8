"""Build the request to a backend server from a caller's request."""

from .. import clock
from ..requests import format_remaining
from ..requests import redact_text
from ..transport.channel import SECRET_HEADER
from .headers import ACCOUNT_HEADER
from .headers import CLAIMED_HEADER
from .headers import DEADLINE_HEADER
from .headers import filter_request_headers
from .headers import FORWARDED_HEADER
from .headers import KEY_ID_HEADER
from .headers import REQUEST_ID_HEADER

__all__ = ["make_backend_headers", "make_target"]


def make_target(caller, dialect):
    """Return path and query of the backend request, with keys redacted."""
    query = redact_text(caller.query) if dialect.masks_keys else caller.query
    return f"{caller.raw_path}?{query}" if query else caller.raw_path


def make_backend_headers(vm, caller, admission, slot):
    """Return the headers of the request to the server of a slot.

    Parameters
    ----------
    vm : EntryVm
        Its dialect defines the header names.
    caller : Caller
        The request as received.
    admission : Admission
        Account, identifier and deadline.
    slot : Slot
        Slot of the target server.

    Returns
    -------
    list of (str, str)
        The caller's headers without hop-by-hop headers and key, and the
        headers that this VM sets.
    """
    headers = filter_request_headers(
        caller.headers.raw, vm.dialect.set_by_vm, vm.dialect.masks_keys
    )
    deadline_at = admission.slot_request.deadline_at
    headers += [
        (REQUEST_ID_HEADER, admission.request_id),
        (DEADLINE_HEADER, format_remaining(deadline_at, clock.monotonic())),
    ]
    trace = {}
    vm.telemetry.inject(trace)
    if trace:
        headers = [pair for pair in headers if pair[0].lower() not in trace]
        headers += trace.items()
    if vm.dialect.server and not slot.remote:
        headers.append((vm.dialect.server, slot.server_id))
    if vm.dialect.account and admission.slot_request.account:
        headers.append((vm.dialect.account, admission.slot_request.account))
    if slot.remote:
        headers += [
            (SECRET_HEADER, vm.secret),
            (FORWARDED_HEADER, vm.settings.vm.data_centre),
            (ACCOUNT_HEADER, admission.slot_request.account),
            (KEY_ID_HEADER, admission.key_id),
        ]
        if not admission.idempotent:
            headers.append((CLAIMED_HEADER, "1"))
    return headers
