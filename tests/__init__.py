"""Tests; the folders mirror the package."""

import hypothesis

# The same examples in every run: CI must reach the same verdict each time.
# ``make proofs`` explores at random.
hypothesis.settings.register_profile(
    "same", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("same")
