"""The closed list of error kinds and the response of each."""

from .failures import fail
from .failures import FailureError
from .responses import ErrorResponse
from .responses import outcome_of
from .responses import response_of

__all__ = [
    "FailureError",
    "ErrorResponse",
    "fail",
    "outcome_of",
    "response_of",
]
