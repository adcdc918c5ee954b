"""Shares of a request limit."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from clementinewall.policy import request_limit

WINDOW_SECONDS = 4
GATEWAYS = (7, 61, 195, 350)


def allowed(per_second):
    """Return what the deployment allows an endpoint to get in a window."""
    return 1.5 * per_second * WINDOW_SECONDS + 5


class ShareTest(unittest.TestCase):
    """Senders that use their shares to the full."""

    @given(st.floats(0, 10_000), st.sampled_from(GATEWAYS))
    def test_shares_add_up_to_no_more_than_is_allowed(self, limit, gateways):
        # Guards against small shares of which many gateways have one each.
        senders = min(gateways, request_limit.max_senders(limit))
        interval_ms = request_limit.interval_ms(limit, senders)
        each = 1 + WINDOW_SECONDS * 1_000 / interval_ms
        # One more of each may have been delayed on its way.
        self.assertLessEqual(senders * (each + 1), allowed(limit) * (1 + 1e-9))

    @given(st.floats(1, 10_000), st.sampled_from(GATEWAYS))
    def test_senders_together_may_use_the_whole_limit(self, limit, gateways):
        senders = min(gateways, request_limit.max_senders(limit))
        interval_ms = request_limit.interval_ms(limit, senders)
        per_second = senders * 1_000 / interval_ms
        self.assertAlmostEqual(per_second / limit, 1)
