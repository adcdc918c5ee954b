"""Construction of the HTTP clients that all programs use.

All traffic goes to IP addresses inside the deployment, so clients use no
proxy and verify no certificate; loading the system's certificates for each
client would cost time and memory.
"""

import httpx

from clementinewall import clock

MAX_CONNECTIONS = 2_000


def client(timeout_ms, connect_ms=None, keeps_connections=True):
    """Return a client.

    ``timeout_ms`` bounds each step of an exchange (``None``: no bound);
    ``connect_ms`` bounds connecting, ``timeout_ms`` by default.  Without
    keep-alive each call opens a connection: if the peer closes an idle
    connection just as a call is sent on it, the call fails and it is
    unknown whether it ran.
    """
    timeout = None if timeout_ms is None else clock.seconds(timeout_ms)
    connect = timeout if connect_ms is None else clock.seconds(connect_ms)
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS if keeps_connections else 0,
    )
    return httpx.AsyncClient(
        timeout=httpx.Timeout(timeout, connect=connect),
        limits=limits,
        verify=False,
        trust_env=False,
    )
