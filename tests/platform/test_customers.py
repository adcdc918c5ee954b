"""Customers in a configuration, and those that make it unusable."""

import unittest

from clementinewall.platform import customers


def row(name, *keys, **more):
    """Return a customer as operators write it."""
    return {"name": name, "api_keys": list(keys), **more}


class Customers(unittest.TestCase):
    """Lists of customers as they come from operators."""

    def test_customers_are_found_by_each_of_their_keys(self):
        found = customers.by_key([row("a", "1", "2"), row("b", priority=0)])
        self.assertEqual({"1", "2"}, set(found))
        self.assertEqual("a", found["2"].name)
        self.assertIsNone(customers.by_key(None))
        self.assertEqual({}, customers.by_key([]))

    def test_a_list_that_cannot_be_meant_is_refused(self):
        # Keys of customers stop being served, or those of one are charged to
        # another, by a mistake in a version that could have been refused.
        for rows in (
            {},
            "",
            "ab",
            [row("a", "1"), row("b", "1")],
            [row("a", "1"), row("a", "2")],
            [row("a", "")],
            [row("a", 1)],
            [row("a", None)],
            [{"name": "a", "api_keys": "1"}],
            [{"name": "a"}],
            [row("", "1")],
            [row("a", "1", priority=-1)],
            [row("a", "1", priority=True)],
        ):
            with self.subTest(rows):
                with self.assertRaises((KeyError, TypeError, ValueError)):
                    customers.by_key(rows)

    def test_a_name_that_ends_a_header_is_refused(self):
        # Each request of the customer fails, or endpoints get headers that
        # nobody set.
        for name in ("a\r\nb: c", "a\n", "a\0"):
            with self.subTest(name), self.assertRaises(ValueError):
                customers.by_key([row(name, "1")])


if __name__ == "__main__":
    unittest.main()
