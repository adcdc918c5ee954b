"""Starts a gateway behind an egress stand-in.

Usage: ``python -m standins.gateway EGRESS SETTINGS [OPTIONS]``, with the
gateway's own options.  Connections to the store and to other gateways do not
pass the egress.
"""

import functools
import sys
import tomllib

import anyio

from clementinewall import clock
from clementinewall.gateway import main as gateway_main
from clementinewall.http1 import stream as streams
from standins import egress_answers


async def _connect(connect, egress_address, store, peer_port, address, ms):
    """Replace :func:`streams.connect`."""
    port = int(address.rpartition(":")[2])
    if address == store or port == peer_port:
        return await connect(address, ms)
    with anyio.fail_after(clock.seconds(ms)):
        stream = await connect(egress_address, ms)
        answer = None
        try:
            await stream.send(address.encode() + b"\n")
            answer = await stream.receive()
        except anyio.BrokenResourceError as exc:
            raise ConnectionResetError("the egress broke off") from exc
        finally:
            if answer != egress_answers.ACCEPTED:
                stream.abort()
    if answer != egress_answers.ACCEPTED:
        raise ConnectionRefusedError(f"refused by the egress: {address}")
    return stream


def _run():
    _, egress_address, path, *options = sys.argv
    with open(path, "rb") as file:
        settings = tomllib.load(file)
    streams.connect = functools.partial(
        _connect,
        streams.connect,
        egress_address,
        settings["platform"]["address"],
        settings["port_range"][0],
    )
    sys.argv[1:] = [f"--settings={path}", *options]
    gateway_main.main()


if __name__ == "__main__":
    _run()
