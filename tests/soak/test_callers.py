"""What the soak's callers make of answers, and where they connect."""

import json
import random
import threading
import unittest

from bench.soak import backends
from bench.soak import callers
from bench.soak import directory
from bench.soak import ledger as ledger_module
from standins import bringup
from standins import scripted

Failure = ledger_module.Failure
TTL_SECONDS = 2


class _OnePlace:
    """Sends every request to one address."""

    def __init__(self, address):
        self._place = directory.Place("gateway-1", address)

    def pick(self, _kept):
        return self._place

    def note_failure(self, _place):
        pass


class Callers(unittest.TestCase):
    """One caller at a scripted gateway."""

    def see(self, script):
        """Let a caller send some requests; return those that it ended."""
        endpoint = scripted.Endpoint(script)
        self.addCleanup(endpoint.close)
        ledger = ledger_module.Ledger()
        stop = threading.Event()
        caller = callers.Caller(
            1, ledger, lambda _draw: _OnePlace(endpoint.address), stop
        )
        caller.start()
        self.addCleanup(caller.join)
        self.addCleanup(stop.set)

        def ended():
            sent = list(ledger.sent)
            return [row for row in sent if row.kind not in callers.LEAVING]

        bringup.wait_until(lambda: len(ended()) > 5, what="six requests")
        return ended()

    def test_a_body_that_ends_before_its_length_is_cut_off(self):
        def script(_endpoint, request):
            yield scripted.answer(request, b"0123456789")[:-5]
            yield scripted.CLOSE

        ends = {(sent.status, sent.failure) for sent in self.see(script)}
        self.assertEqual(ends, {(None, Failure.CLOSED)})

    def test_a_stream_without_its_end_is_cut_off(self):
        def script(_endpoint, request):
            yield scripted.stream_head(request)
            yield scripted.chunk(scripted.event(1))
            yield scripted.CLOSE

        ends = {(sent.status, sent.failure) for sent in self.see(script)}
        self.assertEqual(ends, {(None, Failure.CLOSED)})

    def test_whole_answers_on_one_connection(self):
        def script(_endpoint, request):
            headers = request.header_by_name
            body = backends.body_of(headers["attempt-id"], request.target)
            yield scripted.answer(request, body)

        calls = [sent for sent in self.see(script) if not sent.numbers]
        plain = [sent for sent in calls if sent.path != "/chat/x"]
        self.assertTrue(plain)
        for sent in plain:
            self.assertEqual((sent.status, sent.right), (200, True))


class DirectoryTest(unittest.TestCase):
    """Addresses as a gateway tells them."""

    def setUp(self):
        """Let one gateway name two addresses."""
        self.now = 1.0
        self.addresses = ["a:1", "b:1"]
        endpoint = scripted.Endpoint(self._answer)
        self.addCleanup(endpoint.close)
        listen = {
            "gateway-1": {"front": "a:1", "directory": endpoint.address},
            "gateway-2": {"front": "b:1", "directory": endpoint.address},
        }
        self.directory = directory.Directory(
            random.Random(1), listen, lambda: self.now
        )

    def _answer(self, _endpoint, request):
        told = {"addresses": self.addresses, "ttl_s": TTL_SECONDS}
        yield scripted.answer(request, json.dumps(told).encode())
        yield scripted.CLOSE

    def pick(self, kept=()):
        """Return the gateways that some requests go to."""
        return {self.directory.pick(kept).gateway for _ in range(20)}

    def test_all_addresses_are_used(self):
        self.assertEqual(self.pick(), {"gateway-1", "gateway-2"})

    def test_an_address_that_failed_is_left_out_until_the_next_answer(self):
        self.pick()
        self.directory.note_failure(directory.Place("gateway-1", "a:1"))
        self.assertEqual(self.pick(), {"gateway-2"})
        self.now += TTL_SECONDS * max(directory.KEEP_FACTORS)
        self.assertEqual(self.pick(), {"gateway-1", "gateway-2"})

    def test_kept_connections_to_removed_addresses_are_not_used(self):
        self.addresses = ["b:1"]
        kept = [directory.Place("gateway-1", "a:1")]
        self.assertEqual(self.pick(kept), {"gateway-2"})

    def test_the_last_answer_stays_in_use_without_a_new_one(self):
        self.pick()
        self.addresses = []
        self.now += TTL_SECONDS * max(directory.KEEP_FACTORS)
        self.assertEqual(self.pick(), {"gateway-1", "gateway-2"})
