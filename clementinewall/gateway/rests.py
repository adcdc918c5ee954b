"""Engines that are left alone for a while after an order, and why."""

import enum
import typing

from clementinewall import clock


class Kind(enum.Enum):
    """Why an engine is left alone."""

    # The engine accepted or refused an order, or carries out another one.
    SETTLING = "settling"
    # Whether an order arrived isn't known; it may be carried out late.
    UNANSWERED = "unanswered"
    # Nothing was ordered, since the engine couldn't be asked.
    UNREACHABLE = "unreachable"


class Rest(typing.NamedTuple):
    """That an engine gets no order until ``until``.

    ``stage`` is the one that it changes to, if it accepted an order.
    """

    kind: Kind
    until: clock.Millis
    stage: str | None = None


class Rests:
    """The engines that one gateway leaves alone, by id."""

    def __init__(self, now):
        """Begin with none; ``now`` returns the time in ms."""
        self._now = now
        self._rest_by_id = {}

    def begin(self, engine_id, kind, ms, stage=None):
        """Leave an engine alone for ``ms``."""
        self._rest_by_id[engine_id] = Rest(kind, self._now() + ms, stage)

    def find(self, engine_id):
        """Return why an engine is left alone now, or ``None``."""
        rest = self._rest_by_id.get(engine_id)
        if rest is not None and rest.until <= self._now():
            del self._rest_by_id[engine_id]
            return None
        return rest

    def left_ms(self, engine_id):
        """Return for how long an engine is still left alone."""
        rest = self.find(engine_id)
        return 0 if rest is None else rest.until - self._now()

    @property
    def has_order(self):
        """Tell whether any order may still have its effect."""
        rests = [self.find(name) for name in list(self._rest_by_id)]
        return any(
            rest is not None and rest.kind is not Kind.UNREACHABLE
            for rest in rests
        )
