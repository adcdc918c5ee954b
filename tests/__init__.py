"""Tests; the folders mirror the package."""

import hypothesis

# The same examples in every run, so that CI is deterministic.  ``make proofs``
# uses random examples.
hypothesis.settings.register_profile(
    "same", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("same")
