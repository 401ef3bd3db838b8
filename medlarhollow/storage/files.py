"""Atomic replacement of files, and syncing of files and folders."""

import contextlib
import os
import pathlib

from .frames import make_frame
from .frames import read_frame
from .frames import StorageError

__all__ = ["read_framed", "replace_framed", "sync_file", "sync_folder"]


def sync_file(descriptor):
    """Sync the content of a file to the disk.

    Raises
    ------
    OSError
        If the disk rejected it. The content on the disk is then unknown,
        even after a later sync that succeeds.
    """
    os.fsync(descriptor)


def sync_folder(folder):
    """Sync the file names in a folder to the disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        sync_file(descriptor)
    finally:
        os.close(descriptor)


def replace_framed(path, payload):
    """Replace the content of a file atomically by one frame, and sync it.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    payload : bytes
        The new content.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(make_frame(payload))
        file.flush()
        sync_file(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_framed(path):
    """Read a file written by `replace_framed`.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    bytes or None
        Its payload; None if the file does not exist.

    Raises
    ------
    StorageError
        If the content is not exactly one valid frame.
    """
    data = None
    with contextlib.suppress(FileNotFoundError):
        data = pathlib.Path(path).read_bytes()
    if data is None:
        return None
    frame = read_frame(data, 0)
    if frame is None or frame.end != len(data):
        raise StorageError(f"{path}: checksum does not match the content")
    return frame.payload
