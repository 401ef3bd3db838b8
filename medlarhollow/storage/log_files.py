"""Log entries in segment files that are only appended to."""

import contextlib
import os
import pathlib

import attrs

from ..messages import decode
from ..messages.records import LogEntry
from .files import sync_file
from .files import sync_folder
from .frames import find_frame
from .frames import make_frame
from .frames import read_frame
from .frames import StorageError

__all__ = ["LogFiles"]

_PREFIX = "log-"
# A segment is small enough to be read at once and large enough that a
# folder holds few of them between two snapshots.
SEGMENT_BYTES = 8 * 1024 * 1024


@attrs.define
class _Segment:
    """One file; `highest` is the highest index of an entry in it."""

    path: pathlib.Path
    highest: int = 0


class LogFiles:
    """Append log entries durably and read them back.

    An entry whose index is not above the last one replaces that entry and
    all entries after it, so that a shortened log needs no other kind of
    record and files are never rewritten.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the segment files.
    segment_bytes : int
        Size in bytes at which the next segment is begun.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        self._folder = pathlib.Path(folder)
        self._segment_bytes = segment_bytes
        self._segments = []
        self._file = None
        self._durable = 0

    def has_segments(self):
        """Return whether the folder holds segment files."""
        return bool(self._list())

    def load(self):
        """Read all entries and open the last segment for appending.

        Returns
        -------
        list of (LogEntry, bytes)
            Entries in force, in order of their index, with their encoding.

        Raises
        ------
        StorageError
            If synced entries are damaged or missing. The files are left as
            they are.
        """
        held = []
        paths = self._list()
        durable = 0
        for path in paths:
            is_last = path == paths[-1]
            frames, durable = _read_segment(path, is_last)
            segment = _Segment(path)
            for payload in frames:
                entry = _decode_entry(path, payload)
                _place(held, entry, payload, path)
                segment.highest = max(segment.highest, entry.index)
            self._segments.append(segment)
        if paths:
            self._open(paths[-1], durable)
        else:
            self._begin_segment()
        return held

    def append(self, items):
        """Append entries and sync them.

        Parameters
        ----------
        items : list of (int, bytes)
            Index and encoding of each entry.

        Raises
        ------
        OSError
            If writing or syncing failed. What the disk holds is then
            unknown, and the replica must stop.
        """
        if self._durable >= self._segment_bytes:
            self._begin_segment()
        segment = self._segments[-1]
        data = b"".join(
            make_frame(payload, self._durable) for _, payload in items
        )
        self._file.write(data)
        self._file.flush()
        sync_file(self._file.fileno())
        self._durable += len(data)
        segment.highest = max(
            segment.highest, max(index for index, _ in items)
        )

    def compact(self, index):
        """Remove the oldest segments that hold no entry above an index.

        Parameters
        ----------
        index : int
            Last index that a synced snapshot covers.
        """
        # A new segment for each snapshot lets the next one remove this one,
        # so that a restart reads the entries of two snapshots at most.
        if self._durable:
            self._begin_segment()
        removed = False
        while len(self._segments) > 1 and self._segments[0].highest <= index:
            self._segments.pop(0).path.unlink()
            removed = True
        if removed:
            sync_folder(self._folder)

    def clear(self):
        """Remove all entries, after a snapshot that replaces them."""
        for segment in self._segments:
            segment.highest = 0
        self._begin_segment()
        self.compact(0)

    def discard_unsynced(self):
        """Close the files and remove what a failed write left behind.

        Raises
        ------
        OSError
            If the disk still takes nothing; to be called again later.
        """
        # Closing writes what is buffered, which must not reach the disk.
        with contextlib.suppress(OSError):
            self.close()
        self._file = None
        if self._segments:
            with contextlib.suppress(FileNotFoundError):
                os.truncate(self._segments[-1].path, self._durable)

    def close(self):
        """Close the last segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _list(self):
        return sorted(self._folder.glob(f"{_PREFIX}*"))

    def _begin_segment(self):
        self.close()
        number = 1
        if self._segments:
            name = self._segments[-1].path.name
            number = int(name.removeprefix(_PREFIX)) + 1
        path = self._folder / f"{_PREFIX}{number:012d}"
        self._durable = 0
        self._segments.append(_Segment(path))
        self._open(path, 0)
        sync_folder(self._folder)

    def _open(self, path, durable):
        self._file = open(path, "ab")  # noqa: SIM115 - kept open
        if os.path.getsize(path) > durable:
            self._file.truncate(durable)
        sync_file(self._file.fileno())
        self._durable = durable


def _read_segment(path, is_last):
    """Return the payloads of a segment and the length of its valid part."""
    data = path.read_bytes()
    payloads = []
    offset = 0
    while offset < len(data):
        frame = read_frame(data, offset)
        if frame is None:
            _check_tail(path, data, offset, is_last)
            break
        payloads.append(frame.payload)
        offset = frame.end
    return payloads, offset


def _check_tail(path, data, offset, is_last):
    """Raise unless what follows an offset is an interrupted write."""
    if not is_last:
        raise StorageError(f"{path}: damaged at byte {offset}")
    later = offset
    while (frame := find_frame(data, later)) is not None:
        # This frame was written after the bytes at the offset were synced.
        if frame.durable > offset:
            raise StorageError(
                f"{path}: damaged at byte {offset}, although synced entries "
                "follow"
            )
        later = frame.end


def _decode_entry(path, payload):
    try:
        return decode(LogEntry, payload)
    except ValueError as error:
        raise StorageError(f"{path}: {error}") from error


def _place(held, entry, payload, path):
    if held:
        last = held[-1][0].index
        if entry.index > last + 1:
            raise StorageError(
                f"{path}: entry {entry.index} follows {last}; entries "
                "between them are missing"
            )
        keep = max(0, entry.index - held[0][0].index)
        del held[keep:]
    held.append((entry, payload))
