"""Answer a failure over HTTP."""

from starlette.responses import JSONResponse

from ..errors import response_of

__all__ = ["OUTCOME_HEADER", "answer_failure"]

OUTCOME_HEADER = "x-medlarhollow-outcome"


def answer_failure(failure):
    """Return the HTTP answer of a failure.

    Parameters
    ----------
    failure : Failure
        Kind and detail.

    Returns
    -------
    starlette.responses.JSONResponse
        Its body names the kind, the outcome and the detail.
    """
    response = response_of(failure.kind)
    headers = {OUTCOME_HEADER: response.outcome}
    if response.retry_after_s is not None:
        headers["retry-after"] = str(response.retry_after_s)
    body = {
        "error": failure.kind.name.lower(),
        "outcome": response.outcome,
        "detail": failure.detail,
    }
    if failure.revision:
        body["revision"] = failure.revision
    return JSONResponse(body, response.status, headers)
