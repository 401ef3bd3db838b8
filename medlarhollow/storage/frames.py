"""Checked frames, the unit in which all files of a replica are written.

A frame is a header of 20 bytes, big-endian, and a payload: magic number (4),
payload length (4), durable offset (8), CRC-32 of the header before it and of
the payload (4). The durable offset is the length of the file that was synced
before the frame was written: with it a reader tells an interrupted write,
whose pages may have reached the disk in any order, from damage to data that
was synced and acknowledged.
"""

import binascii
import struct

import attrs

from ..errors import FailureError
from ..messages.records import ErrorKind
from ..messages.records import Failure

__all__ = ["Frame", "StorageError", "find_frame", "make_frame", "read_frame"]

_MAGIC = b"mhF1"
_HEAD = struct.Struct(">4sIQ")
_CHECK = struct.Struct(">I")
HEADER_BYTES = _HEAD.size + _CHECK.size


class StorageError(FailureError):
    """Say that a file of the replica cannot be trusted.

    Parameters
    ----------
    detail : str
        Names the file and what is wrong with it.
    """

    def __init__(self, detail):
        super().__init__(
            Failure(kind=ErrorKind.STORAGE_DAMAGED, detail=detail)
        )


@attrs.frozen
class Frame:
    """A frame that was read.

    Attributes
    ----------
    payload : bytes
        What was written.
    durable : int
        Length of the file in bytes that was synced before this frame.
    end : int
        Offset of the first byte behind the frame.
    """

    payload: bytes
    durable: int
    end: int


def make_frame(payload, durable=0):
    """Return the bytes of a frame.

    Parameters
    ----------
    payload : bytes
        What to write.
    durable : int
        Length of the file in bytes that is synced already.

    Returns
    -------
    bytes
        Header and payload.
    """
    head = _HEAD.pack(_MAGIC, len(payload), durable)
    check = binascii.crc32(payload, binascii.crc32(head))
    return head + _CHECK.pack(check) + payload


def read_frame(data, offset):
    """Read the frame at an offset.

    Parameters
    ----------
    data : bytes
        Content of the file.
    offset : int
        Where the frame starts.

    Returns
    -------
    Frame or None
        None if there is no complete frame with the right check value.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    magic, length, durable = _HEAD.unpack_from(data, offset)
    end = start + length
    if magic != _MAGIC or end > len(data):
        return None
    (expected,) = _CHECK.unpack_from(data, offset + _HEAD.size)
    head = data[offset : offset + _HEAD.size]
    payload = data[start:end]
    if binascii.crc32(payload, binascii.crc32(head)) != expected:
        return None
    return Frame(payload, durable, end)


def find_frame(data, offset):
    """Find the next valid frame at or behind an offset.

    Parameters
    ----------
    data : bytes
        Content of the file.
    offset : int
        Where to start.

    Returns
    -------
    Frame or None
        None if no valid frame follows.
    """
    while (offset := data.find(_MAGIC, offset)) >= 0:
        frame = read_frame(data, offset)
        if frame is not None:
            return frame
        offset += 1
    return None
