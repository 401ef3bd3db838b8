"""Answers that the entry VM makes itself."""

import heapq
import json
import random
import time

import attrs
from starlette.responses import JSONResponse

from ..errors import response_of
from ..messages.records import ErrorKind
from ..messages.records import VmState
from .headers import OUTCOME_HEADER
from .headers import REPLAY_HEADER

__all__ = [
    "Answer",
    "answer_failure",
    "describe_vm",
    "list_elsewhere",
    "make_failure_answer",
    "make_replay",
    "serving_vms",
    "accepts_callers",
]

_BODILESS = frozenset({204, 304})


@attrs.frozen
class Answer:
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Names in lower case and values.
    body : bytes
        The whole body.
    """

    status: int
    headers: tuple
    body: bytes


def answer_failure(failure, retry_after_s=1):
    """Return the HTTP answer of a failure.

    Parameters
    ----------
    failure : Failure
        Kind and detail.
    retry_after_s : float
        Time after which a passing failure may be over, in seconds.

    Returns
    -------
    starlette.responses.JSONResponse
        Its body names the kind, the outcome and the detail.
    """
    status, headers, body = _describe(failure, retry_after_s)
    return JSONResponse(body, status, headers)


def make_failure_answer(failure, vm):
    """Return the answer of a failure to a caller's request.

    Parameters
    ----------
    failure : Failure
        Kind and detail.
    vm : EntryVm
        Its roster names the entry VMs elsewhere, to which a caller is
        referred when this VM cannot check keys.

    Returns
    -------
    Answer
        With a JSON body that names kind, outcome and detail.
    """
    retry_after_s = vm.settings.entry.retry_after_s
    status, headers, body = _describe(failure, retry_after_s)
    if failure.kind is ErrorKind.STALE_AUTHORITY:
        body["entry_vms"] = [describe_vm(each) for each in list_elsewhere(vm)]
    elif failure.kind is ErrorKind.DRAINING:
        listed = serving_vms(vm, count=vm.settings.entry.lookup_count)
        body["entry_vms"] = [describe_vm(each) for each in listed]
    headers["content-type"] = "application/json"
    return _whole(status, headers, json.dumps(body).encode())


def make_replay(outcome):
    """Return the answer to a resend of a request that was completed.

    Parameters
    ----------
    outcome : Outcome
        The first answer.

    Returns
    -------
    Answer
        Marked by a header. If the body was not kept, a JSON note takes its
        place.
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
        note = {
            "outcome": "completed",
            "status": outcome.status,
            "detail": "the request ran once; the body of its answer was "
            "not kept",
        }
        body = json.dumps(note).encode()
    answer = _whole(outcome.status, headers, body)
    return attrs.evolve(answer, headers=(*answer.headers, *cookies))


def serving_vms(vm, spread=0, count=None, caller_region=""):
    """Return the entry VMs that a caller may use, nearest first.

    Parameters
    ----------
    vm : EntryVm
        Holds the roster and hears the VMs of its data centre.
    spread : int
        Hash of the caller, by which callers are spread over VMs.
    count : int or None
        Greatest number of VMs; None for all.
    caller_region : str
        Region of the caller, if known.

    Returns
    -------
    list of Vm
        Serving VMs that are alive, without this one while it drains.
    """
    now = time.monotonic()
    state = vm.state_cache.state
    if count is None:
        count = len(state.vms)
    return vm.lookups.list(
        state,
        caller_region,
        accepts_callers=lambda entry: accepts_callers(vm, entry, now),
        spread=spread,
        count=count,
    )


def accepts_callers(vm, entry, now):
    """Tell whether an entry VM of the roster should be named to callers.

    Parameters
    ----------
    vm : EntryVm
        This VM, which hears others.
    entry : Vm
        From the roster.
    now : float
        Monotonic time in seconds.
    """
    if entry.name == vm.settings.vm.name:
        return not vm.drain.draining
    return vm.directory.peers.accepts_callers(entry, now)


def list_elsewhere(vm):
    """Return entry VMs of other data centres.

    Parameters
    ----------
    vm : EntryVm
        Holds the roster.

    Returns
    -------
    list of Vm
        At most `lookup_count`, those of this region first. Their order is
        random, so that the callers of a data centre that is cut off spread
        over the others.
    """
    own = vm.settings.vm
    found = [
        entry
        for entry in vm.state_cache.state.vms.values()
        if entry.state is VmState.SERVING
        and entry.caller_address
        and entry.data_centre != own.data_centre
    ]
    return heapq.nsmallest(
        vm.settings.entry.lookup_count,
        found,
        key=lambda entry: (entry.region != own.region, random.random()),
    )


def describe_vm(entry):
    """Return what a caller is told of an entry VM.

    Parameters
    ----------
    entry : Vm
        From the roster.

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


def _describe(failure, retry_after_s):
    response = response_of(failure.kind)
    headers = {OUTCOME_HEADER: response.outcome}
    if response.may_pass:
        headers["retry-after"] = f"{retry_after_s:g}"
    body = {
        "error": failure.kind.name.lower(),
        "outcome": response.outcome,
        "detail": failure.detail,
    }
    if failure.revision:
        body["revision"] = failure.revision
    return response.status, headers, body


def _whole(status, headers, body):
    if status not in _BODILESS:
        headers["content-length"] = str(len(body))
    pairs = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    return Answer(status, tuple(pairs), body)
