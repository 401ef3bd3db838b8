"""Clock of all leases, deadlines and ages."""

import time

__all__ = ["monotonic"]


def monotonic():
    """Return a monotonic time in seconds that includes suspended time.

    Unlike :func:`time.monotonic`, it continues while the machine is
    suspended, so that leases end during that time as they do for the other
    VMs.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
