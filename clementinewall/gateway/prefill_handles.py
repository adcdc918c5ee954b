"""Frees the handles of prefills on separate engines."""

import anyio

from clementinewall import clock
from clementinewall.gateway import sending
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall.platform import calls

_log = logs.PartLog("stream")

FREE_TIMEOUT_MS = 1_000
# A handle that is not freed for longer expires by itself.
MAX_FREE_DELAY_MS = 5_000


async def free(prefill_engine, prefilled):
    """Free the handle of a prefill whose result nobody will fetch."""
    request = calls.free_request(prefilled.handle)
    rest_ms = prefill_engine.rest_ms
    if rest_ms > MAX_FREE_DELAY_MS:
        _log.info(
            "prefill handle not freed; the engine asked for rest",
            engine=prefill_engine.endpoint.id,
            rest_ms=round(rest_ms),
        )
        return
    await anyio.sleep(clock.seconds(rest_ms))
    with anyio.move_on_after(clock.seconds(FREE_TIMEOUT_MS)):
        try:
            await prefill_engine.send_request(
                request, sending.MAX_ANSWER_BYTES
            )
        except client.LinkBroken as exc:
            _log.info(
                "prefill handle not freed; the engine did not answer",
                why=exc.why,
            )
