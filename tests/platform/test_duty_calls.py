"""Requests to the duty service and what its answers say."""

import json
import unittest

from clementinewall.platform import duty_calls

Outcome = duty_calls.Outcome


class Encoding(unittest.TestCase):
    """Requests as the service knows them."""

    def test_report(self):
        # Guards against a form of which the service takes nothing; customers
        # without requests are left out.
        call = duty_calls.usage_report(353_445_120, {"hule930": 412, "x": 0})
        found = duty_calls.request(call, "10.0.0.9:80", "front-1", 12)
        self.assertEqual((found.method, found.target), (b"POST", b"/usage"))
        self.assertEqual(
            found.body, b'{"window":353445120,"counts":{"hule930":412}}'
        )
        value_by_name = dict(found.headers)
        self.assertEqual(value_by_name[b"Duty-Holder"], b"front-1")
        self.assertEqual(value_by_name[b"Fencing-Token"], b"12")

    def test_order(self):
        # Guards against "use_spot" in an order of on-demand engines.
        call = duty_calls.scale_order("s", "a", 6, True)
        expected = {"service": "s", "zone": "a", "desired": 6}
        self.assertEqual(json.loads(call.body), {**expected, "use_spot": True})
        call = duty_calls.scale_order("s", "a", 6, False)
        self.assertEqual(json.loads(call.body), expected)

    def test_outcomes(self):
        # Guards against a lost call that is taken for a refused one.
        expected = {
            200: Outcome.ACCEPTED,
            400: Outcome.REJECTED,
            404: Outcome.REJECTED,
            409: Outcome.NONE_AVAILABLE,
            429: Outcome.THROTTLED,
            500: Outcome.LOST,
            503: Outcome.LOST,
            204: Outcome.LOST,
        }
        for status, outcome in expected.items():
            with self.subTest(status):
                self.assertIs(duty_calls.outcome(status), outcome)
