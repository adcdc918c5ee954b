"""Streams that callers take up after gateways were killed and came back."""

import collections
import threading
import time

from standins import bringup
from tests.integration import gateway_base
from tests.integration import version_base

OLD = "v1"
NEW = "v1.1"
GATEWAYS = 4
# Gateways and their peers have heard that engines came or left.
SETTLE_SECONDS = 1.0
# What gateways write of a stream that began, they have written.
WRITTEN_SECONDS = 0.5
MAX_REFUSAL_SECONDS = 1.5
RETRY_SECONDS = 0.5
POLL_SECONDS = 0.02
# Engines that are idle share streams; enough begin at the version wanted.
MAX_ROUNDS = 8
STORE_DELAY_MS = 300
ORIGINS_TOPIC = "stream-origins"
# What the store answers for a topic without records.
EMPTY_TOPIC = bytes(16)


class VersionRestarts(version_base.VersionCase):
    """Gateways that lose what they knew of streams and versions."""

    stream_count = 40
    caller_count = 20
    event_seconds = 0.1

    def setUp(self):
        """Start without refusals of streams."""
        super().setUp()
        self.refusals = []

    def start_gateways(self):
        """Start the gateways beside the engines that there are."""
        self.fronts = self.gateways(GATEWAYS, budget_slack=400)
        self.names = list(self.listen_by_name)

    def begin(self, version=None, gateways=GATEWAYS):
        """Begin streams at the first gateways; their callers leave.

        With ``version``, only those that began at it count.
        """
        found = []
        for serial in range(MAX_ROUNDS):
            streams = [
                version_base.Stream(
                    f"first-{serial}-{number}", number % gateways
                )
                for number in range(self.stream_count)
            ]
            self.run_streams(
                lambda _, stream: self.send(
                    self.fronts[stream.begun_at],
                    stream,
                    stream.name,
                    version_base.FIRST_EVENTS,
                    WRITTEN_SECONDS,
                ),
                streams,
            )
            found += [
                stream
                for stream in streams
                if stream.rows and version in (None, *stream.versions)
            ]
            if len(found) >= self.stream_count:
                return found[: self.stream_count]
        self.fail(f"only {len(found)} streams began at {version}")

    def other_front(self, number, stream):
        """Return a gateway that didn't begin the stream, in turn."""
        shift = 1 + number // GATEWAYS % (GATEWAYS - 1)
        return self.fronts[(stream.begun_at + shift) % GATEWAYS]

    def return_once(self, front, stream, serial=1):
        """Take a stream up; note the refusal, if it is one."""
        start = time.monotonic()
        status = self.send(front, stream, f"{stream.name}-{serial}")
        if status != 200:
            self.refusals.append((status, time.monotonic() - start))
        return status

    def take_up_elsewhere(self, streams):
        """Take all streams up once, each at another gateway."""
        self.run_streams(
            lambda number, stream: self.return_once(
                self.other_front(number, stream), stream
            ),
            streams,
        )

    def kill(self, names):
        """Kill gateways at once."""
        for name in names:
            self.dep.process_by_name[name].kill()
        for name in names:
            self.dep.wait_end(name)

    def start_again(self, names):
        """Start gateways that were killed, at the same addresses."""
        for name in names:
            self.dep.start(name)

    def wait_ready(self, names):
        """Wait until gateways are ready."""
        for name in names:
            bringup.wait_until(
                lambda name=name: self.is_ready(name), what=name
            )

    def lose(self, names=None):
        """Kill gateways, by default all, and let them come back."""
        names = names or self.names
        self.kill(names)
        self.start_again(names)
        self.wait_ready(names)

    def leave(self, engines):
        """Close engines and remove their records."""
        for name, engine in engines.items():
            self.put(gateway_base.ENDPOINTS_TOPIC, name, b"")
            engine.close()

    def begin_at_old_of_two(self, gateways=GATEWAYS):
        """Begin streams at the older of two versions; return its engines."""
        old = self.add_engines(OLD)
        self.add_engines(NEW)
        self.start_gateways()
        return old, self.begin(OLD, gateways)

    def begin_at_both(self):
        """Begin streams at two versions that both go on serving."""
        self.add_engines(OLD)
        self.add_engines(NEW)
        self.start_gateways()
        streams = self.begin()
        begun = set().union(*(stream.versions for stream in streams))
        self.assertEqual(begun, {OLD, NEW})
        return streams

    def outcome(self, streams):
        """Return how many streams are of two versions, and how many whole."""
        for stream in streams:
            expected = list(range(1, len(stream.rows) + 1))
            self.assertEqual(stream.numbers, expected)
        mixed = sum(len(stream.versions) > 1 for stream in streams)
        return mixed, sum(stream.is_complete for stream in streams)

    def check_refused(self, streams, max_mixed=version_base.MAX_MIXED):
        """Check that streams whose version left were refused at once."""
        mixed, whole = self.outcome(streams)
        self.assertLessEqual(mixed, max_mixed, f"{whole} went on")
        self.assertGreaterEqual(len(self.refusals), len(streams) - mixed)
        self.assertEqual({status for status, _ in self.refusals}, {503})
        slowest = max(seconds for _, seconds in self.refusals)
        self.assertLess(slowest, MAX_REFUSAL_SECONDS)

    def check_resumed(self, streams):
        """Check that streams went on, each at its version."""
        mixed, whole = self.outcome(streams)
        statuses = collections.Counter(status for status, _ in self.refusals)
        said = f"{mixed} mixed; {whole} went on; refused: {statuses}"
        self.assertLessEqual(mixed, version_base.MAX_MIXED, said)
        least = version_base.MIN_RESUMED * len(streams)
        self.assertGreaterEqual(whole, least, said)

    def test_versions_that_left_before_all_gateways_are_killed(self):
        # Guards against an origin that is concluded from what serves now.
        old, streams = self.begin_at_old_of_two()
        self.leave(old)
        time.sleep(SETTLE_SECONDS)
        self.lose()
        self.take_up_elsewhere(streams)
        self.check_refused(streams)

    def test_versions_that_leave_while_all_gateways_are_down(self):
        # Guards against a departure that no gateway saw.
        old, streams = self.begin_at_old_of_two()
        self.kill(self.names)
        self.leave(old)
        self.start_again(self.names)
        self.wait_ready(self.names)
        self.take_up_elsewhere(streams)
        self.check_refused(streams)

    def test_gateways_that_are_killed_one_after_another(self):
        # Guards against knowledge that nobody hands to those that come back.
        old, streams = self.begin_at_old_of_two()
        self.leave(old)
        time.sleep(SETTLE_SECONDS)
        for name in self.names:
            self.lose([name])
        self.take_up_elsewhere(streams)
        self.check_refused(streams)

    def test_newcomers_that_answer_before_a_gateway_that_knows(self):
        # Guards against two answers of newcomers that outvote a survivor.
        old, streams = self.begin_at_old_of_two(GATEWAYS - 1)
        self.leave(old)
        time.sleep(SETTLE_SECONDS)
        self.lose(self.names[:-1])
        self.take_up_elsewhere(streams)
        self.check_refused(streams)

    def test_all_gateways_that_are_killed_twice(self):
        # Guards against knowledge that outlasts one loss only.
        old, streams = self.begin_at_old_of_two()
        self.leave(old)
        time.sleep(SETTLE_SECONDS)
        self.lose()
        self.lose()
        self.take_up_elsewhere(streams)
        self.check_refused(streams)

    def test_engines_back_at_another_version_while_gateways_are_down(self):
        # Guards against a second version that replaces the first unseen.
        engines = self.add_engines(OLD)
        self.start_gateways()
        streams = self.begin(OLD)
        self.kill(self.names)
        for name, engine in engines.items():
            self.restart(engine, NEW)
            self.register(
                name,
                engine.address,
                "model",
                stage="decode",
                version=NEW,
                born=version_base.RESTARTED_BORN,
            )
        self.start_again(self.names)
        self.wait_ready(self.names)
        self.take_up_elsewhere(streams)
        self.check_refused(streams)

    def test_streams_of_two_versions_that_serve_go_on(self):
        # Guards against refusals of streams whose version serves.
        streams = self.begin_at_both()
        self.lose()
        self.take_up_elsewhere(streams)
        self.check_resumed(streams)

    def test_streams_of_the_only_version_ever_go_on_unwritten(self):
        # Guards against refusals and writes where one version served only.
        self.add_engines(OLD)
        self.start_gateways()
        streams = self.begin()
        self.lose()
        self.take_up_elsewhere(streams)
        self.check_resumed(streams)
        answer = self.http.get(
            f"http://{self.store}/log-read",
            params={"topic": ORIGINS_TOPIC, "part": 0, "from": 0},
        )
        self.assertEqual(answer.content, EMPTY_TOPIC)

    def test_streams_of_two_versions_go_on_beside_a_slow_store(self):
        # Guards against origins that a slow store keeps from those that ask.
        streams = self.begin_at_both()
        self.kill(self.names)
        self.set_store_mode("ok", delay_ms=STORE_DELAY_MS)
        self.start_again(self.names)
        self.wait_ready(self.names)
        self.take_up_elsewhere(streams)
        self.check_resumed(streams)

    def test_callers_that_return_while_gateways_still_read(self):
        # Guards against conclusions from what has been read so far.
        old, streams = self.begin_at_old_of_two()
        self.leave(old)
        time.sleep(SETTLE_SECONDS)
        self.kill(self.names)
        self.caller_count = self.stream_count
        is_over = threading.Event()
        callers = threading.Thread(
            target=self.take_up_until, args=(is_over, streams)
        )
        callers.start()
        try:
            self.start_again(self.names)
            self.wait_ready(self.names)
            time.sleep(SETTLE_SECONDS)
        finally:
            is_over.set()
            callers.join()
        self.check_refused(streams, max_mixed=0)

    def take_up_until(self, is_over, streams):
        """Take streams up from the first connection on until told."""

        def work(number, stream):
            front = self.other_front(number, stream)
            serial = 0
            while not is_over.is_set():
                if not self._accepts_connections(front):
                    is_over.wait(POLL_SECONDS)
                    continue
                serial += 1
                if self.return_once(front, stream, serial) == 200:
                    return
                is_over.wait(RETRY_SECONDS)

        self.run_streams(work, streams)
