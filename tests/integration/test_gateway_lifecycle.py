"""Starts and stops of gateways, and outages of the store, under load."""

import socket
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base

route = gateway_base.route


MODEL_HEADERS = {"Model": "m", "Prompt_Prefix": "aa:40,bb:60"}


def long_answer(events, gap):
    """Return a script that streams ``events``, ``gap`` seconds apart."""

    def script(_endpoint, request):
        yield scripted.stream_head(request)
        for number in range(1, events + 1):
            yield scripted.chunk(scripted.event(number))
            yield gap
        yield scripted.chunk(b"")

    return script


def request_bytes(attempt, length=0):
    """Return a request as bytes; with a length its body is missing."""
    head = (
        f"POST /book/x HTTP/1.1\r\nHost: {gateway_base.HOST}\r\n"
        f"Attempt-Id: {attempt}\r\nContent-Length: {length}\r\n\r\n"
    )
    return head.encode()


def read_all(peer):
    """Return what comes until the other side closes."""
    parts = []
    while part := peer.recv(65_536):
        parts.append(part)
    return b"".join(parts)


def slow(seconds):
    """Return a script that answers after a delay in seconds."""

    def script(_endpoint, request):
        if seconds:
            yield seconds
        yield scripted.answer(request, b"done")

    return script


