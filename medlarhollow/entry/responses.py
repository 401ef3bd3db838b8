"""Responses that the entry VM generates itself."""

import heapq
import json
import random

import attrs
from starlette.responses import JSONResponse

from .. import clock
from ..errors import response_of
from ..messages.records import ErrorKind
from ..messages.records import VmState
from .headers import OUTCOME_HEADER
from .headers import REPLAY_HEADER

__all__ = [
    "CompleteResponse",
    "make_failure_response",
    "describe_vm",
    "list_remote_vms",
    "make_caller_failure_response",
    "make_replay_response",
    "list_serving_vms",
    "accepts_callers",
]

_BODILESS = frozenset({204, 304})


@attrs.frozen
class CompleteResponse:
    """A response with its whole body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Names in lower case and values.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple
    body: bytes


def make_failure_response(failure, retry_after_s=1):
    """Return the HTTP response for a failure.

    Parameters
    ----------
    failure : Failure
        Kind and detail.
    retry_after_s : float
        Value of ``Retry-After`` for transient failures, in seconds.

    Returns
    -------
    starlette.responses.JSONResponse
        With a JSON body that names kind, outcome and detail.
    """
    status, headers, body = _describe_failure(failure, retry_after_s)
    return JSONResponse(body, status, headers)


def make_caller_failure_response(failure, vm):
    """Return the response for a failed request of a caller.

    Parameters
    ----------
    failure : Failure
        Kind and detail.
    vm : EntryVm
        Its roster provides the alternative entry VMs that are listed when
        this VM cannot check keys or drains.

    Returns
    -------
    CompleteResponse
        With a JSON body that names kind, outcome and detail.
    """
    retry_after_s = vm.settings.entry.retry_after_s
    status, headers, body = _describe_failure(failure, retry_after_s)
    if failure.kind is ErrorKind.STALE_AUTHORITY:
        body["entry_vms"] = [
            describe_vm(vm_entry) for vm_entry in list_remote_vms(vm)
        ]
    elif failure.kind is ErrorKind.DRAINING:
        vm_entries = list_serving_vms(vm, count=vm.settings.entry.lookup_count)
        body["entry_vms"] = [describe_vm(vm_entry) for vm_entry in vm_entries]
    headers["content-type"] = "application/json"
    return _make_complete_response(status, headers, json.dumps(body).encode())


def make_replay_response(outcome):
    """Return the response to a retry of a completed request.

    Parameters
    ----------
    outcome : Outcome
        Recorded outcome of the first execution.

    Returns
    -------
    CompleteResponse
        Marked as a replay by a header. If the body was not kept, a JSON
        object replaces it.
    """
    headers = {
        header.name: header.value
        for header in outcome.headers
        if header.name != "set-cookie"
    }
    cookies = [
        (b"set-cookie", header.value.encode("latin-1"))
        for header in outcome.headers
        if header.name == "set-cookie"
    ]
    body = outcome.body
    headers[OUTCOME_HEADER] = "completed"
    headers[REPLAY_HEADER] = "complete" if outcome.body_kept else "no-body"
    if not outcome.body_kept and outcome.status not in _BODILESS:
        headers.pop("content-encoding", None)
        headers.pop("content-range", None)
        headers["content-type"] = "application/json"
        placeholder = {
            "outcome": "completed",
            "status": outcome.status,
            "detail": "the request ran once; the body of its response was "
            "not kept",
        }
        body = json.dumps(placeholder).encode()
    response = _make_complete_response(outcome.status, headers, body)
    return attrs.evolve(response, headers=(*response.headers, *cookies))


def list_serving_vms(vm, spread=0, count=None, caller_region=""):
    """Return the available entry VMs, nearest to the caller first.

    Parameters
    ----------
    vm : EntryVm
        Provides the roster and the liveness of the VMs of its data centre.
    spread : int
        Hash of the caller address, which distributes callers over VMs.
    count : int or None
        Maximum number of VMs; None for all.
    caller_region : str
        Region of the caller; empty if unknown.

    Returns
    -------
    list of Vm
        Live VMs in service, without this VM while it drains.
    """
    now = clock.monotonic()
    state = vm.state_cache.state
    if count is None:
        count = len(state.vms)
    return vm.lookup_order.list(
        state,
        caller_region,
        accepts_callers=lambda entry: accepts_callers(vm, entry, now),
        spread=spread,
        count=count,
    )


def accepts_callers(vm, entry, now):
    """Return whether an entry VM should be listed to callers.

    Parameters
    ----------
    vm : EntryVm
        This VM, which tracks the liveness of others.
    entry : Vm
        Roster entry.
    now : float
        Monotonic time in seconds.
    """
    if entry.name == vm.settings.vm.name:
        return not vm.drain.draining
    return vm.directory.peers.accepts_callers(entry, now)


def list_remote_vms(vm):
    """Return entry VMs of other data centres.

    Parameters
    ----------
    vm : EntryVm
        Provides the roster.

    Returns
    -------
    list of Vm
        At most `lookup_count`, those of this region first. Otherwise the
        order is random, so that the callers of an isolated data centre are
        distributed over the others.
    """
    local = vm.settings.vm
    candidates = [
        entry
        for entry in vm.state_cache.state.vms.values()
        if entry.state is VmState.SERVING
        and entry.caller_address
        and entry.data_centre != local.data_centre
    ]
    return heapq.nsmallest(
        vm.settings.entry.lookup_count,
        candidates,
        key=lambda entry: (entry.region != local.region, random.random()),
    )


def describe_vm(entry):
    """Return the JSON description of an entry VM.

    Parameters
    ----------
    entry : Vm
        Roster entry.

    Returns
    -------
    dict
        Name, address, region and data centre.
    """
    return {
        "name": entry.name,
        "address": entry.caller_address,
        "region": entry.region,
        "data_centre": entry.data_centre,
    }


def _describe_failure(failure, retry_after_s):
    response = response_of(failure.kind)
    headers = {OUTCOME_HEADER: response.outcome}
    if response.retryable:
        retry_after_s = failure.retry_after_s or retry_after_s
        headers["retry-after"] = f"{retry_after_s:.3g}"
    body = {
        "error": failure.kind.name.lower(),
        "outcome": response.outcome,
        "detail": failure.detail,
    }
    if failure.revision:
        body["revision"] = failure.revision
    return response.status, headers, body


def _make_complete_response(status, headers, body):
    if status not in _BODILESS:
        headers["content-length"] = str(len(body))
    pairs = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    return CompleteResponse(status, tuple(pairs), body)
