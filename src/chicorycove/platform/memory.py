"""Settings of the C library's memory allocator."""

import ctypes

M_MMAP_THRESHOLD = -3  # of glibc's mallopt
# Bytes from which a buffer has pages of its own, which are returned once it
# is freed. By default glibc raises this threshold up to the largest buffer
# that was freed, and later ones leave holes in the heap. Reads of 256 KiB stay
# below the threshold, as each would need two system calls.
MMAP_THRESHOLD = 524_288


def return_freed_buffers() -> bool:
    """Have large buffers returned to the system; return whether it is set."""
    try:
        return bool(ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD))
    except (AttributeError, OSError):
        return False  # another C library than glibc
