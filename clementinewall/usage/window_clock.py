"""Windows of the time of day, guarded against jumps of that clock."""

from clementinewall import clock

# A smaller step of the time of day is a correction and is followed at once.
MAX_CORRECTION_MS = 400
# A jump that lasts is the true time; most are taken back before.
JUMP_LASTING_MS = 30_000


class WindowClock:
    """Tells which window it is.

    Window ``k`` begins ``k`` window lengths after the start of 1970.
    """

    def __init__(self, ticker, window_ms):
        """Use a :class:`clock.Clock` and windows of ``window_ms``."""
        self._clock = ticker
        self._window_ms = window_ms
        self._offset = ticker.time_of_day() - ticker.now_with_suspend()
        self._jumped_at = None
        self._jump_offset = None

    def now(self) -> clock.Millis:
        """Return the ms since 1970, without jumps that don't last."""
        steady = self._clock.now_with_suspend()
        offset = self._clock.time_of_day() - steady
        if abs(offset - self._offset) <= MAX_CORRECTION_MS:
            self._offset = offset
            self._jumped_at = None
        elif (
            self._jumped_at is None
            or abs(offset - self._jump_offset) > MAX_CORRECTION_MS
        ):
            # Each jump has to last by itself.
            self._jumped_at = steady
            self._jump_offset = offset
        elif steady - self._jumped_at >= JUMP_LASTING_MS:
            self._offset = offset
            self._jumped_at = None
        return steady + self._offset

    def window(self, ago_ms=0):
        """Return the number of the current window, or of one before."""
        return (self.now() - ago_ms) // self._window_ms

    def since_end_ms(self, window):
        """Return how long ago a window ended, negative before its end."""
        return self.now() - (window + 1) * self._window_ms
