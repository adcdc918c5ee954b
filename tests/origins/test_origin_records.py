"""Records that keep the origins of streams."""

import unittest
import zlib

import hypothesis
from hypothesis import strategies

from clementinewall.origins import origin_records

TEXT = strategies.text(max_size=40)
ROWS = strategies.lists(
    strategies.builds(
        origin_records.Row,
        TEXT,
        TEXT,
        strategies.sampled_from(["v1", "v2"]),
        strategies.integers(1, origin_records.MAX_LIFETIME_MS),
    ),
    min_size=1,
    max_size=60,
    unique_by=lambda row: row.attempt,
)


class Records(unittest.TestCase):
    """Rows that are encoded, split and decoded."""

    @hypothesis.given(ROWS, strategies.integers(0, 3_000))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_what_is_split_comes_back_whole(self, rows, max_bytes):
        left, found = list(rows), []
        while left:
            value, taken = origin_records.encode(left, max_bytes)
            self.assertEqual(taken, left[: len(taken)])
            if len(taken) > 1:
                self.assertLess(len(value), max_bytes)
            left = left[len(taken) :]
            found += origin_records.decode(value)
        self.assertEqual(
            sorted(row[:3] for row in rows), sorted(row[:3] for row in found)
        )
        for row, other in zip(sorted(rows), sorted(found), strict=True):
            longer_ms = other.lifetime_ms - row.lifetime_ms
            self.assertIn(longer_ms, range(origin_records.LIFETIME_STEP_MS))

    def test_random_attempts_stay_below_the_limit(self):
        rows = [
            origin_records.Row(f"{n * 2654435761 % 2**64:016x}", "s", "v", 1)
            for n in range(20_000)
        ]
        value, taken = origin_records.encode(rows, 10**9)
        self.assertLess(len(value), origin_records.MAX_RECORD_BYTES)
        self.assertGreater(len(taken), 1_000)

    def test_malformed_records_are_told(self):
        for raw in (
            b"{",
            b"[]",
            b"{}",
            b'{"origins": 7}',
            b'{"origins": [["s", "v", 7, "abc"]]}',
            b'{"origins": [["s", "v", true, ["a"]]]}',
            b'{"origins": [["s", 7, 7, ["a"]]]}',
            b'{"origins": [["s", "v", 7, [["a"]]]]}',
            b'{"origins": [["s", "v", 7, ["' + b"a" * 201 + b'"]]]}',
            b" " * (origin_records.MAX_DECODED_BYTES + 1) + b"{}",
            b"[" * 100_000,
        ):
            with (
                self.subTest(raw[:60]),
                self.assertRaises(origin_records.Malformed),
            ):
                origin_records.decode(zlib.compress(raw))
        for value in (None, b"", b"junk"):
            with (
                self.subTest(value),
                self.assertRaises(origin_records.Malformed),
            ):
                origin_records.decode(value)


if __name__ == "__main__":
    unittest.main()
