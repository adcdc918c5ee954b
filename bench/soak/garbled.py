"""What endpoints send beside or in place of their answers.

Second answers come late, where the next answer is expected, the one to a call
of a gateway's own as well.  Endless ones are no answer; endpoints that send
them reset the connection in the end.
"""

import threading
import time

from standins import scripted

SECONDS = (2.0, 6.0)
SECOND_FRACTION = 0.6
ENDLESS_FRACTION = 0.3
# Engines keep one such call waiting and refuse any other.
CACHE_CALL_SECONDS = 0.1
REFUSAL = b"HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
PIECE = b"x" * 16_000
PIECES = 600
PIECE_SECONDS = 0.005


def _odd_status(_request):
    yield b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"


def _no_status_line(_request):
    yield PIECE


def _header_line(_request):
    yield b"HTTP/1.1 200 OK\r\nX-Long: "


def _body(request):
    head = scripted.answer(request, b"")
    yield head.replace(b"Content-Length: 0\r\n", b"")


def _refusal(request):
    head = scripted.answer(request, b"", 500)
    yield head.replace(b"Content-Length: 0\r\n", b"")


def _chunk_size(request):
    yield scripted.stream_head(request)
    yield b"0" * len(PIECE)


BEGINNINGS = (
    _odd_status,
    _no_status_line,
    _header_line,
    _body,
    _refusal,
    _chunk_size,
)


class Garbler:
    """The wrong bytes of one endpoint, for as long as it is told."""

    def __init__(self, rng):
        """Start with none."""
        self._rng = rng
        self._second_until = 0.0
        self._endless_until = 0.0
        self._cache_calls = threading.Lock()
        # Each connection has a thread.
        self._connection = threading.local()
        self.second_answers = 0
        self.endless_answers = 0

    def send_second_answers(self, seconds):
        """Send some answers a second time for a while."""
        self._second_until = time.monotonic() + seconds

    def send_endless_answers(self, seconds):
        """Send bytes without end in place of some answers for a while."""
        self._endless_until = time.monotonic() + seconds

    def is_endless(self):
        """Tell whether the next answer is one without end."""
        is_on = time.monotonic() < self._endless_until
        return is_on and self._rng.random() < ENDLESS_FRACTION

    def endless(self, request):
        """Yield the steps of an answer without end."""
        self.endless_answers += 1
        yield from self._rng.choice(BEGINNINGS)(request)
        for _ in range(PIECES):
            yield PIECE
            yield PIECE_SECONDS
        yield scripted.RESET

    def beside(self, steps):
        """Yield the steps of an answer, perhaps after an earlier answer."""
        last = getattr(self._connection, "last_answer", None)
        self._connection.last_answer = None
        is_on = time.monotonic() < self._second_until
        if last and is_on and self._rng.random() < SECOND_FRACTION:
            self.second_answers += 1
            yield last
        parts = []
        for step in steps:
            if isinstance(step, bytes):
                parts.append(step)
            yield step
        self._connection.last_answer = b"".join(parts)

    def tell_cache(self, endpoint, request):
        """Yield the steps of the answer to a call for the cache."""
        yield from self.beside(self._cache_steps(endpoint, request))

    def _cache_steps(self, endpoint, request):
        if not self._cache_calls.acquire(blocking=False):
            yield CACHE_CALL_SECONDS
            yield REFUSAL
            return
        try:
            yield CACHE_CALL_SECONDS
            yield scripted.answer(
                request,
                scripted.cache_answer(endpoint, request),
                Keep_Alive="timeout=5",
            )
        finally:
            self._cache_calls.release()


def send_second(deployment, rng):
    """Let some endpoints send second answers."""
    names = sorted(deployment.backend_by_name)
    names = rng.sample(names, rng.randint(1, len(names)))
    seconds = rng.uniform(*SECONDS)
    deployment.record_fault(
        f"{', '.join(names)} send second answers for {seconds:.1f} s"
    )
    for name in names:
        backend = deployment.backend_by_name.get(name)
        if backend is not None:
            backend.garbler.send_second_answers(seconds)


def send_endless(deployment, rng):
    """Let an endpoint send bytes without end."""
    name = rng.choice(sorted(deployment.backend_by_name))
    seconds = rng.uniform(*SECONDS)
    backend = deployment.backend_by_name.get(name)
    if backend is None:
        return
    deployment.record_fault(f"{name} sends without end for {seconds:.1f} s")
    # Until the last one has ended.
    longest = PIECES * PIECE_SECONDS + max(SECONDS)
    deployment.history.record_disturbance("endless", name, longest + seconds)
    backend.garbler.send_endless_answers(seconds)


KINDS = {"endless-answers": send_endless, "second-answers": send_second}
