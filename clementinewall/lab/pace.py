"""The speed of a simulated engine, for good and at the moment."""

from clementinewall import domain


class EnginePace:
    """How long the work of one engine takes, against the deployment file."""

    def __init__(self, row, relative_time, rng, loop):
        """Start at the usual pace.

        :param row: the :class:`deployment.Pace`.
        :param relative_time: the time of its work for good.
        """
        self._row = row
        self._relative_time = relative_time
        self._rng = rng
        self._loop = loop
        self._pace = 1.0
        self._slow_until = 0.0

    @property
    def factor(self):
        """Return how long work takes now."""
        return self._relative_time * self._pace

    def load(self, running, slots):
        """Return the load figures of an answer, ``None`` without a pace."""
        if not self._row.is_reported:
            return None
        pace = self._pace
        if self._row.has_relative_time:
            pace = self.factor
        return domain.EndpointLoad(running, 0, slots, round(pace, 2))

    def start(self, before_change, after_change):
        """Call the functions around each change, from now on."""
        if self._row.spread or self._row.slow_part:
            wait_ms = self._rng.uniform(0, self._row.every_ms)
            self._loop.after(
                wait_ms, self._change, before_change, after_change
            )

    def _change(self, before_change, after_change):
        before_change()
        row = self._row
        now = self._loop.now
        self._pace = self._rng.lognormvariate(0, row.spread)
        # The mean time between two spells follows from their share of time.
        if now >= self._slow_until and row.slow_part:
            between_ms = row.slow_ms * (1 / row.slow_part - 1)
            if self._rng.random() < row.every_ms / between_ms:
                self._slow_until = now + row.slow_ms
        if now < self._slow_until:
            self._pace *= row.slow_factor
        after_change()
        self._loop.after(
            row.every_ms, self._change, before_change, after_change
        )
