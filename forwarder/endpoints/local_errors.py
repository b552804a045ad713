"""Socket errors caused by this machine."""

from __future__ import annotations

import errno

LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EPERM,
        errno.EACCES,
        errno.EAFNOSUPPORT,
        errno.EINTR,
    }
)
"""Errors of socket(2) and connect(2) that are not caused by the peer."""
