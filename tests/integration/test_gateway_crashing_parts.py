"""A part of prompts that crashes each engine that writes an answer on it."""

import itertools
import random
import time

import httpx

from standins import scripted
from tests.integration import base
from tests.integration import test_gateway_crashing

GATEWAYS = test_gateway_crashing.GATEWAYS
ENGINES = 6
CALLERS = 20
SUBJECTS = 12
EVENTS = 6
EVENT_SECONDS = 0.03
# From when an engine has begun to write until it crashes.
CRASH_SECONDS = 0.08
HARMFUL_GAP_SECONDS = 0.25
CALM_SECONDS = 3.0
HARMFUL_SECONDS = 13.0
# From this time after the fifth crash on, further requests are counted.
KNOWN_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
# From this time after the last of five crashes on, sound requests are judged.
RECOVERY_SECONDS = 6.0
MIN_SOUND_FRACTION = 0.5
FIRST = "f1"
HARMFUL = "bad"


class Engine(test_gateway_crashing.Engine):
    """An engine that ends when it writes on the harmful part."""

    restart_seconds = 2.0

    def _script(self, _endpoint, request):
        headers = request.header_by_name
        if "attempt-id" not in headers:
            yield scripted.answer(request, b"", 404)
            return
        is_harmful = f"{HARMFUL}:" in headers["prompt-prefix"]
        if is_harmful:
            self._case.arrivals.append(time.monotonic())
        yield scripted.stream_head(request)
        if is_harmful:
            if self._case.writes_first_event:
                yield scripted.chunk(scripted.event(1))
            yield CRASH_SECONDS
            self._crash()
        last = int(headers.get("last-event-id", 0))
        for number in range(last + 1, EVENTS + 1):
            if self._crashed.is_set():
                break
            yield scripted.chunk(scripted.event(number))
            yield EVENT_SECONDS
        yield scripted.RESET if self._crashed.is_set() else scripted.chunk(b"")


class CrashingParts(test_gateway_crashing.CrashingEngines):
    """Gateways that get requests with such a part, no two of them alike."""

    def setUp(self):
        """Start engines and gateways."""
        super().setUp()
        self.outcomes = []
        self.writes_first_event = False
        self._is_harmful_first = False
        self.start_engines(Engine, ENGINES)

    def send(self, number, attempt, *parts):
        """Send a stream's request; return whether it began."""
        prefix = ",".join(f"{part}:40" for part in (*parts, attempt))
        try:
            answer = self.ask(
                self.fronts[number % GATEWAYS],
                "/chat/x",
                attempt,
                content=attempt.encode(),
                Model="m",
                Token_Usage="160,20",
                Prompt_Prefix=prefix,
                Deadline_Ms="3000",
            )
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    def send_sound(self, caller):
        """Send sound requests, each at the next gateway."""
        rng = random.Random(caller)
        for number in itertools.count(caller):
            if self._stop.is_set():
                return
            subject = f"s{rng.randrange(SUBJECTS)}"
            at = time.monotonic()
            began = self.send(number, f"a{caller}x{number}", FIRST, subject)
            self.outcomes.append((at, began))
            time.sleep(0.05)

    def send_harmful(self):
        """Send requests with the harmful part, no two of them alike."""
        pending = []
        end = time.monotonic() + HARMFUL_SECONDS
        for number in itertools.count():
            if time.monotonic() >= end:
                break
            own = f"b{number}"
            parts = (FIRST, HARMFUL, f"s{number % SUBJECTS}")
            if self._is_harmful_first:
                parts = (HARMFUL, f"s{number % SUBJECTS}")
            pending.append(base.Background(self.send, [(number, own, *parts)]))
            time.sleep(HARMFUL_GAP_SECONDS)
        for one in pending:
            one.join()

    def share(self, start, end):
        """Return the share of sound requests of some time that began."""
        judged = [began for at, began in self.outcomes if start <= at < end]
        self.assertGreater(len(judged), 20)
        return sum(judged) / len(judged)

    def check(self):
        """Check that few engines end, and that sound requests are served."""
        callers = base.Background(
            self.send_sound, [(number,) for number in range(CALLERS)]
        )
        time.sleep(CALM_SECONDS)
        began = time.monotonic()
        self.send_harmful()
        ended = time.monotonic()
        self.stop(callers)
        self.assertGreater(len(self.crashes), 0)
        fifth = self.crashes[:5][-1]
        late = [at for at in self.arrivals if at > fifth + KNOWN_SECONDS]
        before = self.share(began - CALM_SECONDS, began)
        after = self.share(fifth + RECOVERY_SECONDS, ended)
        seen = f"{len(self.crashes)} crashes, {before:.2f}, {after:.2f}"
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, seen)
        self.assertGreaterEqual(after, MIN_SOUND_FRACTION * before, seen)

    def test_a_part_that_crashes_engines_is_kept_from_them(self):
        # Guards against crash records of requests, of which no two are alike.
        self.check()

    def test_a_part_that_crashes_engines_after_an_event_is_kept(self):
        # Guards against a part that a first event clears.
        self.writes_first_event = True
        self.check()

    def test_a_first_part_that_crashes_engines_is_kept_from_them(self):
        # Guards against taking the first part of a prompt for sound always.
        self._is_harmful_first = True
        self.check()
