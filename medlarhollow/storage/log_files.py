"""Log entries in append-only segment files."""

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
# Small enough to read a segment at once, large enough that few segments are
# written between two snapshots.
SEGMENT_BYTES = 8 * 1024 * 1024


@attrs.define
class _Segment:
    """One file; `highest_index` is the highest index of its entries."""

    path: pathlib.Path
    highest_index: int = 0


class LogFiles:
    """Append-only storage of log entries.

    An entry whose index is not above the last one replaces the entry at its
    index and all later ones. So the truncation of a log needs no record of
    its own, and files are never rewritten.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the segment files.
    segment_bytes : int
        Size in bytes at which a new segment is started.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        self._folder = pathlib.Path(folder)
        self._segment_bytes = segment_bytes
        self._segments = []
        self._file = None
        # Length of the valid data of the last segment; None until it is read.
        self._synced_bytes = None

    def has_segments(self):
        """Return whether the folder has segment files."""
        return bool(self._segment_paths())

    def load(self):
        """Read all entries and open the last segment for appending.

        Returns
        -------
        list of (LogEntry, bytes)
            Effective entries in index order without their change, which
            takes much memory, and with their encoding.

        Raises
        ------
        StorageError
            If synced entries are damaged or missing. The files remain
            unchanged.
        """
        entries = []
        paths = self._segment_paths()
        synced_bytes = 0
        for path in paths:
            is_last = path == paths[-1]
            payloads, synced_bytes = _read_segment(path, is_last)
            segment = _Segment(path)
            for payload in payloads:
                entry = _decode_entry(path, payload)
                _merge_entry(entries, entry, payload, path)
                segment.highest_index = max(segment.highest_index, entry.index)
            self._segments.append(segment)
        if paths:
            self._open_segment(paths[-1], synced_bytes)
        else:
            self._begin_segment()
        return entries

    def append(self, items):
        """Append entries and sync them.

        Parameters
        ----------
        items : list of (int, bytes)
            Index and encoding of each entry.

        Raises
        ------
        OSError
            If writing or syncing failed. The content of the disk is then
            unknown, and the replica must stop.
        """
        if self._synced_bytes >= self._segment_bytes:
            self._begin_segment()
        segment = self._segments[-1]
        data = b"".join(
            make_frame(payload, self._synced_bytes) for _, payload in items
        )
        self._file.write(data)
        self._file.flush()
        sync_file(self._file.fileno())
        self._synced_bytes += len(data)
        segment.highest_index = max(
            segment.highest_index, max(index for index, _ in items)
        )

    def compact(self, index):
        """Remove the oldest segments that have no entry above an index.

        Parameters
        ----------
        index : int
            Last index that a synced snapshot covers.
        """
        # Starts a new segment at each snapshot, so that the next snapshot can
        # remove this one. A restart then reads the entries of at most two
        # snapshot intervals.
        if self._synced_bytes:
            self._begin_segment()
        removed = False
        while (
            len(self._segments) > 1
            and self._segments[0].highest_index <= index
        ):
            self._segments.pop(0).path.unlink()
            removed = True
        if removed:
            sync_folder(self._folder)

    def clear(self):
        """Remove all entries after a snapshot has replaced them."""
        for segment in self._segments:
            segment.highest_index = 0
        self._begin_segment()
        self.compact(0)

    def discard_unsynced(self):
        """Close the files and remove data that was not synced.

        Raises
        ------
        OSError
            If the disk still rejects writes; to be called again later.
        """
        # Closing may write buffered data; the truncation below removes it.
        with contextlib.suppress(OSError):
            self.close()
        self._file = None
        if self._segments and self._synced_bytes is not None:
            with contextlib.suppress(FileNotFoundError):
                os.truncate(self._segments[-1].path, self._synced_bytes)

    def close(self):
        """Close the last segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _segment_paths(self):
        return sorted(self._folder.glob(f"{_PREFIX}*"))

    def _begin_segment(self):
        self.close()
        number = 1
        if self._segments:
            name = self._segments[-1].path.name
            number = int(name.removeprefix(_PREFIX)) + 1
        path = self._folder / f"{_PREFIX}{number:012d}"
        self._synced_bytes = 0
        self._segments.append(_Segment(path))
        self._open_segment(path, 0)
        sync_folder(self._folder)

    def _open_segment(self, path, synced_bytes):
        # Before anything may fail: `discard_unsynced` truncates to this.
        self._synced_bytes = synced_bytes
        self._file = open(path, "ab")  # noqa: SIM115 - kept open
        if os.path.getsize(path) > synced_bytes:
            self._file.truncate(synced_bytes)
        sync_file(self._file.fileno())


def _read_segment(path, is_last):
    """Return the payloads of a segment and the length of its valid data."""
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
    """Raise unless the data after an offset is an interrupted write."""
    if not is_last:
        raise StorageError(f"{path}: damaged at byte {offset}")
    position = offset
    while (frame := find_frame(data, position)) is not None:
        # This frame was written after the data at the offset was synced.
        if frame.synced_bytes > offset:
            raise StorageError(
                f"{path}: damaged at byte {offset}, although synced entries "
                "follow"
            )
        position = frame.end


def _decode_entry(path, payload):
    try:
        return decode(LogEntry, payload, omit=("change",))
    except ValueError as error:
        raise StorageError(f"{path}: {error}") from error


def _merge_entry(entries, entry, payload, path):
    if entries:
        last = entries[-1][0].index
        if entry.index > last + 1:
            raise StorageError(
                f"{path}: entry {entry.index} follows {last}; entries "
                "between them are missing"
            )
        keep = max(0, entry.index - entries[0][0].index)
        del entries[keep:]
    entries.append((entry, payload))
