"""The speeds of the engines, as this gateway and those of its cell see them.

Only engines whose service has engines that report a pace are tracked.  All
others are predicted with the scale of their service alone.
"""

import random
import typing

from clementinewall.policy import engine_speed
from clementinewall.policy import engine_time

# How often the long-term times of all engines are sent.  Between, only paces
# are that were received since the message before.
REPEAT_INTERVAL_MS = 500
# Engines in one message.
MAX_ROWS = 64
# A transfer that may take longer says too little about the decode engine,
# since the time assumed for it is that between data centres.
MAX_TRANSFER_MS = 4.0


class SpeedRow(typing.NamedTuple):
    """What one gateway tells others of the speed of an engine.

    ``estimate`` or ``pace`` is ``None`` where it is left out.
    """

    endpoint_id: str
    incarnation: int
    estimate: engine_speed.Estimate | None
    pace: engine_speed.Pace | None


class EngineSpeeds:
    """The speeds of engines, by incarnation."""

    def __init__(self, now):
        """Begin with none."""
        self._now = now
        self._speed_by_key = {}
        self._sent_at = None
        self._unsent_keys = set()
        # Services of which some engine has told its pace.  Not all answers
        # tell it: those to prefills that run apart may not.
        self._reporting_services = set()

    def is_reporting(self, service):
        """Return whether engines of a service tell their pace."""
        return service in self._reporting_services

    def of_reporting(self, states):
        """Return the speeds by endpoint id, if any of ``states`` tells a pace.

        The result is empty otherwise.  ``states`` are engines of one service.
        """
        speeds = {}
        for state in states:
            self._take_own_pace(state)
            speed = self._speed_by_key.get(state.endpoint.incarnation_key)
            if speed is not None:
                speeds[state.endpoint.id] = speed
        services = {state.endpoint.service for state in states}
        return speeds if services & self._reporting_services else {}

    def _take_own_pace(self, state):
        load = state.load
        if load is None or load.pace is None:
            return None
        self._reporting_services.add(state.endpoint.service)
        speed = self._speed(state.endpoint.incarnation_key)
        latest = speed.latest
        if latest is None or latest.at < state.load_at:
            speed.record_pace(load.pace, state.load_at)
            self._unsent_keys.add(state.endpoint.incarnation_key)
        return speed

    def _speed(self, key):
        speed = self._speed_by_key.get(key)
        if speed is None:
            speed = self._speed_by_key[key] = engine_speed.EngineSpeed()
        return speed

    def record_prefill(
        self, plan, took_ms, answer_ms=engine_time.FIRST_EVENT_MS
    ):
        """Record the time from sending a prefill to its answer.

        ``answer_ms`` is what the answer takes after the end of the prefill.
        """
        if plan.measures_prefill_speed:
            self._record(
                plan.prefill_engine,
                took_ms - engine_time.HOP_MS,
                answer_ms + plan.option.prompt_ms,
                plan.prefill_scale,
            )

    def record_first_event(self, plan, took_ms):
        """Record the time from sending a request to its first event."""
        option = plan.option
        if plan.source is not None or option.decode_wait_ms:
            return
        expected_ms = engine_time.FIRST_EVENT_MS
        if plan.prefill_engine is None:
            expected_ms += option.prompt_ms
        elif option.transfer_ms > MAX_TRANSFER_MS:
            return
        else:
            took_ms -= option.transfer_ms / 2
        self._record(
            plan.decode_engine,
            took_ms - engine_time.HOP_MS,
            expected_ms,
            plan.prefill_scale,
        )

    def _record(self, state, seen_ms, expected_ms, scale):
        """Record a time; ``expected_ms`` is for an engine of usual speed."""
        self._take_own_pace(state)
        if self.is_reporting(state.endpoint.service):
            speed = self._speed(state.endpoint.incarnation_key)
            speed.record(seen_ms, expected_ms / scale, self._now())

    def rows_to_send(self):
        """Return the :class:`SpeedRow` of the next state message.

        Of too many engines, each message has others.
        """
        if not self._speed_by_key:
            return ()
        now = self._now()
        is_due = (
            self._sent_at is None or now - self._sent_at >= REPEAT_INTERVAL_MS
        )
        keys = list(self._unsent_keys)
        if is_due:
            self._sent_at = now
            others = list(self._speed_by_key.keys() - self._unsent_keys)
            random.shuffle(others)
            keys += others
        rows = [self._row(key, is_due, now) for key in keys[:MAX_ROWS]]
        self._unsent_keys.difference_update(keys[:MAX_ROWS])
        return tuple(row for row in rows if row.estimate or row.pace)

    def _row(self, key, is_due, now):
        speed = self._speed_by_key[key]
        pace = speed.latest if key in self._unsent_keys else None
        if pace and now - pace.at >= engine_speed.PACE_LIFETIME_MS:
            pace = None
        estimate = speed.estimate if is_due else None
        if estimate and not estimate.weight:
            estimate = None
        return SpeedRow(key[0], key[1], estimate, pace)

    def take(self, ip, rows, find):
        """Apply what the gateway at ``ip`` sent.

        ``find`` returns the state of an engine by its id, or ``None``.
        """
        now = self._now()
        for row in rows[:MAX_ROWS]:
            state = find(row.endpoint_id)
            if state is None or state.endpoint.incarnation != row.incarnation:
                continue
            speed = self._speed(state.endpoint.incarnation_key)
            if row.estimate is not None:
                speed.record_peer(ip, row.estimate, now)
            if row.pace is not None:
                self._reporting_services.add(state.endpoint.service)
                speed.record_pace(*row.pace)

    def keep(self, keys):
        """Forget the engines whose incarnations aren't in ``keys``."""
        for key in self._speed_by_key.keys() - keys:
            del self._speed_by_key[key]
            self._unsent_keys.discard(key)
