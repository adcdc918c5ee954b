"""Customers that operators publish through the project's own interface."""

import unittest

from clementinewall import errors
from clementinewall.records import configuration
from clementinewall.records import control


def change(name, expects, **keys_by_customer):
    """Return a change that sets customers, as it is in the log."""
    sets = {
        f"customer/{customer}": None if keys is None else {"keys": keys}
        for customer, keys in keys_by_customer.items()
    }
    return control.Change(name, "op", expects, sets)._asdict()


class Customers(unittest.TestCase):
    """Documents and changes with customers."""

    def check_refused(self, customers, *texts):
        """Check the message by which publishing ends."""
        with self.assertRaises(errors.SettingsError) as caught:
            configuration.flatten({"customer": customers})
        for text in texts:
            self.assertIn(text, caught.exception.message)
        self.assertNotIn("k-secret", caught.exception.message)

    def test_customers_are_records_of_their_own(self):
        document = {"customer": {"a": {"keys": ["1"], "priority": 0}}}
        found = configuration.flatten(document)
        self.assertEqual(["customer/a"], list(found))
        value, _ = configuration.read_value("customer/a", found["customer/a"])
        self.assertEqual(configuration.Customer(("1",), 0), value)
        seen = configuration.view(1, {"customer/a": value})
        self.assertEqual({"a": value}, seen.customers_by_name)

    def test_a_customer_without_a_key_is_refused(self):
        # A customer is cut off by a version with a forgotten key.
        self.check_refused({"a": {"keys": []}}, "customer/a.keys", "no key")
        self.check_refused({"a": {}}, "customer/a.keys", "required")

    def test_a_key_of_two_customers_is_refused(self):
        # Requests of one customer are served and counted as another's.
        self.check_refused(
            {"a": {"keys": ["k-secret"]}, "b": {"keys": ["x", "k-secret"]}},
            "customer/b.keys[1]",
            "customer/a",
            "one customer only",
        )

    def test_malformed_lists_of_keys_are_refused(self):
        # A key that no caller can send, or each letter of a text for a key.
        for keys in ("abc", [""], [" "], ["1 "], [1], [None], {"a": 1}):
            with self.subTest(keys):
                self.check_refused({"a": {"keys": keys}}, "customer/a.keys")
        for priority in (-1, 10, True, "1"):
            self.check_refused(
                {"a": {"keys": ["1"], "priority": priority}},
                "customer/a.priority",
            )

    def test_two_operators_cannot_give_one_key_to_two_customers(self):
        # Each operator's document is right, and both changes are applied.
        state = control.State()
        state.begin(0)
        state.apply(0, change("x", {}, a=["1"]))
        state.apply(1, change("y", {}, b=["1"]))
        self.assertFalse(state.outcome_by_id["y"].valid)
        self.assertIn("customer/a", state.outcome_by_id["y"].reason)
        self.assertEqual(0, state.version)
        self.assertEqual({"a"}, set(state.view.customers_by_name))

    def test_a_key_may_pass_from_one_customer_to_another(self):
        # A check against the version before refuses a right change.
        state = control.State()
        state.begin(0)
        state.apply(0, change("x", {}, a=["1"], c=["3"]))
        expects = {"customer/a": 0, "customer/c": 0}
        state.apply(1, change("y", expects, a=["2"], b=["1"], c=None))
        self.assertTrue(state.outcome_by_id["y"].valid)
        self.assertEqual({"a", "b"}, set(state.view.customers_by_name))


if __name__ == "__main__":
    unittest.main()
