"""Counts of model work offered to this entry and answered in target.

The planner reads them: only an entry knows what it refused and how late its
answers were.  Counts only grow, so that a reader that misses a reading
loses nothing.
"""

import typing


class OutcomeCounts(typing.NamedTuple):
    """The counts of one model since this process started."""

    offered: int = 0
    good: int = 0


class Outcomes:
    """The counts by model; bounded by the published models."""

    def __init__(self):
        """Start with nothing counted."""
        self.by_model = {}

    def add(self, model, is_good):
        """Count one request that ended."""
        known = self.by_model.get(model, OutcomeCounts())
        self.by_model[model] = OutcomeCounts(
            known.offered + 1, known.good + bool(is_good)
        )
