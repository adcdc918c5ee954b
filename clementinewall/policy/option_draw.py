"""A weighted random choice among options that are nearly the best."""

# Options are drawn whose cost exceeds the lowest by less than the larger of
# these.
MARGIN_MS = 6.0
MARGIN_FRACTION = 0.08


def drawn(options, cost, draw):
    """Draw an option whose cost is near the lowest, likelier the lower it is.

    ``draw`` is a function like :func:`random.choices`.
    """
    costs = [cost(option) for option in options]
    lowest = min(costs)
    margin = max(MARGIN_MS, MARGIN_FRACTION * lowest)
    weights = [max(0.0, 1 - (each - lowest) / margin) for each in costs]
    return draw(options, weights)[0]