class Life(gateway_base.GatewayCase):
    """One gateway with changes of its store, endpoints and process."""

    def setUp(self):
        """Publish a route."""
        super().setUp()
        self.publish(route("book", "app", "unsafe"))

    def test_a_stop_cuts_no_request(self):
        # A booking gets no answer because its gateway stops, as happens when
        # operators replace gateways one after the other.
        self.endpoint("one", slow(1.0))
        front = self.gateway()
        asked = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.3)
        self.terminate()
        ((_, answer),) = asked.join()
        self.assertEqual(answer.content, b"done")
        self.assertEqual(answer.headers["connection"], "close")
        self.assertFalse(self.is_ready("gateway-1"))
        self.assertEqual(self.dep.wait_end("gateway-1", 4), 0)

    def test_a_request_taken_late_in_a_stop_is_finished(self):
        # A request is cut when a stopping gateway closes its listener.
        # Callers cache addresses for seconds, so a stopping gateway accepts
        # requests for a while, and must finish those that it accepted.
        self.endpoint("one", slow(0.7))
        front = self.gateway(grace_s=8)
        self.terminate()
        time.sleep(4.2)
        answer = self.ask(front, "/book/x")
        self.assertEqual(answer.content, b"done")
        self.assertEqual(self.dep.wait_end("gateway-1", 9), 0)

    def test_a_stream_longer_than_the_rest_of_a_stop_is_not_begun(self):
        # A stream that starts shortly before the process ends is cut midway.
        self.publish(route("chat", "model", "stream", resumable=True))
        engine = self.endpoint(
            "one", long_answer(40, 0.05), "model", stage="decode"
        )
        front = self.gateway()
        self.terminate()
        time.sleep(1.5)
        answer = self.ask(
            front, "/chat/x", Token_Usage="100,400", **MODEL_HEADERS
        )
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(engine.requests, [])

    def test_a_short_stream_is_served_late_in_a_stop(self):
        # A stopping gateway refuses streams that it could still finish.
        self.publish(route("chat", "model", "stream", resumable=True))
        self.endpoint("one", long_answer(3, 0.02), "model", stage="decode")
        front = self.gateway(grace_s=8)
        self.terminate()
        time.sleep(4.2)
        answer = self.ask(
            front, "/chat/x", Token_Usage="100,3", **MODEL_HEADERS
        )
        self.assertEqual(answer.status_code, 200)

    def connect(self, front):
        """Return a TCP connection to a gateway, for raw bytes."""
        host, _, port = front.rpartition(":")
        peer = socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(peer.close)
        return peer

    def test_a_request_half_read_at_the_end_of_a_stop_is_refused(self):
        self.endpoint("one", slow(0))
        front = self.gateway()
        peers = []
        for part in (request_bytes("a1")[:-20], request_bytes("a2", 5)):
            peers.append(self.connect(front))
            peers[-1].sendall(part)
        time.sleep(0.2)
        self.terminate()
        for peer in peers:
            answer = read_all(peer)
            self.assertIn(b" 408 ", answer.split(b"\r\n")[0])
            self.assertIn(b"not_run", answer)
        self.assertEqual(self.dep.wait_end("gateway-1", 4), 0)

    def test_pipelined_requests_are_all_answered_in_a_stop(self):
        self.endpoint("one", slow(0.3))
        front = self.gateway()
        peer = self.connect(front)
        peer.sendall(request_bytes("a1") + request_bytes("a2"))
        time.sleep(0.1)
        self.terminate()
        self.assertEqual(read_all(peer).count(b"HTTP/1.1 200"), 2)

    def test_an_idle_connection_is_served_until_the_end_of_a_stop(self):
        # A request on an idle connection fails although the process runs:
        # callers reuse their connections until the process has ended.
        self.endpoint("one", slow(0))
        front = self.gateway(grace_s=8)
        peer = self.connect(front)
        peer.sendall(request_bytes("a1"))
        self.assertIn(b" 200 ", peer.recv(65_536))
        self.terminate()
        time.sleep(4.2)
        peer.sendall(request_bytes("a2"))
        answer = read_all(peer)
        self.assertIn(b" 200 ", answer.split(b"\r\n")[0])
        self.assertIn(b"connection: close", answer.lower())

    def test_nothing_goes_wrong_in_a_process_that_ends(self):
        # Readiness probes that arrive during the shutdown raise an exception,
        # as they go on until the listeners are closed.
        self.endpoint("one", slow(0))
        self.gateway()
        self.terminate()
        process = self.dep.process_by_name["gateway-1"]
        while process.poll() is None:
            self.is_ready("gateway-1")
        self.assertEqual(process.returncode, 0)
        self.assertNotIn("Traceback", self.dep.log_of("gateway-1"))

    def test_a_body_that_arrives_across_the_listeners_end_is_answered(self):
        # The process ends with a partly read request although time is left.
        self.endpoint("one", slow(0))
        front = self.gateway()
        self.terminate()
        time.sleep(1.3)
        host, _, port = front.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as caller:
            caller.sendall(
                b"POST /book/x HTTP/1.1\r\nAttempt-Id: a1\r\n"
                b"Host: shop.example\r\nContent-Length: 10\r\n\r\n12345"
            )
            time.sleep(0.9)
            caller.sendall(b"67890")
            status = caller.recv(65_536).partition(b" ")[2][:3]
        self.assertIn(status, (b"200", b"503"))

    def test_a_stopping_gateway_leaves_the_answers(self):
        self.endpoint("one", slow(0))
        self.gateway()
        self.assertEqual(len(self.addresses()), 1)
        self.terminate()
        bringup.wait_until(
            lambda: not self.is_ready("gateway-1"), what="not ready"
        )
        where = self.listen_by_name["gateway-1"]["directory"]
        answer = self.http.get(f"http://{where}/resolve")
        self.assertEqual(answer.status_code, 503)

    def test_serving_goes_on_while_the_store_is_away(self):
        # Callers get errors while the store is down for minutes, although the
        # last known state stays valid.
        self.endpoint("one", slow(0))
        front = self.gateway()
        for mode in ("busy", "silent"):
            self.set_store_mode(mode)
            time.sleep(2)
            self.assertEqual(self.ask(front, "/book/x").status_code, 200)
            self.assertTrue(self.is_ready("gateway-1"))
        self.set_store_mode("ok")
        self.publish(route("new", "app", "safe"))
        bringup.wait_until(
            lambda: self.ask(front, "/new/x").status_code == 200,
            what="the new route",
        )

    def test_a_new_configuration_is_in_force_within_two_seconds(self):
        self.endpoint("one", slow(0))
        front = self.gateway()
        self.publish(route("other", "app", "safe"))
        start = time.monotonic()
        bringup.wait_until(
            lambda: self.ask(front, "/other/x").status_code == 200,
            what="the new route",
        )
        self.assertLess(time.monotonic() - start, 2)
        self.assertEqual(self.ask(front, "/book/x").status_code, 404)

    def test_history_that_is_gone_is_read_anew(self):
        # A gateway misses changes because the store removed the history that
        # it had not read yet; only the newest records show them.
        self.endpoint("one", slow(0))
        front = self.gateway()
        for topic in ("keyed.op", "keyed.servers"):
            self.http.post(
                f"http://{self.store}/standin/forget", params={"topic": topic}
            )
        self.publish(route("new", "app", "safe"))
        bringup.wait_until(
            lambda: self.ask(front, "/new/x").status_code == 200,
            what="the new route",
        )

    def test_an_engine_that_leaves_gets_nothing_new(self):
        leaving = self.endpoint("one", slow(0))
        staying = self.endpoint("two", slow(0))
        front = self.gateway()
        self.register("one", leaving.address, state="draining")
        time.sleep(1.5)
        before = len(leaving.requests)
        for number in range(5):
            self.ask(front, "/book/x", f"a{number}")
        self.assertEqual(len(leaving.requests), before)
        self.assertEqual(len(staying.requests), 5)

    def test_without_a_configuration_requests_get_503(self):
        # A process that starts while the store is unavailable knows no route
        # and answers 404 for routes that operators have published.
        self.set_store_mode("busy")
        front = self.start_without_waiting()
        answer = self.until_listening(front)
        self.assertEqual(answer.status_code, 503)
        self.set_store_mode("ok")
        self.endpoint("one", slow(0))
        bringup.wait_until(
            lambda: self.ask(front, "/book/x").status_code == 200,
            what="service",
        )

    def until_listening(self, front):
        """Return the first answer of a gateway that has just started."""

        def ask():
            try:
                return self.ask(front, "/book/x")
            except httpx.HTTPError:
                return None

        return bringup.wait_until(ask, what="the gateway")
