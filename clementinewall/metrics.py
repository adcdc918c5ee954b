"""Counters and latency histograms, in the Prometheus text format.

Histograms are HdrHistogram's, in milliseconds with two significant digits, so
that each takes a few kilobytes; they are rendered as summaries.
"""

import collections
import importlib

MAX_MS = 600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
# Label values come from published names, so this bound is reached only if
# operators publish thousands of classes; further series are then dropped.
MAX_SERIES = 2_000

_counter_by_series = collections.Counter()
_gauge_by_series = {}
_histogram_by_series = {}


def count(name, by=1, **labels):
    """Add ``by`` to a counter."""
    series = _series(name, labels)
    if series in _counter_by_series or len(_counter_by_series) < MAX_SERIES:
        _counter_by_series[series] += by


def gauge(name, value, **labels):
    """Set a gauge."""
    series = _series(name, labels)
    if series in _gauge_by_series or len(_gauge_by_series) < MAX_SERIES:
        _gauge_by_series[series] = value


def observe_ms(name, value, **labels):
    """Record a duration in milliseconds in a histogram."""
    series = _series(name, labels)
    durations = _histogram_by_series.get(series)
    if durations is None:
        if len(_histogram_by_series) >= MAX_SERIES:
            return
        # Loaded after the start, whose processor time delays readiness.
        histogram = importlib.import_module("hdrh.histogram")
        durations = histogram.HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        _histogram_by_series[series] = durations
    durations.record_value(min(MAX_MS, max(1, int(value))))


def render():
    """Return all series as Prometheus text."""
    lines = []
    for (name, labels), value in sorted(_counter_by_series.items()):
        lines.append(
            f"clementinewall_{name}_total{_labels_text(labels)} {value}"
        )
    for (name, labels), value in sorted(_gauge_by_series.items()):
        lines.append(f"clementinewall_{name}{_labels_text(labels)} {value}")
    for (name, labels), durations in sorted(_histogram_by_series.items()):
        lines.extend(_summary(name, labels, durations))
    return "\n".join(lines) + "\n"


def _summary(name, labels, durations):
    for quantile in QUANTILES:
        with_quantile = (*labels, ("quantile", f"{quantile / 100:g}"))
        value = durations.get_value_at_percentile(quantile)
        yield f"clementinewall_{name}_ms{_labels_text(with_quantile)} {value}"
    total = durations.get_total_count()
    yield f"clementinewall_{name}_ms_count{_labels_text(labels)} {total}"


def _series(name, labels):
    return name, tuple(sorted(labels.items()))


def _labels_text(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{value}"' for key, value in labels)
    return "{" + pairs + "}"
