"""Masking of client account keys in logs, metrics and traces."""

import logging
import traceback

from ..configuration.keys import KEY_PATTERN

__all__ = ["KeyMaskingFilter", "mask_keys"]


def mask_keys(text):
    """Mask the secret of every key in a text.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    str
        The text with the secret of each key replaced by asterisks. The
        identifier of the key stays, so that a leaked key can be revoked.

    Examples
    --------
    >>> mask_keys("mhk_" + "a" * 16 + "_" + "b" * 43)[:24]
    'mhk_aaaaaaaaaaaaaaaa_***'
    """
    if "mhk_" not in text:
        return text
    return KEY_PATTERN.sub(_mask_match, text)


def _mask_match(match):
    return f"mhk_{match[1]}_{'*' * len(match[2])}"


class KeyMaskingFilter(logging.Filter):
    """Logging filter that masks keys in all texts of a record."""

    def filter(self, record):
        """Mask keys in the message, the exception and additional fields.

        Returns
        -------
        bool
            Always True; no record is dropped.
        """
        record.msg = mask_keys(record.getMessage())
        record.args = None
        if record.exc_info:
            lines = traceback.format_exception(*record.exc_info)
            record.exc_text = mask_keys("".join(lines).rstrip())
            record.exc_info = None
        if record.stack_info:
            record.stack_info = mask_keys(record.stack_info)
        for name, value in vars(record).items():
            if name in ("msg", "exc_text", "stack_info"):
                continue
            if isinstance(value, str | bytes | tuple | list | dict):
                text = value if isinstance(value, str) else repr(value)
                if "mhk_" in text:
                    setattr(record, name, mask_keys(text))
        return True
