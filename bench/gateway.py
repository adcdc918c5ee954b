"""What a gateway costs: processor time per request, event and datagram.

Usage:
  gateway [--requests=N] [--profile=FILE]

Options:
  --requests=N    Requests of each kind [default: 300].
  --profile=FILE  Run the gateway under cProfile and write FILE.

One real gateway on loopback, with scripted endpoints.  Prints microseconds
of processor time (user and system) of the gateway's process.
"""

import os
import pathlib
import socket
import time

import docopt

from clementinewall.gateway import peer_messages
from clementinewall.policy import prefill_queue
from standins import scripted
from tests.integration import gateway_base
from tests.integration import test_gateway_streams as streams

EVENTS = 40
EVENT_INTERVAL_SECONDS = 0.004
IDLE_SECONDS = 5.0
DATAGRAMS = 3_000
DATAGRAM_GAP_SECONDS = 0.0005
PEER_IP = "127.0.0.9"
TICKS = os.sysconf("SC_CLK_TCK")


class _Case(gateway_base.GatewayCase):
    """Brings up a store, a gateway and endpoints outside of a test."""

    profile = None

    def runTest(self):
        """Do nothing: only the set-up of the test case is used."""

    def bring_up(self):
        """Start all parts; return the address for callers."""
        self.setUp()
        self.publish(
            gateway_base.route("look", "app", "safe"),
            gateway_base.route("chat", "model", "stream", resumable=True),
        )
        self.endpoint("app", lambda _e, request: [scripted.answer(request)])
        self.endpoint("engine", _stream, "model", stage="decode")
        start = self.dep.start
        if self.profile:
            self.dep.start = lambda name, *words: start(
                name, "cProfile", "-o", self.profile, "-m", *words
            )
        front = self.gateway()
        self.dep.start = start
        return front

    def cpu_us(self):
        """Return the processor time of the gateway so far, in microseconds."""
        pid = self.dep.process_by_name["gateway-1"].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS * 1e6


def _stream(_endpoint, request):
    """Answer with as many events as the request asks for."""
    yield scripted.stream_head(request)
    for number in range(1, int(request.body or 1) + 1):
        yield scripted.chunk(scripted.event(number, "x" * 80))
        yield EVENT_INTERVAL_SECONDS
    yield scripted.chunk(b"")


class _CpuMeter:
    """Measures the processor time that work adds to an idle gateway."""

    def __init__(self, case):
        self._case = case
        start = case.cpu_us()
        time.sleep(IDLE_SECONDS)
        self.idle_us_per_second = (case.cpu_us() - start) / IDLE_SECONDS

    def us_per_item(self, work, count):
        """Return the microseconds that each of ``count`` items adds."""
        start = self._case.cpu_us()
        began = time.monotonic()
        work(count)
        idle_us = (time.monotonic() - began) * self.idle_us_per_second
        return (self._case.cpu_us() - start - idle_us) / count


def _datagram_work(port):
    """Return a function that sends a number of peer state datagrams."""
    now = time.monotonic_ns() // 1_000_000
    jobs = (prefill_queue.Job(1, 33.0, now),) * 2
    work = {f"i-{n:08x}": peer_messages.Work(jobs, 4, now) for n in range(4)}
    heartbeat = peer_messages.Heartbeat(
        PEER_IP, f"{PEER_IP}:1", "a", True, now
    )
    state = peer_messages.GatewayState(heartbeat, work, {})
    raw = peer_messages.dump(
        {
            "state": peer_messages.encode_state(state, now),
            "read": [],
            "marks": [],
        }
    )

    def send(count):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((PEER_IP, 0))
            for _ in range(count):
                sender.sendto(raw, ("127.0.0.1", port))
                time.sleep(DATAGRAM_GAP_SECONDS)

    return send


def _request_work(case, front, path, body):
    headers = dict(streams.MODEL_HEADERS, content=body)

    def send(count):
        for number in range(count):
            answer = case.ask(front, path, f"{path}{number}", **headers)
            answer.raise_for_status()

    return send


def measure(requests, profile=None):
    """Return microseconds of processor time by kind of work."""
    case = _Case()
    case.profile = profile
    try:
        front = case.bring_up()
        meter = _CpuMeter(case)
        plain = _request_work(case, front, "/look/x", b"")
        short = _request_work(case, front, "/chat/x", b"1")
        long = _request_work(case, front, "/chat/x", b"%d" % EVENTS)
        short_us = meter.us_per_item(short, requests)
        long_us = meter.us_per_item(long, requests // 5)
        us_by_work = {
            "a second at rest": meter.idle_us_per_second,
            "a plain call": meter.us_per_item(plain, requests),
            "a stream of one event": short_us,
            "a further event": (long_us - short_us) / (EVENTS - 1),
            "a datagram": meter.us_per_item(
                _datagram_work(case._peer_port()), DATAGRAMS
            ),
        }
        case.terminate()
        case.dep.process_by_name["gateway-1"].wait(20)
        return us_by_work
    finally:
        case.doCleanups()


def main():
    """Measure and print."""
    options = docopt.docopt(__doc__)
    us_by_work = measure(int(options["--requests"]), options["--profile"])
    for name, micros in us_by_work.items():
        print(f"{name:24} {micros:10.0f} us")


if __name__ == "__main__":
    main()
