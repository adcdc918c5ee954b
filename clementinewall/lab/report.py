"""The credit that a run earned, and an upper bound for it."""

import collections
import json
import typing

from clementinewall.lab import engine_timing


# The credit of a request grows with the ratio of its prompt size to the mean
# of its class, linearly up to a maximum.
BASE_SIZE_FACTOR = 0.3
SIZE_FACTOR_PER_MEAN = 0.7
MAX_SIZE_FACTOR = 4.0
# The largest requests of each class are also reported separately: a policy
# that never serves them could still earn a high credit.
LARGEST_FRACTION = 0.1
WINDOW_MS = 2_000.0


class ClassRow(typing.NamedTuple):
    """The result of one class.

    ``asked`` counts its requests; ``in_time``, ``late`` and ``unserved`` are
    fractions of them.  ``credit`` is the credit earned as a fraction of the
    full credit, ``largest`` the same of the largest requests.
    """

    asked: int
    in_time: float
    late: float
    unserved: float
    credit: float
    largest: float


class Summary(typing.NamedTuple):
    """The result of one run; credits are fractions of the full credit.

    The full credit is earned if every request is served in time.  ``worst``
    is the credit of the worst window of 2 s, ``bound`` the credit that no
    policy can exceed, ``read_again`` the fraction of the prefilled tokens
    that another engine had cached, ``busy`` the fraction of the engines'
    time spent on prefill, ``error`` the median and the 90th percentile of
    the absolute error of the predicted time to the first event, in ms.
    """

    credit: float
    worst: float
    bound: float
    by_class: dict[str, ClassRow]
    read_again: float
    busy: float
    error: tuple[float, float]


