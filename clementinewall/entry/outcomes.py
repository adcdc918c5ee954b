"""Counts of model requests received and of those answered within targets.

The planner reads them: only an entry knows what it refused and how late its
answers were.  Counts only grow, so that a planner that misses one poll loses
nothing.
"""

import typing


class OutcomeCounts(typing.NamedTuple):
    """Requests of one model since this process started."""

    offered: int = 0
    good: int = 0


class Outcomes:
    """The counts by model; bounded by the published models."""

    def __init__(self):
        """Start with no counts."""
        self.by_model = {}

    def add(self, model, is_good):
        """Count one completed or failed request."""
        known = self.by_model.get(model, OutcomeCounts())
        self.by_model[model] = OutcomeCounts(
            known.offered + 1, known.good + bool(is_good)
        )
