"""Calls that are repeated while their answer is overdue.

Whoever waits for an answer can't tell a late one from a lost one.  So a call
whose answer is overdue is sent once more on another connection, and the
earlier one stays open: the first answer counts, whichever call it is to.  A
peer that is slow thus answers each call however slow it is, and a peer that
lost an answer is asked again soon.
"""

import math
import random
import typing

import anyio

from clementinewall import clock
from clementinewall import logs

_log = logs.PartLog("http")

# An answer that takes longer is overdue, unless answers have been slow.
MIN_OVERDUE_MS = 700
MAX_OVERDUE_MS = 6_000
OVERDUE_FACTOR = 1.5
# The time between two repeats of a call, unless answers have been slow.
REPEAT_INTERVAL_MS = 1_400
# Until a peer has answered for the first time the intervals double, less a
# random part: all may have started at once, and a peer that can't keep up with
# their calls and repeats would never answer any of them in time.
MAX_FIRST_INTERVAL_MS = 5_600
FIRST_JITTER = 0.25
# Of them the first one, which is answered first by a peer that works off its
# calls in turn, and the latest.
MAX_OPEN_CALLS = 3
# A call that gets no answer at all fails after this time.
LIMIT_MS = 10_000
# A peer that hasn't answered yet is waited for longer, since a call that is
# made anew loses its turn.
FIRST_LIMIT_MS = 30_000
# Each quick answer takes this fraction off what slow answers have taken.
DECAY = 1 / 8


class AnswerTimes:
    """How long the answers of one peer take."""

    def __init__(self):
        """Start with a peer that answers at once."""
        self._typical_ms = 0.0
        # Whether there has been an answer.
        self.is_known = False

    def record(self, took_ms):
        """Record the time of an answer, or that after which there was none."""
        self.is_known = True
        decayed_ms = self._typical_ms + DECAY * (took_ms - self._typical_ms)
        self._typical_ms = max(took_ms, decayed_ms)

    def overdue_ms(self):
        """Return after which time an answer is overdue."""
        expected_ms = OVERDUE_FACTOR * self._typical_ms
        return max(MIN_OVERDUE_MS, min(expected_ms, MAX_OVERDUE_MS))


class Unanswered(Exception):
    """No answer came to any of the calls."""


class _OpenCall(typing.NamedTuple):
    """A call that was sent; ``wait_ms`` is asked for by the call itself."""

    started_at: clock.Millis
    wait_ms: clock.Millis
    scope: anyio.CancelScope


class RepeatedCall:
    """One call and its repeats."""

    def __init__(
        self, send, failures, times, now, wait_ms=0, max_repeat_ms=math.inf
    ):
        """Repeat ``send(wait_ms)``, which returns the answer.

        It raises an error of the type ``failures`` if it was refused or broke
        off.  ``times`` are those of earlier answers.  The first call lets the
        peer hold its answer back for ``wait_ms``; repeats don't.  The call
        is repeated after ``max_repeat_ms`` at the latest, also if answers
        have been slow.
        """
        self._max_repeat_ms = max_repeat_ms
        self._send = send
        self._failures = failures
        self._times = times
        self._now = now
        self._wait_ms = wait_ms
        self._open = []
        self._ended = anyio.Event()
        self._answer = None
        self._failure = None
        # How long the answer took, besides the time that was asked for.
        self.late_ms = 0

    async def run(self, on_overdue):
        """Return the first answer.

        ``on_overdue()`` is called when the first call is overdue.

        :raises Unanswered: none came in time.
        :raises Exception: the failure of a call if no other one is open.
        """
        first_at = self._now()
        overdue_ms = min(self._times.overdue_ms(), self._max_repeat_ms)
        intervals_ms = self._intervals_ms(overdue_ms)
        limit_ms = LIMIT_MS if self._times.is_known else FIRST_LIMIT_MS
        async with anyio.create_task_group() as group:
            self._begin(group, self._wait_ms)
            if not await self._is_ended_after(self._wait_ms + overdue_ms):
                on_overdue()
            end = first_at + self._wait_ms + limit_ms
            while not self._ended.is_set() and self._now() < end:
                self._begin(group, 0)
                await self._is_ended_after(next(intervals_ms))
            has_ended = self._ended.is_set()
            group.cancel_scope.cancel()
        if not has_ended:
            raise Unanswered
        if self._failure is not None:
            raise self._failure
        return self._answer

    def _intervals_ms(self, overdue_ms):
        """Yield the time from each repeat to the next."""
        longest_ms = self._max_repeat_ms
        repeat_ms = min(max(REPEAT_INTERVAL_MS, overdue_ms), longest_ms)
        while self._times.is_known:
            yield repeat_ms
        while True:
            yield random.uniform(1 - FIRST_JITTER, 1) * repeat_ms
            doubled_ms = min(2 * repeat_ms, MAX_FIRST_INTERVAL_MS)
            repeat_ms = min(max(doubled_ms, overdue_ms), longest_ms)

    async def _is_ended_after(self, ms):
        with anyio.move_on_after(clock.seconds(ms)):
            await self._ended.wait()
        return self._ended.is_set()

    def _begin(self, group, wait_ms):
        if len(self._open) == MAX_OPEN_CALLS:
            self._open.pop(1).scope.cancel()
        call = _OpenCall(self._now(), wait_ms, anyio.CancelScope())
        self._open.append(call)
        group.start_soon(self._run_one, call)

    async def _run_one(self, call):
        with call.scope:
            try:
                answer = await self._send(call.wait_ms)
            except self._failures as exc:
                self._end_failed(call, exc)
                return
            took_ms = self._now() - call.started_at
            late_ms = max(0, took_ms - call.wait_ms)
            self._times.record(late_ms)
            if not self._ended.is_set():
                self._answer = answer
                self.late_ms = late_ms
                self._ended.set()

    def _end_failed(self, call, failure):
        if call in self._open:
            self._open.remove(call)
        if self._open or self._ended.is_set():
            # An earlier call may still be answered, or has been.
            _log.debug("a repeated call failed", why=str(failure))
            return
        self._failure = failure
        self._ended.set()
