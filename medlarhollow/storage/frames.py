"""Frames with a checksum, the unit in which all replica files are written.

A frame is a big-endian header of 20 bytes and a payload. The header has a
magic number (4 bytes), the payload length (4), the synced length (8), and the
CRC-32 of these fields and the payload (4). The synced length is the length of
the file that was synced before the frame was written. It distinguishes an
interrupted write, whose pages may have reached the disk in any order, from
damage to data that was synced and acknowledged.
"""

import binascii
import struct

import attrs

from ..errors import FailureError
from ..messages.records import ErrorKind
from ..messages.records import Failure

__all__ = ["Frame", "StorageError", "find_frame", "make_frame", "read_frame"]

_MAGIC = b"mhF1"
_HEADER = struct.Struct(">4sIQ")
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size


class StorageError(FailureError):
    """Raised when the stored data of a replica cannot be trusted.

    Parameters
    ----------
    detail : str
        Names the fault, and the file if it is that of one file.
    """

    def __init__(self, detail):
        super().__init__(
            Failure(kind=ErrorKind.STORAGE_DAMAGED, detail=detail)
        )


@attrs.frozen
class Frame:
    """A frame read from a file.

    Attributes
    ----------
    payload : bytes
        The payload.
    synced_bytes : int
        Length of the file in bytes that was synced before this frame.
    end : int
        Offset of the first byte after the frame.
    """

    payload: bytes
    synced_bytes: int
    end: int


def make_frame(payload, synced_bytes=0):
    """Return the bytes of a frame.

    Parameters
    ----------
    payload : bytes
        The payload.
    synced_bytes : int
        Length of the file in bytes that is already synced.

    Returns
    -------
    bytes
        Header and payload.
    """
    header = _HEADER.pack(_MAGIC, len(payload), synced_bytes)
    checksum = binascii.crc32(payload, binascii.crc32(header))
    return header + _CHECKSUM.pack(checksum) + payload


def read_frame(data, offset):
    """Read the frame at an offset.

    Parameters
    ----------
    data : bytes
        Content of the file.
    offset : int
        Offset of the frame.

    Returns
    -------
    Frame or None
        None if there is no complete frame with a matching checksum.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    magic, length, synced_bytes = _HEADER.unpack_from(data, offset)
    end = start + length
    if magic != _MAGIC or end > len(data):
        return None
    (expected,) = _CHECKSUM.unpack_from(data, offset + _HEADER.size)
    header = data[offset : offset + _HEADER.size]
    payload = data[start:end]
    if binascii.crc32(payload, binascii.crc32(header)) != expected:
        return None
    return Frame(payload, synced_bytes, end)


def find_frame(data, offset):
    """Find the next valid frame at or after an offset.

    Parameters
    ----------
    data : bytes
        Content of the file.
    offset : int
        Offset at which the search starts.

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
