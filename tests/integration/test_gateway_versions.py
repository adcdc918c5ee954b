"""Streams beside engines of several software versions."""

import time

from standins import bringup
from standins import scripted
from tests.integration import gateway_base
from tests.integration import version_base

VERSIONS = ("v1", "v1.1", "v1.2")
GATEWAYS = 3
RETURN_SECONDS = 0.15
# The shortest time after which a crashed engine is back.
RESTART_SECONDS = 1.5

EVENTS = version_base.EVENTS
FIRST_EVENTS = version_base.FIRST_EVENTS
Stream = version_base.Stream


class Versions(version_base.VersionCase):
    """Engines of several versions; callers that take streams up again."""

    def take_up_all(self, fronts, streams):
        """Take all streams up again at ``fronts``."""

        def work(number, stream):
            front = fronts[number % len(fronts)]
            self.send(front, stream, f"{stream.name}-1")

        self.run_streams(work, streams)

    def take_up(self, fronts, number, stream, again):
        """Take a stream up at other gateways, ``again`` times."""
        for serial in range(1, again + 1):
            time.sleep(RETURN_SECONDS)
            front = fronts[(number + serial) % len(fronts)]
            upto = EVENTS if serial == again else FIRST_EVENTS
            self.send(front, stream, f"{stream.name}-{serial}", upto)

    def check_broken_off(self):
        """Check streams that their first engines break off."""
        for version in VERSIONS:
            self.add_engines(version)
        front = self.gateway(budget_slack=400)
        self.is_breaking = True
        self.check(self.run_streams(lambda _, s: self.send(front, s, s.name)))

    def test_a_stream_that_breaks_goes_on_at_its_version(self):
        # Guards against answers that join events of two versions.
        self.check_broken_off()

    def test_a_stream_goes_on_at_its_version_with_separate_prefill(self):
        # Guards against a version that a prefill on another engine decides.
        self.add_prefill_engines()
        self.check_broken_off()

    def add_prefill_engines(self):
        """Start two engines that only prefill."""

        def script(_endpoint, request):
            body = b'{"cache_handle":"h","token_count":1,"version":1}'
            yield scripted.answer(request, body)

        for name in ("prefill-1", "prefill-2"):
            self.endpoint(name, script, "model", stage="prefill", version="v1")

    def check_returns(self, times):
        """Check streams that their callers take up elsewhere some times."""
        for version in VERSIONS:
            self.add_engines(version)
        fronts = self.gateways(GATEWAYS, budget_slack=400)

        def work(number, stream):
            front = fronts[number % GATEWAYS]
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.take_up(fronts, number, stream, times)

        self.check(self.run_streams(work))

    def test_a_caller_that_returns_elsewhere_gets_its_version(self):
        # Guards against gateways that don't know what others began.
        self.check_returns(1)

    def test_a_caller_that_returns_twice_gets_its_version(self):
        # Guards against a version that is kept for one return only.
        self.check_returns(2)

    def test_callers_of_a_killed_gateway_get_their_versions(self):
        # Guards against versions that only the gateway that began knows.
        for version in VERSIONS:
            self.add_engines(version)
        fronts = self.gateways(GATEWAYS, budget_slack=400)
        streams = self.run_streams(
            lambda _, s: self.send(fronts[0], s, s.name, FIRST_EVENTS)
        )
        self.dep.kill("gateway-1")
        self.take_up_all(fronts[1:], streams)
        self.check(streams)

    def test_streams_begun_at_the_only_version_stay_there(self):
        # Guards against versions that nobody told while there was only one.
        self.add_engines("v1")
        fronts = self.gateways(GATEWAYS, budget_slack=400)
        streams = self.run_streams(
            lambda _, s: self.send(fronts[0], s, s.name, FIRST_EVENTS)
        )
        for version in VERSIONS[1:]:
            self.add_engines(version)
        time.sleep(1.5)
        self.take_up_all(fronts[1:], streams)
        self.check(streams)

    def test_a_stream_whose_version_is_gone_is_refused_at_once(self):
        # Guards against events of another version, and against a long wait.
        engines = self.add_engines("v1")
        front = self.gateway(budget_slack=400)
        stream = Stream("first")
        self.send(front, stream, stream.name, FIRST_EVENTS)
        self.add_engines("v2")
        for name, engine in engines.items():
            self.put(gateway_base.ENDPOINTS_TOPIC, name, b"")
            engine.close()
        bringup.wait_until(
            lambda: self.send(front, Stream("new"), "new") == 200,
            what="a stream at the new version",
        )
        time.sleep(1)
        began = time.monotonic()
        status = self.send(front, stream, "second")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual(len(stream.rows), FIRST_EVENTS)

    def test_an_engine_restarted_at_another_version_is_recognized(self):
        # Guards against the version of an earlier process under the same id.
        self.add_engines("v1", 1)
        self.add_engines("v2", 1)
        [old] = self.add_engines("v1", 1).values()
        front = self.gateway(budget_slack=400)
        stream = Stream("first")
        self.send(front, stream, stream.name, FIRST_EVENTS)
        self.assertEqual(len(stream.rows), FIRST_EVENTS)
        # The gateway learns nothing more: the record stays that of v1.
        self.set_store_mode("silent")
        self.restart(old, "v2")
        self.check_streams_that_return(front)

    def test_the_first_engine_of_a_second_version_is_recognized(self):
        # Guards against the version of a record that the engine's next process
        # hasn't replaced yet, while nobody knows of another version.
        engines = self.add_engines("v1")
        fronts = self.gateways(GATEWAYS, budget_slack=400)
        for front in fronts:
            stream = Stream(f"early at {front}")
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.assertEqual(len(stream.rows), FIRST_EVENTS)
        old = list(engines.values())[-1]
        self.restart(old, "v2", RESTART_SECONDS)
        self.check_streams_that_return(*fronts)

    def check_streams_that_return(self, *fronts):
        """Check streams whose callers take them up at once."""

        def work(number, stream):
            front = fronts[number % len(fronts)]
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.send(front, stream, f"{stream.name}-1")

        self.check(self.run_streams(work))
