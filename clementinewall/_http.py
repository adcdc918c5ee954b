"""The HTTP clients of all parts, made in one way.

All traffic goes to IP numbers inside the deployment, so there is no proxy
to look up and no certificate to check; loading the system's certificates for
each client would cost time and memory.
"""

import httpx

from clementinewall import clock

POOL_LIMIT = 2_000


def client(timeout_ms, connect_ms=None, keeps_connections=True):
    """Return a client.

    ``timeout_ms`` bounds each step of an exchange, ``None`` leaves that to
    the caller; ``connect_ms`` bounds connecting where it is different.
    Without kept connections each call opens its own: on a kept one that
    the peer closes at the same moment, a call fails with nothing known of
    whether it ran.
    """
    timeout = None if timeout_ms is None else clock.seconds(timeout_ms)
    connect = timeout if connect_ms is None else clock.seconds(connect_ms)
    limits = httpx.Limits(
        max_connections=POOL_LIMIT,
        max_keepalive_connections=POOL_LIMIT if keeps_connections else 0,
    )
    return httpx.AsyncClient(
        timeout=httpx.Timeout(timeout, connect=connect),
        limits=limits,
        verify=False,
        trust_env=False,
    )
