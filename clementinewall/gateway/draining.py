"""Decides which requests a stopping gateway can still finish."""

import collections

from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.policy import drain
from clementinewall import verdicts

_log = logs.PartLog("drain")

# The least recently used routes are dropped: configurations add and remove
# routes, which would let the table grow without bound.
MAX_ROUTES = 256


class Drain:
    """Refuses requests that would outlast the process once it drains."""

    def __init__(self, ticker):
        """Start in normal operation."""
        # The platform's time limit for a stop also runs while the machine is
        # suspended.
        self._now = ticker.now_with_suspend
        self._ratios_by_route = collections.OrderedDict()
        self._began = None
        self._end = None

    @property
    def is_on(self):
        """Tell whether the process has been asked to stop."""
        return self._end is not None

    @property
    def left_ms(self):
        """Return the time until open requests are cut, ``None`` before."""
        if self._end is None:
            return None
        return self._end - self._now()

    def begin(self, left_ms):
        """Start the drain; requests still open after ``left_ms`` are cut."""
        self._began = self._now()
        self._end = self._began + left_ms

    def taken_after_ms(self, exchange):
        """Return how long after the start of the drain a request came."""
        return self._now() - self._began - exchange.waited_ms

    def record_call(self, exchange):
        """Record the duration of a call that was answered."""
        longest_ms = drain.longest_call_ms(exchange.route.goal_ms)
        self._ratios(exchange).record(exchange.waited_ms, longest_ms)

    def record_stream(self, exchange, first_ms):
        """Record the duration of a stream after its first event."""
        longest_ms = drain.longest_run_ms(
            _tokens_out(exchange), exchange.service.engine.slots
        )
        took_ms = exchange.waited_ms - first_ms
        self._ratios(exchange).record(took_ms, longest_ms)

    def check_call(self, exchange):
        """Refuse a call to a plain service that would outlast the process.

        :raises Leaving: it cannot be finished here.
        """
        if self.is_on:
            usual = self._ratios(exchange).quantile()
            goal_ms = exchange.route.goal_ms
            self._check(exchange, drain.call_ms(goal_ms, usual), usual)

    def check_stream(self, exchange, first_ms):
        """Refuse a stream that has not run and would outlast the process.

        ``first_ms`` is the predicted time to its first event.

        :raises Leaving: it cannot be finished here.
        """
        if not self.is_on or exchange.verdict is not verdicts.Verdict.NOT_RUN:
            return
        stream = drain.Stream(
            first_ms, _tokens_out(exchange), exchange.service.engine.slots
        )
        usual = self._ratios(exchange).quantile()
        self._check(exchange, drain.stream_ms(stream, usual), usual)

    def _ratios(self, exchange):
        name = exchange.route.name
        ratios = self._ratios_by_route.get(name)
        if ratios is None:
            ratios = self._ratios_by_route[name] = drain.DurationRatios()
        self._ratios_by_route.move_to_end(name)
        if len(self._ratios_by_route) > MAX_ROUTES:
            self._ratios_by_route.popitem(last=False)
        return ratios

    def _check(self, exchange, slow_ms, usual):
        request = drain.Request(
            slow_ms, exchange.caller_left_ms, self.taken_after_ms(exchange)
        )
        left_ms = self.left_ms
        is_accepted = drain.can_finish(
            request, left_ms, self._end - self._began
        )
        _log.info(
            "accepted" if is_accepted else "refused",
            request=exchange.call.attempt,
            route=exchange.route.name,
            needed_ms=round(min(slow_ms, request.caller_left_ms)),
            caller_left_ms=round(request.caller_left_ms),
            usual=usual and round(usual, 3),
            left_ms=round(left_ms),
        )
        if is_accepted:
            return
        metrics.count("refused_leaving", route=exchange.route.name)
        # Another instance can serve it at once.
        raise errors.Draining("this instance is stopping", retry_after_ms=0)


def _tokens_out(exchange):
    prompt = exchange.call.prompt
    return prompt.tokens_out if prompt else 0
