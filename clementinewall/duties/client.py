"""Calls to the platform's duty service, under the lease of the duties."""

import anyio

from clementinewall import clock
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import duty_calls

_log = logs.PartLog("duty")

ANSWER_TIMEOUT_MS = 1_500
CONNECT_TIMEOUT_MS = 1_000
MAX_ANSWER_BYTES = 65_536
# Other programs may call the service too.
RATE_FRACTION = 0.1


class DutyClient:
    """Sends calls one after the other, each while the lease is held."""

    def __init__(self, settings, holder, ticker):
        """Call the duty service of the settings as ``holder`` allows."""
        service = settings.duty_service
        self._name = settings.instance
        self._address = service.address
        self._holder = holder
        self._clock = ticker
        self._pool = client.Pool(
            client.DirectPath(service.address, CONNECT_TIMEOUT_MS), ticker.now
        )
        self._gap_ms = 1_000 / max(
            1.0, service.max_calls_per_second * RATE_FRACTION
        )
        self._free_at = 0
        self._lock = anyio.Lock()

    async def send(self, call):
        """Send a call; return its :class:`duty_calls.Outcome`.

        A call without an answer may have been carried out.
        """
        async with self._lock:
            await anyio.sleep(
                clock.seconds(max(0, self._free_at - self._clock.now()))
            )
            if not await self._holder.ensure():
                return duty_calls.Outcome.NOT_HELD
            self._free_at = self._clock.now() + self._gap_ms
            found = await self._send(call)
        metrics.count("duty_calls", path=call.path, outcome=found.value)
        return found

    async def _send(self, call):
        is_sent = False
        try:
            with anyio.fail_after(clock.seconds(ANSWER_TIMEOUT_MS)):
                # A connection of its own discards what is unsent when it is
                # closed, so an abandoned call can't arrive later.
                link = await self._pool.connect_directly()
                # Connecting took time, and the machine may have been
                # suspended.
                if not self._holder.is_held():
                    self._pool.discard(link)
                    return duty_calls.Outcome.NOT_HELD
                is_sent = True
                self._holder.record_call()
                head, _body = await self._pool.exchange(
                    link,
                    duty_calls.request(
                        call, self._address, self._name, self._holder.token
                    ),
                    MAX_ANSWER_BYTES,
                    fresh=True,
                )
        except (client.LinkBroken, TimeoutError) as exc:
            _log.warning(
                "duty call not answered",
                path=call.path,
                may_be_done=is_sent,
                why=getattr(exc, "why", None) or repr(exc),
            )
            return duty_calls.Outcome.LOST
        finally:
            if is_sent:
                # A process that was paused may have sent it much later.
                self._holder.record_call()
        return duty_calls.outcome(head.status)
