"""Rules for single requests: claims, retries, deadlines, redaction."""

from .claims import ClaimLedger

__all__ = ["ClaimLedger"]
