"""The speeds of engines in the state message of a gateway.

Each row has the engine's id and incarnation, the logarithm of its long-term
time with its weight, and its pace with the figure's age; either of the last
two pairs may be ``null``.
"""

from clementinewall import domain
from clementinewall.gateway import engine_speeds
from clementinewall.policy import engine_speed

# Larger paces are refused.
MAX_PACE = 1_000.0


def encode(rows, now):
    """Return :class:`engine_speeds.SpeedRow` as plain data."""
    return [
        [
            row.endpoint_id,
            row.incarnation,
            row.estimate and [round(number, 2) for number in row.estimate],
            row.pace and [row.pace.pace, max(0, now - row.pace.at)],
        ]
        for row in rows
    ]


def decode(rows, now):
    """Return the rows in a message.

    :raises TypeError, ValueError: if malformed.
    """
    if len(rows) > engine_speeds.MAX_ROWS:
        raise ValueError(f"{len(rows)} speeds of engines")
    return tuple(_row(row, now) for row in rows)


def _row(row, now):
    name, incarnation, estimate, pace = row
    if type(name) is not str or len(name) > domain.MAX_TEXT:
        raise ValueError(f"speed of {name!r}")
    if estimate is not None:
        log_time, weight = estimate
        if not abs(log_time) <= engine_speed.MAX_LOG_TIME + 0.01:
            raise ValueError(f"long-term time of {name}: {log_time}")
        if not 0 <= weight <= engine_speed.MAX_WEIGHT:
            raise ValueError(f"weight of {name}: {weight}")
        estimate = engine_speed.Estimate(log_time, weight)
    if pace is not None:
        value, age = pace
        if not 0 < value <= MAX_PACE or not age >= 0:
            raise ValueError(f"pace of {name}: {pace}")
        pace = engine_speed.Pace(value, now - age)
    return engine_speeds.SpeedRow(name, incarnation, estimate, pace)
