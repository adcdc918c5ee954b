"""Cooldowns: spans in which an engine gets no order, with their causes."""

import enum
import typing

from clementinewall import clock


class Cause(enum.Enum):
    """Why an engine is in a cooldown."""

    # The engine accepted or refused an order, or is executing another one.
    SETTLING = "settling"
    # It is unknown whether an order arrived; it may be executed late.
    UNANSWERED = "unanswered"
    # No order was sent, since the engine couldn't be reached.
    UNREACHABLE = "unreachable"


class Cooldown(typing.NamedTuple):
    """A span, up to ``until``, in which an engine gets no order.

    ``stage`` is the one that the engine changes to, if it accepted an order.
    """

    cause: Cause
    until: clock.Millis
    stage: str | None = None


class Cooldowns:
    """The cooldowns of one gateway, by engine id."""

    def __init__(self, now):
        """Start without cooldowns; ``now`` returns the time in ms."""
        self._now = now
        self._cooldown_by_id = {}

    def start(self, engine_id, cause, ms, stage=None):
        """Send an engine no order for ``ms``, which replaces its cooldown."""
        self._cooldown_by_id[engine_id] = Cooldown(
            cause, self._now() + ms, stage
        )

    def active(self, engine_id):
        """Return the current :class:`Cooldown` of an engine, or ``None``."""
        cooldown = self._cooldown_by_id.get(engine_id)
        if cooldown is not None and cooldown.until <= self._now():
            del self._cooldown_by_id[engine_id]
            return None
        return cooldown

    def remaining_ms(self, engine_id):
        """Return the ms until an engine's cooldown ends, or 0."""
        cooldown = self.active(engine_id)
        return 0 if cooldown is None else cooldown.until - self._now()

    @property
    def has_pending_order(self):
        """Return whether any order may still take effect."""
        cooldowns = [self.active(name) for name in list(self._cooldown_by_id)]
        return any(
            cooldown is not None and cooldown.cause is not Cause.UNREACHABLE
            for cooldown in cooldowns
        )
