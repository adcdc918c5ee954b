"""Opens listeners on addresses that may not be available yet.

When a machine boots its network may come up later than the process starts, and
the process before it may not have ended yet.
"""

import errno

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs

_log = logs.PartLog("ports")

# After this time the process ends, to be started again by the platform.
PATIENCE_MS = 3_000
RETRY_MS = 100
PASSING_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


async def open_when_available(open_listener, now):
    """Return what ``open_listener()`` returns, waiting for its address.

    :raises SettingsError: the address can't be listened on.
    """
    end = now() + PATIENCE_MS
    is_logged = False
    while True:
        try:
            return await open_listener()
        except errors.SettingsError as exc:
            if not _may_pass(exc) or now() >= end:
                raise
            if not is_logged:
                _log.warning("address not available yet", why=exc.message)
            is_logged = True
        await anyio.sleep(clock.seconds(RETRY_MS))


def _may_pass(error):
    return getattr(error.__cause__, "errno", None) in PASSING_ERRORS
