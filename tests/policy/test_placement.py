"""Where requests for models go, as a pure decision."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import engine_time
from clementinewall.policy import placement


def engine(name, prefill=False, **more):
    """Return an engine without work."""
    row = {
        "wait_ms": 0.0,
        "streams": 0,
        "slots": 96,
        "cached": 0,
    }
    row.update(more)
    return placement.Engine(name, prefill, **row)


def demand(tokens, goal_ms=400, **more):
    """Return a demand at its arrival."""
    return placement.Demand(tokens, goal_ms, goal_ms, **more)


class Choose(unittest.TestCase):
    """``choose`` under the loads that it is meant for."""

    def test_long_prompt_is_read_apart(self):
        fleet = [engine("p", True), engine("d", streams=30)]
        way = placement.choose(fleet, demand(12_000))
        self.assertEqual((way.prefill, way.decode), ("p", "d"))

    def test_short_prompt_is_read_where_it_decodes(self):
        # Moving its memory and a second hop take longer than reading it.
        fleet = [engine("p", True), engine("d", streams=30)]
        way = placement.choose(fleet, demand(250, 200))
        self.assertIsNone(way.prefill)

    def test_short_prompt_avoids_a_busy_reader(self):
        fleet = [engine("p", True, wait_ms=30), engine("d", streams=30)]
        way = placement.choose(fleet, demand(600, 200))
        self.assertIsNone(way.prefill)

    def test_prompt_goes_where_its_beginning_is_cached(self):
        fleet = [
            engine("p1", True),
            engine("p2", True, cached=5_000),
            engine("d"),
        ]
        way = placement.choose(fleet, demand(12_000))
        self.assertEqual(way.prefill, "p2")

    def test_a_busy_cache_is_left(self):
        # Everybody's shared catalogue is cached at one engine.  Sent there
        # only, prompts would wait while another engine has nothing to do.
        fleet = [
            engine("p1", True),
            engine("p2", True, cached=5_000, wait_ms=300),
            engine("d", streams=60),
        ]
        way = placement.choose(fleet, demand(12_000))
        self.assertEqual(way.prefill, "p1")

    def test_what_would_come_late_is_refused_at_once(self):
        fleet = [engine("p", True, wait_ms=500), engine("d", wait_ms=500)]
        refused = placement.choose(fleet, demand(6_000))
        self.assertIsInstance(refused, placement.Refusal)
        self.assertGreater(refused.retry_ms, 0)

    def test_short_prompts_are_taken_late(self):
        # Refusing a prompt of 4 ms frees nothing for others; its caller
        # would get nothing instead of a late answer.
        fleet = [engine("p", True, wait_ms=250), engine("d", wait_ms=250)]
        way = placement.choose(fleet, demand(600, 200))
        self.assertIsInstance(way, placement.Option)

    def test_the_largest_prompts_are_served_too(self):
        # A prompt that takes longer than its target even on an idle engine
        # would be refused each time it comes.
        fleet = [engine("p", True, wait_ms=50), engine("d", streams=20)]
        way = placement.choose(fleet, demand(54_000))
        self.assertIsInstance(way, placement.Option)

    def test_an_engine_that_failed_is_not_where_a_split_leads(self):
        # An engine crashed.  It has no streams, so of all it seems the least
        # loaded: prompts are read for it, one after the other, and the calls
        # to it refused.  Callers wait for answers that another engine would
        # have given them.
        fleet = [
            engine("p", True),
            engine("crashed", streams=0, slowness=10.0),
            engine("sound", streams=40),
        ]
        way = placement.choose(fleet, demand(12_000))
        self.assertEqual((way.prefill, way.decode), ("p", "sound"))

    def test_callers_of_an_empty_stage_do_not_come_back_at_once(self):
        refused = placement.choose([engine("p", True)], demand(12_000))
        self.assertEqual(refused.why, "no engine decodes")
        self.assertEqual(refused.retry_ms, placement.NO_DECODE_RETRY_MS)

    def test_no_prompt_is_read_for_decoding_engines_that_are_gone(self):
        fleet = [
            engine("p", True),
            engine("d", unreachable=True, slowness=10.0),
        ]
        refused = placement.choose(fleet, demand(12_000))
        self.assertEqual(refused.why, "no engine decodes")
        self.assertEqual(refused.retry_ms, placement.NO_DECODE_RETRY_MS)

    def test_a_probe_finds_out_whether_an_engine_is_back(self):
        fleet = [
            engine("p", True),
            engine("d", unreachable=True, slowness=10.0),
        ]
        probe = demand(600)._replace(is_probe=True)
        way = placement.choose(fleet, probe)
        self.assertEqual((way.prefill, way.decode), (None, "d"))

    def test_no_slot_is_no_way(self):
        fleet = [engine("p", True), engine("d", streams=96)]
        refused = placement.choose(fleet, demand(600))
        self.assertEqual(refused.why, "no engine takes work")

    def test_the_last_slots_are_for_short_answers(self):
        # At a peak long answers fill the slots of all engines for a second
        # and more, and callers of the most urgent class are refused although
        # their answers would take a tenth of a second.
        fleet = [engine("p", True), engine("d", streams=15, slots=16)]
        short = placement.choose(fleet, demand(600, 200, tokens_out=20))
        long = placement.choose(fleet, demand(600, 200, tokens_out=400))
        self.assertIsInstance(short, placement.Option)
        self.assertIsInstance(long, placement.Refusal)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.floats(0, 2_000),
                strategies.integers(0, 96),
                strategies.integers(0, 20_000),
            ),
            max_size=8,
        ),
        strategies.integers(1, 60_000),
    )
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_ways_use_engines_for_what_they_do(self, rows, tokens):
        fleet = [
            engine(str(n), prefill, wait_ms=wait, streams=s, cached=cached)
            for n, (prefill, wait, s, cached) in enumerate(rows)
        ]
        by_id = {e.id: e for e in fleet}
        way = placement.choose(fleet, demand(tokens))
        if isinstance(way, placement.Refusal):
            return
        self.assertFalse(by_id[way.decode].prefill)
        if way.prefill is not None:
            self.assertTrue(by_id[way.prefill].prefill)


class Fetch(unittest.TestCase):
    """Prompts whose beginning some engine keeps."""

    LINK = {"token_bytes": 18_432, "link_mbps": 370_000.0}

    def test_an_idle_engine_fetches_what_a_busy_one_keeps(self):
        # Everybody's catalogue is kept where prompts wait already.  Reading
        # it again takes an idle engine 35 ms, fetching it under 15.
        fleet = [
            engine("idle", True),
            engine("busy", True, cached=5_500, wait_ms=300),
            engine("d"),
        ]
        way = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertEqual((way.prefill, way.fetch), ("idle", "busy"))
        self.assertEqual(way.cached, 5_500)

    def test_an_engine_that_keeps_it_fetches_nothing(self):
        fleet = [engine("p", True, cached=5_500), engine("d", cached=5_500)]
        way = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertIsNone(way.fetch)

    def test_a_keeper_of_another_cell_is_asked(self):
        fleet = [engine("p", True), engine("d")]
        keeper = placement.CacheHolder("far", 5_500)
        way = placement.choose(fleet, demand(12_000, **self.LINK), keeper)
        self.assertEqual((way.prefill, way.fetch), ("p", "far"))

    def test_short_beginnings_are_read(self):
        fleet = [
            engine("p", True),
            engine("other", True, cached=600, wait_ms=300),
            engine("d"),
        ]
        way = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertIsNone(way.fetch)

    def test_nothing_is_fetched_from_an_engine_that_failed(self):
        # An engine without power lets whoever fetches from it wait.
        fleet = [
            engine("p", True),
            engine("failed", True, cached=5_500, slowness=10.0),
            engine("d"),
        ]
        way = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertIsNone(way.fetch)

    @hypothesis.given(
        strategies.integers(0, 20_000),
        strategies.integers(0, 20_000),
        strategies.integers(1, 60_000),
    )
    @hypothesis.settings(derandomize=True)
    def test_a_keeper_makes_no_way_longer(self, own, kept, tokens):
        fleet = [engine("p", True, cached=min(own, tokens)), engine("d")]
        keeper = placement.CacheHolder("far", min(kept, tokens))
        wanted = demand(tokens, 100_000, **self.LINK)
        without = placement.choose(fleet, wanted)
        with_it = placement.choose(fleet, wanted, keeper)
        self.assertLessEqual(with_it.first_ms, without.first_ms + 1e-6)


class Urgency(unittest.TestCase):
    """Who goes first at an engine."""

    def test_short_before_tight_before_patient(self):
        places = [
            placement.prefill_urgency(demand(tokens, goal), 0)
            for tokens, goal in ((600, 200), (40_000, 400), (8_000, 400))
        ]
        self.assertEqual(places, sorted(places))
        self.assertEqual(len(set(places)), 3)


class EngineTime(unittest.TestCase):
    """The figures of the engines."""

    @hypothesis.given(
        strategies.integers(0, 60_000), strategies.integers(0, 60_000)
    )
    @hypothesis.settings(derandomize=True)
    def test_a_cache_never_makes_reading_longer(self, tokens, cached):
        cached = min(cached, tokens)
        self.assertLessEqual(
            engine_time.prefill_ms(tokens, cached),
            engine_time.prefill_ms(tokens, 0) + 1e-6,
        )


class RunUrgency(unittest.TestCase):
    """How urgent streams are at the engines that run them."""

    def test_nobody_is_stopped_for_another_on_a_crowded_engine(self):
        # An engine whose slots are taken stops a stream for a more urgent
        # one.  Its caller waits in the middle of an answer, and the engine
        # reads the prompt of the stopped one again.
        crowded = engine("d", streams=14, slots=16)
        free = engine("d", streams=4, slots=16)
        for urgency in (
            placement.URGENCY_SHORT,
            placement.URGENCY_TIGHT,
            placement.URGENCY_NORMAL,
        ):
            found = placement.decode_urgency(crowded, urgency)
            self.assertEqual(found, placement.URGENCY_NORMAL)
            self.assertEqual(placement.decode_urgency(free, urgency), urgency)


class Sending(unittest.TestCase):
    """Bodies that take long on the gateway's link."""

    def test_a_body_is_sent_once_or_twice(self):
        # A link of 10 Mbit/s takes 50 ms for a body of 62 KB.  Left out of
        # the prediction, the request would be taken and come too late.
        fleet = [engine("p", True), engine("d")]
        for only in ([fleet[1]], fleet):
            near = placement.choose(only, demand(20_000, 5_000))
            far = placement.choose(only, demand(20_000, 5_000, send_ms=50.0))
            times = 1 if near.prefill is None else 2
            self.assertAlmostEqual(far.first_ms - near.first_ms, 50.0 * times)

    def test_sending_while_others_are_read_costs_nothing(self):
        fleet = [engine("d", wait_ms=80)]
        near = placement.choose(fleet, demand(2_000, 5_000))
        far = placement.choose(fleet, demand(2_000, 5_000, send_ms=50.0))
        self.assertEqual(near.first_ms, far.first_ms)


