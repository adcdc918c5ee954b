"""The end of this gateway, and what it may still take before it."""

import collections

from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.policy import drain

_log = logs.PartLog("drain")

# Routes come and go with each configuration; those used last are remembered.
ROUTES = 256


class Drain:
    """Knows when the process ends; takes no work that lasts longer."""

    def __init__(self, now):
        """Begin without an end."""
        self._now = now
        self._durations_by_route = collections.OrderedDict()
        self._began = None
        self._end = None

    @property
    def is_on(self):
        """Tell whether the process has been asked to stop."""
        return self._end is not None

    @property
    def left_ms(self):
        """Return the time until requests are cut, ``None`` without an end."""
        if self._end is None:
            return None
        return self._end - self._now()

    def begin(self, end):
        """Finish all requests by ``end``."""
        self._began = self._now()
        self._end = end

    def after_ms(self, instant):
        """Return how long after the begin of the drain an instant was."""
        return instant - self._began

    def note(self, exchange):
        """Learn how long a request took, whether it was answered or not."""
        name = exchange.route.name
        durations = self._durations_by_route.get(name)
        if durations is None:
            durations = self._durations_by_route[name] = drain.Durations()
        self._durations_by_route.move_to_end(name)
        if len(self._durations_by_route) > ROUTES:
            self._durations_by_route.popitem(last=False)
        durations.note(exchange.waited_ms)

    def check_call(self, exchange):
        """Refuse a call to a plain service that the end would cut off.

        :raises Leaving: it can't be finished here.
        """
        self._check(exchange, drain.call_ms(exchange.route.goal_ms))

    def check_stream(self, exchange, first_ms):
        """Refuse a stream, of which nothing was sent yet, in the same way.

        :raises Leaving: it can't be finished here.
        """
        prompt = exchange.call.prompt
        stream = drain.Stream(
            first_ms,
            prompt.tokens_out if prompt else 0,
            exchange.service.engine.slots,
        )
        self._check(exchange, drain.stream_ms(stream))

    def _check(self, exchange, predicted_ms):
        if not self.is_on:
            return
        left_ms = self.left_ms
        usual_ms = self._usual_ms(exchange)
        needed_ms = drain.needed_ms(exchange.left_ms, predicted_ms, usual_ms)
        if needed_ms <= left_ms:
            return
        metrics.count("refused_leaving", route=exchange.route.name)
        _log.info(
            "refused",
            request=exchange.call.attempt,
            route=exchange.route.name,
            needed_ms=round(needed_ms),
            predicted_ms=round(predicted_ms),
            usual_ms=usual_ms,
            left_ms=round(left_ms),
        )
        # Other instances can serve it at once.
        raise errors.Leaving("this instance is stopping", retry_after_ms=0)

    def _usual_ms(self, exchange):
        durations = self._durations_by_route.get(exchange.route.name)
        return durations.usual_ms() if durations else None
