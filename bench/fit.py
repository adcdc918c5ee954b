"""A straight line through measured points, with its residual."""

import typing


class Fit(typing.NamedTuple):
    """``base + slope * size``; the residual is the largest deviation.

    ``residual`` is a fraction of the largest measured value.
    """

    base: float
    slope: float
    residual: float

    def at(self, size):
        """Return the line's value at ``size``."""
        return self.base + self.slope * size


def line(points):
    """Return the least-squares line through ``(size, value)`` points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
        if spread
        else 0.0
    )
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * x - y) for x, y in points)
    top = max(abs(y) for _, y in points) or 1.0
    return Fit(base, slope, worst / top)
