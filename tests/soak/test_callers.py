"""How the soak's callers classify answers and choose addresses."""

import collections
import json
import random
import threading
import unittest

from bench.soak import addresses
from bench.soak import backends
from bench.soak import callers
from bench.soak import history as history_module
from standins import bringup
from standins import scripted

Failure = history_module.Failure
TTL_SECONDS = 2


class _FixedTarget:
    """Sends every request to one address."""

    def __init__(self, address):
        self._target = addresses.Target("gateway-1", address)

    def pick(self, _open_targets):
        return self._target

    def record_failure(self, _target):
        pass


class Callers(unittest.TestCase):
    """One caller at a scripted gateway."""

    def start(self, script, **more):
        """Let a caller send requests; return its history."""
        endpoint = scripted.Endpoint(script)
        self.addCleanup(endpoint.close)
        history = history_module.History()
        stop = threading.Event()
        caller = callers.Caller(
            1,
            history,
            lambda _rng: _FixedTarget(endpoint.address),
            stop,
            **more,
        )
        caller.start()
        self.addCleanup(caller.join)
        self.addCleanup(stop.set)
        return history

    def record(self, script):
        """Return the ends of requests that the caller didn't abandon."""
        history = self.start(script)

        def ended():
            sent = list(history.sent)
            return [
                row for row in sent if row.kind not in callers.ABANDONING_KINDS
            ]

        bringup.wait_until(lambda: len(ended()) > 5, what="six requests")
        return ended()

    def test_a_body_shorter_than_its_length_is_closed(self):
        def script(_endpoint, request):
            yield scripted.answer(request, b"0123456789")[:-5]
            yield scripted.CLOSE

        ends = {(sent.status, sent.failure) for sent in self.record(script)}
        self.assertEqual(ends, {(None, Failure.CLOSED)})

    def test_a_stream_without_its_last_chunk_is_closed(self):
        def script(_endpoint, request):
            yield scripted.stream_head(request)
            yield scripted.chunk(scripted.event(1))
            yield scripted.CLOSE

        ends = {(sent.status, sent.failure) for sent in self.record(script)}
        self.assertEqual(ends, {(None, Failure.CLOSED)})

    def test_complete_answers_are_correct(self):
        def script(_endpoint, request):
            headers = request.header_by_name
            body = backends.plain_body(headers["attempt-id"], request.target)
            yield scripted.answer(request, body)

        answers = [sent for sent in self.record(script) if not sent.numbers]
        plain = [sent for sent in answers if sent.path != "/chat/x"]
        self.assertTrue(plain)
        for sent in plain:
            self.assertEqual((sent.status, sent.is_correct), (200, True))

    def test_a_patient_caller_returns_until_its_stream_is_whole(self):
        tries = collections.Counter()

        def script(_endpoint, request):
            headers = request.header_by_name
            if "token-usage" not in headers:
                yield scripted.answer(request, b"")
                return
            begun = headers.get("resumes", headers["attempt-id"])
            tries[begun] += 1
            if tries[begun] == 2:
                yield scripted.answer(request, b"", 503)
                return
            yield scripted.stream_head(request)
            first = int(headers.get("last-event-id", 0)) + 1
            last = backends.last_event(headers["token-usage"])
            for number in range(first, last + 1):
                yield scripted.chunk(scripted.event(number, "v1"))
                if tries[begun] == 1:
                    yield scripted.RESET
            yield scripted.chunk(b"")

        history = self.start(script, returns=callers.PATIENT)
        bringup.wait_until(
            lambda: any(row.went_on for row in list(history.returns)),
            what="a stream that went on",
        )
        [attempt, *_] = [r.attempt for r in history.returns if r.went_on]
        ends = [r.went_on for r in history.returns if r.attempt == attempt]
        self.assertEqual(ends, [False, True])


class DirectoryTest(unittest.TestCase):
    """Addresses as a gateway resolves them."""

    def setUp(self):
        """Let a gateway return two addresses."""
        self.now = 1.0
        self.addresses = ["a:1", "b:1"]
        endpoint = scripted.Endpoint(self._answer)
        self.addCleanup(endpoint.close)
        listen = {
            "gateway-1": {"front": "a:1", "directory": endpoint.address},
            "gateway-2": {"front": "b:1", "directory": endpoint.address},
        }
        self.resolved = addresses.ResolvedAddresses(
            random.Random(1), listen, lambda: self.now
        )

    def _answer(self, _endpoint, request):
        payload = {"addresses": self.addresses, "ttl_s": TTL_SECONDS}
        yield scripted.answer(request, json.dumps(payload).encode())
        yield scripted.CLOSE

    def pick(self, open_targets=()):
        """Return the gateways that some requests go to."""
        return {self.resolved.pick(open_targets).gateway for _ in range(20)}

    def test_all_addresses_are_used(self):
        self.assertEqual(self.pick(), {"gateway-1", "gateway-2"})

    def test_an_address_that_failed_is_left_out_until_the_next_answer(self):
        self.pick()
        self.resolved.record_failure(addresses.Target("gateway-1", "a:1"))
        self.assertEqual(self.pick(), {"gateway-2"})
        self.now += TTL_SECONDS * max(addresses.TTL_FACTORS)
        self.assertEqual(self.pick(), {"gateway-1", "gateway-2"})

    def test_open_connections_to_removed_addresses_are_not_used(self):
        self.addresses = ["b:1"]
        open_targets = [addresses.Target("gateway-1", "a:1")]
        self.assertEqual(self.pick(open_targets), {"gateway-2"})

    def test_the_last_answer_stays_in_use_without_a_new_one(self):
        self.pick()
        self.addresses = []
        self.now += TTL_SECONDS * max(addresses.TTL_FACTORS)
        self.assertEqual(self.pick(), {"gateway-1", "gateway-2"})
