"""Engines that are left alone for a while after an order, and why."""

import enum
import typing

from clementinewall import clock


class Cause(enum.Enum):
    """Why an engine is left alone."""

    # The engine accepted or refused an order, or carries out another one.
    SETTLING = "settling"
    # Whether an order arrived isn't known; it may be carried out late.
    UNANSWERED = "unanswered"
    # Nothing was ordered, since the engine couldn't be asked.
    UNREACHABLE = "unreachable"


class Cooldown(typing.NamedTuple):
    """That an engine gets no order until ``until``.

    ``stage`` is the one that it changes to, if it accepted an order.
    """

    cause: Cause
    until: clock.Millis
    stage: str | None = None


class Cooldowns:
    """The engines that one gateway leaves alone, by id."""

    def __init__(self, now):
        """Begin with none; ``now`` returns the time in ms."""
        self._now = now
        self._cooldown_by_id = {}

    def start(self, engine_id, cause, ms, stage=None):
        """Leave an engine alone for ``ms``."""
        self._cooldown_by_id[engine_id] = Cooldown(
            cause, self._now() + ms, stage
        )

    def active(self, engine_id):
        """Return why an engine is left alone now, or ``None``."""
        cooldown = self._cooldown_by_id.get(engine_id)
        if cooldown is not None and cooldown.until <= self._now():
            del self._cooldown_by_id[engine_id]
            return None
        return cooldown

    def remaining_ms(self, engine_id):
        """Return for how long an engine is still left alone."""
        cooldown = self.active(engine_id)
        return 0 if cooldown is None else cooldown.until - self._now()

    @property
    def has_pending_order(self):
        """Tell whether any order may still have its effect."""
        cooldowns = [self.active(name) for name in list(self._cooldown_by_id)]
        return any(
            cooldown is not None and cooldown.cause is not Cause.UNREACHABLE
            for cooldown in cooldowns
        )