def summarize(deployment, arrivals, run, seconds):
    """Return the :class:`Summary` of a run."""
    worth = _CreditRules(deployment, arrivals)
    earned_credit = collections.Counter()
    full_credit = collections.Counter()
    for outcome in run.outcomes:
        window = int(outcome.at_ms // WINDOW_MS)
        full_credit[window] += worth.full_credit(outcome)
        earned_credit[window] += worth.earned_credit(outcome)
    by_class = {
        name: _class_row(
            [o for o in run.outcomes if o.work_class == name], row, worth
        )
        for name, row in deployment.classes.items()
    }
    return Summary(
        credit=_ratio(sum(earned_credit.values()), sum(full_credit.values())),
        worst=min(
            (_ratio(earned_credit[w], full_credit[w]) for w in full_credit),
            default=0.0,
        ),
        bound=bound(deployment, arrivals, worth),
        by_class=by_class,
        read_again=_ratio(run.cached_elsewhere_tokens, run.prefilled_tokens),
        busy=run.total_prefill_ms
        / (seconds * 1_000 * deployment.engines.count),
        error=_prediction_errors(run.outcomes),
    )


class _CreditRules:
    """The credit of requests, by class and size."""

    def __init__(self, deployment, arrivals):
        self._classes = deployment.classes
        sizes = collections.defaultdict(list)
        for arrival in arrivals:
            sizes[arrival.work_class].append(arrival.prompt.tokens_in)
        self._mean = {
            name: sum(values) / len(values) for name, values in sizes.items()
        }

    def full_credit(self, request):
        """Return the credit of a request that is served in time."""
        return (
            self._size_factor(request)
            * self._classes[request.work_class].worth
        )

    def late_credit(self, request):
        """Return the credit of a request that is served late."""
        row = self._classes[request.work_class]
        return self._size_factor(request) * row.late_worth

    def earned_credit(self, outcome):
        """Return the credit that a request earned."""
        if outcome.first_ms is None:
            return 0.0
        if is_in_time(outcome, self._classes[outcome.work_class]):
            return self.full_credit(outcome)
        return self.late_credit(outcome)

    def _size_factor(self, request):
        size = request.tokens / self._mean[request.work_class]
        return min(
            MAX_SIZE_FACTOR, BASE_SIZE_FACTOR + SIZE_FACTOR_PER_MEAN * size
        )


def is_in_time(outcome, row):
    """Tell whether the first event arrived within the class's target."""
    return outcome.first_ms is not None and outcome.first_ms <= row.goal_ms


def _class_row(outcomes, row, worth):
    asked = len(outcomes)
    in_time = sum(is_in_time(o, row) for o in outcomes)
    served = sum(o.first_ms is not None for o in outcomes)
    by_size = sorted(outcomes, key=lambda o: o.tokens)
    largest = by_size[round(asked * (1 - LARGEST_FRACTION)) :]
    return ClassRow(
        asked=asked,
        in_time=_ratio(in_time, asked),
        late=_ratio(served - in_time, asked),
        unserved=_ratio(asked - served, asked),
        credit=_credit(outcomes, worth),
        largest=_credit(largest, worth),
    )


def _credit(outcomes, worth):
    earned_credit = sum(worth.earned_credit(o) for o in outcomes)
    return _ratio(earned_credit, sum(worth.full_credit(o) for o in outcomes))


def _ratio(part, whole):
    return part / whole if whole else 0.0


def _prediction_errors(outcomes):
    found = sorted(
        abs(o.first_ms - o.predicted_ms)
        for o in outcomes
        if o.first_ms is not None and o.predicted_ms
    )
    if not found:
        return 0.0, 0.0
    return found[len(found) // 2], found[int(len(found) * 0.9)]


class _MinimumWork(typing.NamedTuple):
    """The least engine time that a request needs, and its class and size."""

    work_class: str
    tokens: int
    engine_ms: float


def bound(deployment, arrivals, worth=None):
    """Return an upper bound of the credit, as a fraction of the full one.

    In each window the engines have the time of the window plus that of the
    longest target.  Each request takes its least engine time: prefill on a
    prefill engine that has cached all shared parts, and its share of a full
    batch.  Requests with the largest gain per engine time are served first,
    and all others are assumed to be served late at no cost.
    """
    worth = worth or _CreditRules(deployment, arrivals)
    works_by_window = collections.defaultdict(list)
    for arrival in arrivals:
        window = int(arrival.at_ms // WINDOW_MS)
        works_by_window[window].append(_minimum_work(deployment, arrival))
    slack = max(row.goal_ms for row in deployment.classes.values())
    available_ms = deployment.engines.count * (WINDOW_MS + slack)
    earned_credit = full_credit = 0.0
    for works in works_by_window.values():
        full_credit += sum(worth.full_credit(work) for work in works)
        earned_credit += _max_credit(works, available_ms, worth)
    return _ratio(earned_credit, full_credit)


def _minimum_work(deployment, arrival):
    prompt = arrival.prompt
    slots = deployment.engines.slots
    unshared_tokens = prompt.parts[-1].tokens
    row = deployment.engines
    prefill_ms = engine_timing.prefill_ms(
        row, prompt.tokens_in, prompt.tokens_in - unshared_tokens
    )
    decode_ms = prompt.tokens_out * engine_timing.step_ms(row, slots) / slots
    return _MinimumWork(
        arrival.work_class, prompt.tokens_in, prefill_ms + decode_ms
    )


def _max_credit(works, available_ms, worth):
    def gain(work):
        return (
            worth.full_credit(work) - worth.late_credit(work)
        ) / work.engine_ms

    earned_credit = sum(worth.late_credit(work) for work in works)
    for work in sorted(works, key=gain, reverse=True):
        part = min(1.0, available_ms / work.engine_ms)
        earned_credit += part * (
            worth.full_credit(work) - worth.late_credit(work)
        )
        available_ms -= part * work.engine_ms
        if available_ms <= 0:
            break
    return earned_credit


def mean(summaries):
    """Return the mean of the summaries of runs of the same classes."""
    first = summaries[0]
    rows = {
        name: ClassRow(
            *(
                _mean(s.by_class[name][field] for s in summaries)
                for field in range(len(ClassRow._fields))
            )
        )
        for name in first.by_class
    }
    return Summary(
        credit=_mean(s.credit for s in summaries),
        worst=_mean(s.worst for s in summaries),
        bound=_mean(s.bound for s in summaries),
        by_class=rows,
        read_again=_mean(s.read_again for s in summaries),
        busy=_mean(s.busy for s in summaries),
        error=(
            _mean(s.error[0] for s in summaries),
            _mean(s.error[1] for s in summaries),
        ),
    )


def _mean(values):
    found = list(values)
    return sum(found) / len(found)


def table(summary_by_policy):
    """Return the summaries of all policies as a text table."""
    lines = []
    for policy, found in summary_by_policy.items():
        lines.append(
            f"{policy}: credit {found.credit:.3f} of at most "
            f"{found.bound:.3f}, worst 2 s {found.worst:.3f}, "
            f"read again {found.read_again:.3f}, busy {found.busy:.2f}, "
            f"error {found.error[0]:.0f} / {found.error[1]:.0f} ms"
        )
        lines.append(
            f"  {'class':18}{'asked':>8}{'in time':>9}{'late':>7}"
            f"{'unserved':>10}{'credit':>8}{'largest':>9}"
        )
        lines.extend(
            f"  {name:18}{row.asked:8.0f}{row.in_time:9.3f}{row.late:7.3f}"
            f"{row.unserved:10.3f}{row.credit:8.3f}{row.largest:9.3f}"
            for name, row in found.by_class.items()
        )
    return "\n".join(lines)


def to_json(summary_by_policy):
    """Return the summaries of all policies as JSON."""
    data = {
        policy: {
            **found._asdict(),
            "by_class": {n: r._asdict() for n, r in found.by_class.items()},
        }
        for policy, found in summary_by_policy.items()
    }
    return json.dumps(data, indent=2)


def plot(summary_by_policy, path):
    """Draw credit and bound of each policy into a PNG file.

    :raises ImportError: matplotlib isn't installed.
    """
    import matplotlib  # noqa: PLC0415 (an optional library)

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    names = list(summary_by_policy)
    figure, axes = pyplot.subplots(figsize=(8, 0.6 * len(names) + 1.5))
    found = [summary_by_policy[name] for name in names]
    axes.barh(names, [s.bound for s in found], color="0.85", label="bound")
    axes.barh(names, [s.credit for s in found], height=0.5, label="credit")
    axes.set_xlim(0, 1)
    axes.set_xlabel("fraction of the full credit")
    axes.invert_yaxis()
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
