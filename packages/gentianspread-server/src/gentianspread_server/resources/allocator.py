"""Makes the C library return the memory of long messages to the system once they are dropped."""

from __future__ import annotations

import ctypes
import logging

log = logging.getLogger(__name__)

M_MMAP_THRESHOLD = -3  # of `mallopt`
SEPARATE_BYTES = 32 * 1024


def return_long_blocks() -> None:
    """Fix the size from which blocks are mapped separately.

    By default it rises to the size of the longest block that was freed. Messages of 1 MB then lie
    among short objects, and what peers made the process hold stays resident after it was dropped.
    """
    try:
        is_set = ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, SEPARATE_BYTES)
    except (OSError, AttributeError) as error:
        log.info("the C library has no mallopt: %s", error)
        return
    if not is_set:
        log.warning("the C library refused the size of separate blocks")
