"""Calls to a store that is late, refuses or loses answers."""

import json
import struct
import time
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.http1 import repeated_call
from clementinewall.platform import store
from standins import scripted

LATE_SECONDS = 0.3
NEVER_SECONDS = 30.0
MAX_SECONDS = 2.0
NEWEST = json.dumps({"items": [], "end_offset": 7}).encode()
APPENDED = json.dumps({"offset": 7, "end_offset": 8}).encode()


class Calls(unittest.TestCase):
    """A store whose answers a test decides."""

    def setUp(self):
        """Shorten the times after which answers are overdue."""
        for name, value in (
            ("MIN_OVERDUE_MS", 100),
            ("REPEAT_INTERVAL_MS", 100),
        ):
            patch = mock.patch.object(repeated_call, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.overdue = []

    def client(self, *answers):
        """Return a client of a store with these answers, in turn.

        Each is a delay in seconds, a status and a body.
        """
        left = list(answers)

        def script(_endpoint, request):
            seconds, status, body = left.pop(0) if len(left) > 1 else left[0]
            if seconds:
                yield seconds
            yield scripted.answer(request, body, status)

        self.endpoint = scripted.Endpoint(script)
        self.addCleanup(self.endpoint.close)
        return store.Store(
            self.endpoint.address, clock.Clock().now, self.overdue.append
        )

    def test_a_late_answer_counts_and_is_told_to_be_overdue(self):
        # Guards against answers of a slow store that are thrown away.
        client = self.client(
            (LATE_SECONDS, 200, NEWEST), (NEVER_SECONDS, 200, b"")
        )
        self.assertEqual(anyio.run(client.newest, "t").end, 7)
        self.assertEqual(len(self.overdue), 1)
        self.assertGreaterEqual(client.late_ms, 1_000 * LATE_SECONDS)

    def test_a_page_may_end_with_any_key(self):
        # Guards against a page that is read again without end, or a request
        # for the next one that can't be encoded.
        for last in ("e\ufffd", "e\udcff", "e\x00", None, ["e"]):
            with self.subTest(last):
                client = self.client(
                    *(
                        (0.0, 200, json.dumps(page).encode())
                        for page in self.pages(last)
                    )
                )
                found = anyio.run(client.newest, "t")
                keys = [r.key for r in found.records if r.key in "adf"]
                self.assertEqual(keys, ["a", "d", "f"])
                self.assertEqual(found.end, 9)

    def pages(self, last):
        """Return two pages, of which the first comes twice."""
        row = {"value": "", "offset": 1}
        first = [{**row, "key": "a"}, {**row, "key": "d"}]
        first.append({**row, "key": last})
        found = {"items": first, "has_more": True, "end_offset": 9}
        rest = {"items": [{**row, "key": "f"}], "end_offset": 9}
        return [found, found, rest] if last != "e\x00" else [found, rest]

    def test_pages_without_end_are_given_up(self):
        # Guards against a reader that a store keeps busy for ever.
        row = {"key": "e\ufffd", "value": "", "offset": 1}
        page = {"items": [row], "has_more": True, "end_offset": 9}
        client = self.client((0.0, 200, json.dumps(page).encode()))
        self.assertEqual(len(anyio.run(client.newest, "t").records), 1)

    def test_a_position_that_the_log_has_not_reached(self):
        # Guards against a follower that takes nothing new for all there is.
        answer = (0.0, 200, struct.pack(">QQ", 5, 0))
        self.assertEqual(anyio.run(self.client(answer).read, "t", 5).end, 5)
        with self.assertRaises(store.HistoryExpired):
            anyio.run(self.client(answer).read, "t", 6)

    def test_a_lost_answer_is_asked_for_again(self):
        client = self.client((NEVER_SECONDS, 200, b""), (0.0, 200, NEWEST))
        self.assertEqual(anyio.run(client.newest, "t").end, 7)

    def test_a_claim_is_sent_once(self):
        # Guards against a claim whose repeat is taken for that of another.
        client = self.client((NEVER_SECONDS, 200, APPENDED))
        with self.assertRaises(errors.LogUnavailable):
            anyio.run(client.append, "t", "k", b"v", 7)
        self.assertEqual(len(self.endpoint.requests), 1)

    def test_a_claim_waits_as_long_as_answers_take(self):
        # Guards against claims that a slow store never confirms in time.
        client = self.client(
            (LATE_SECONDS, 200, NEWEST), (LATE_SECONDS, 200, APPENDED)
        )

        async def claim():
            await client.newest("t")
            return await client.append("t", "k", b"v", 7)

        self.assertEqual(anyio.run(claim), 7)

    def test_a_registration_is_sent_again(self):
        client = self.client((NEVER_SECONDS, 200, b""), (0.0, 200, APPENDED))
        self.assertEqual(anyio.run(client.append, "t", "k", b"v"), 7)

    def test_a_claim_behind_another_is_not_made(self):
        client = self.client((0.0, 412, b'{"end_offset": 9}'))
        self.assertIsNone(anyio.run(client.append, "t", "k", b"v", 7))

    def test_a_status_of_another_call_is_no_answer(self):
        # Guards against bodies that are decoded as something else.
        client = self.client((0.0, 412, b'{"end_offset": 9, "long": true}'))
        with self.assertRaises(errors.LogUnavailable):
            anyio.run(client.read, "t", 0)

    def test_a_history_that_has_expired_is_told_at_once(self):
        # Guards against waiting for an answer that was lost meanwhile.
        client = self.client(
            (NEVER_SECONDS, 200, b""), (0.0, 410, b'{"first_offset": 9}')
        )
        began = time.monotonic()
        with self.assertRaises(store.HistoryExpired) as caught:
            anyio.run(client.read, "t", 0)
        self.assertEqual(caught.exception.first, 9)
        self.assertLess(time.monotonic() - began, MAX_SECONDS)

    def test_an_expired_history_without_its_first_offset(self):
        client = self.client((0.0, 410, b"gone"))
        with self.assertRaises(store.HistoryExpired) as caught:
            anyio.run(client.read, "t", 0)
        self.assertIsNone(caught.exception.first)


if __name__ == "__main__":
    unittest.main()