class Blocked(unittest.TestCase):
    """A decode engine that reads prompts itself."""

    def test_a_split_avoids_an_engine_that_reads(self):
        # At a peak some prompts are read where they decode.  A stream whose
        # prompt was read elsewhere begins there 100 ms later, though its
        # caller was promised better.
        fleet = [
            engine("p", True),
            engine("d1", streams=20, wait_ms=300),
            engine("d2", streams=40),
        ]
        way = placement.choose(fleet, demand(6_000))
        self.assertEqual((way.prefill, way.decode), ("p", "d2"))

    def test_what_is_left_of_its_reading_counts(self):
        busy = [engine("p", True), engine("d", wait_ms=600)]
        idle = [engine("p", True), engine("d")]
        late = placement.choose(busy, demand(6_000, 2_000))
        soon = placement.choose(idle, demand(6_000, 2_000))
        self.assertGreater(late.first_ms, soon.first_ms + 300)

    def test_reading_that_ends_before_the_prompt_is_ready_is_no_wait(self):
        busy = [engine("p", True), engine("d", wait_ms=20)]
        idle = [engine("p", True), engine("d")]
        self.assertEqual(
            placement.choose(busy, demand(12_000)).first_ms,
            placement.choose(idle, demand(12_000)).first_ms,
        )


class Scales(unittest.TestCase):
    """Engines that read at another speed than predicted."""

    def test_engines_that_read_slower_than_predicted_are_seen_so(self):
        fleet = [engine("p", True), engine("d", streams=60)]
        usual = placement.choose(fleet, demand(12_000))
        slow = placement.choose(fleet, demand(12_000, prefill_scale=1.5))
        self.assertAlmostEqual(slow.prompt_ms, 1.5 * usual.prompt_ms)
