"""Counters and latency histograms, in the Prometheus text format.

Histograms are HdrHistogram's, in milliseconds with two significant digits,
which keeps each at a few kilobytes; they are rendered as summaries.
"""

import collections

from hdrh import histogram

HIGHEST_MS = 600_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
# Label values come from published names, so this bound is only met when
# operators publish thousands of classes; later series are then not kept.
SERIES_LIMIT = 2_000

_counter_by_series = collections.Counter()
_histogram_by_series = {}


def count(name, by=1, **labels):
    """Add to a counter."""
    series = _series(name, labels)
    if series in _counter_by_series or len(_counter_by_series) < SERIES_LIMIT:
        _counter_by_series[series] += by


def observe_ms(name, value, **labels):
    """Record a duration in milliseconds."""
    series = _series(name, labels)
    kept = _histogram_by_series.get(series)
    if kept is None:
        if len(_histogram_by_series) >= SERIES_LIMIT:
            return
        kept = histogram.HdrHistogram(1, HIGHEST_MS, DIGITS)
        _histogram_by_series[series] = kept
    kept.record_value(min(HIGHEST_MS, max(1, int(value))))


def render():
    """Return all series as Prometheus text."""
    lines = []
    for (name, labels), value in sorted(_counter_by_series.items()):
        lines.append(f"clementinewall_{name}_total{_text(labels)} {value}")
    for (name, labels), kept in sorted(_histogram_by_series.items()):
        lines.extend(_summary(name, labels, kept))
    return "\n".join(lines) + "\n"


def _summary(name, labels, kept):
    for quantile in QUANTILES:
        with_quantile = (*labels, ("quantile", f"{quantile / 100:g}"))
        value = kept.get_value_at_percentile(quantile)
        yield f"clementinewall_{name}_ms{_text(with_quantile)} {value}"
    total = kept.get_total_count()
    yield f"clementinewall_{name}_ms_count{_text(labels)} {total}"


def _series(name, labels):
    return name, tuple(sorted(labels.items()))


def _text(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{value}"' for key, value in labels)
    return "{" + pairs + "}"
