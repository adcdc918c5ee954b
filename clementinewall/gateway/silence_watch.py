"""Waits for an endpoint that may fall silent for a while and then go on."""

from clementinewall import logs
from clementinewall.policy import silence

_log = logs.PartLog("send")

# How often a silent endpoint that nothing can replace is checked again.
RECHECK_INTERVAL_MS = 200


class SilenceWatch:
    """Leaves a silent endpoint only if another one can take over then."""

    def __init__(self, call, state, timeout_ms, can_replace, now):
        """Watch the answer of ``state`` to ``call``.

        ``can_replace(silent_ms)`` tells whether a further send is possible;
        it is asked when nothing was received for ``timeout_ms``.
        """
        self.timeout_ms = timeout_ms
        self._call = call
        self._state = state
        self._can_replace = can_replace
        self._now = now

    async def wait(self, receive):
        """Return the result of ``receive(limit_ms)``.

        :raises TimeoutError: the endpoint is silent and can be replaced.
        """
        started = self._now()
        limit_ms = self.timeout_ms
        is_recorded = False
        while True:
            try:
                return await receive(limit_ms)
            except TimeoutError as exc:
                silent_ms = self._now() - started
                if self._can_replace(silent_ms):
                    raise TimeoutError(
                        f"silent for {silent_ms:.0f} ms"
                    ) from exc
                if not is_recorded and silent_ms >= silence.SOUND_SILENCE_MS:
                    is_recorded = True
                    self._record_failure(silent_ms)
                limit_ms = RECHECK_INTERVAL_MS

    def _record_failure(self, silent_ms):
        self._state.health.record_failure(self._now())
        _log.info(
            "endpoint is silent and cannot be replaced; waiting on",
            request=self._call.attempt,
            endpoint=self._state.endpoint.id,
            silent_ms=round(silent_ms),
        )
