"""Failures by error kind and the HTTP responses to them."""

from .failures import fail
from .failures import FailureError
from .responses import ErrorResponse
from .responses import outcome_of
from .responses import response_of

__all__ = [
    "ErrorResponse",
    "FailureError",
    "fail",
    "outcome_of",
    "response_of",
]
