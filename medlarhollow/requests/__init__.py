"""Rules for requests: idempotency claims, retries, deadlines, redaction."""

from .budget import RetryBudget
from .claims import ClaimLedger
from .deadlines import choose_timeout
from .deadlines import format_remaining
from .hedging import FirstAttempt
from .hedging import HedgeVerdict
from .hedging import Hedging
from .idempotency import check_age
from .idempotency import parse_idempotency_key
from .redaction import BodyRedactor
from .redaction import contains_key
from .redaction import redact_text
from .retries import Answered
from .retries import may_have_run
from .retries import may_retry
from .retries import NotSent
from .retries import Refused
from .retries import Unanswered

__all__ = [
    "Answered",
    "BodyRedactor",
    "ClaimLedger",
    "FirstAttempt",
    "HedgeVerdict",
    "Hedging",
    "NotSent",
    "Refused",
    "RetryBudget",
    "Unanswered",
    "check_age",
    "choose_timeout",
    "contains_key",
    "format_remaining",
    "may_have_run",
    "may_retry",
    "parse_idempotency_key",
    "redact_text",
]
