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
    """``choose`` under the loads that it is designed for."""

    def test_long_prompt_is_split(self):
        fleet = [engine("p", True), engine("d", streams=30)]
        option = placement.choose(fleet, demand(12_000))
        self.assertEqual((option.prefill, option.decode), ("p", "d"))

    def test_short_prompt_is_prefilled_where_it_decodes(self):
        # The KV transfer and a second hop take longer than its prefill.
        fleet = [engine("p", True), engine("d", streams=30)]
        option = placement.choose(fleet, demand(250, 200))
        self.assertIsNone(option.prefill)

    def test_short_prompt_avoids_a_busy_prefill_engine(self):
        fleet = [engine("p", True, wait_ms=30), engine("d", streams=30)]
        option = placement.choose(fleet, demand(600, 200))
        self.assertIsNone(option.prefill)

    def test_prompt_goes_where_its_prefix_is_cached(self):
        fleet = [
            engine("p1", True),
            engine("p2", True, cached=5_000),
            engine("d"),
        ]
        option = placement.choose(fleet, demand(12_000))
        self.assertEqual(option.prefill, "p2")

    def test_a_busy_cache_holder_is_avoided(self):
        # A prefix that all prompts share is cached at one engine.  If all
        # were sent there, they would wait while another engine is idle.
        fleet = [
            engine("p1", True),
            engine("p2", True, cached=5_000, wait_ms=300),
            engine("d", streams=60),
        ]
        option = placement.choose(fleet, demand(12_000))
        self.assertEqual(option.prefill, "p1")

    def test_a_request_that_would_be_late_is_refused(self):
        fleet = [engine("p", True, wait_ms=500), engine("d", wait_ms=500)]
        refused = placement.choose(fleet, demand(6_000))
        self.assertIsInstance(refused, placement.Refusal)
        self.assertGreater(refused.retry_ms, 0)

    def test_short_prompts_are_accepted_late(self):
        # Refusing a prefill of 4 ms frees no time for others; its caller would
        # get no answer instead of a late one.
        fleet = [engine("p", True, wait_ms=250), engine("d", wait_ms=250)]
        option = placement.choose(fleet, demand(600, 200))
        self.assertIsInstance(option, placement.Option)

    def test_the_largest_prompts_are_accepted(self):
        # A prompt whose prefill takes longer than its target even on an idle
        # engine would always be refused.
        fleet = [engine("p", True, wait_ms=50), engine("d", streams=20)]
        option = placement.choose(fleet, demand(54_000))
        self.assertIsInstance(option, placement.Option)

    def test_a_failed_engine_is_not_the_target_of_a_split(self):
        # A crashed engine has no streams and seems the least loaded: prompts
        # are prefilled for it and the calls to it refused, while another
        # engine could have answered.
        fleet = [
            engine("p", True),
            engine("crashed", streams=0, slowness=10.0),
            engine("sound", streams=40),
        ]
        option = placement.choose(fleet, demand(12_000))
        self.assertEqual((option.prefill, option.decode), ("p", "sound"))

    def test_the_retry_delay_is_long_without_a_decode_engine(self):
        refused = placement.choose([engine("p", True)], demand(12_000))
        self.assertEqual(refused.why, "no engine decodes")
        self.assertEqual(refused.retry_ms, placement.NO_DECODE_RETRY_MS)

    def test_no_prompt_is_prefilled_for_unreachable_decode_engines(self):
        fleet = [
            engine("p", True),
            engine("d", unreachable=True, slowness=10.0),
        ]
        refused = placement.choose(fleet, demand(12_000))
        self.assertEqual(refused.why, "no engine decodes")
        self.assertEqual(refused.retry_ms, placement.NO_DECODE_RETRY_MS)

    def test_a_probe_is_sent_to_an_unreachable_engine(self):
        fleet = [
            engine("p", True),
            engine("d", unreachable=True, slowness=10.0),
        ]
        probe = demand(600)._replace(is_probe=True)
        option = placement.choose(fleet, probe)
        self.assertEqual((option.prefill, option.decode), (None, "d"))

    def test_without_a_free_slot_a_request_is_refused(self):
        fleet = [engine("p", True), engine("d", streams=96)]
        refused = placement.choose(fleet, demand(600))
        self.assertEqual(refused.why, "no engine takes work")

    def test_the_last_slots_are_reserved_for_short_answers(self):
        # At a peak long answers fill the slots of all engines for a second or
        # more, and callers of the most urgent class are refused although their
        # answers would take a tenth of a second.
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
    def test_options_use_engines_for_their_stage(self, rows, tokens):
        fleet = [
            engine(str(n), prefill, wait_ms=wait, streams=s, cached=cached)
            for n, (prefill, wait, s, cached) in enumerate(rows)
        ]
        by_id = {e.id: e for e in fleet}
        option = placement.choose(fleet, demand(tokens))
        if isinstance(option, placement.Refusal):
            return
        self.assertFalse(by_id[option.decode].prefill)
        if option.prefill is not None:
            self.assertTrue(by_id[option.prefill].prefill)


class Resting(unittest.TestCase):
    """Engines that have asked for no requests for some time."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.sampled_from((0, 1, 700, 3_000)),
                strategies.sampled_from((0, 2_000, 5_000)),
            ),
            max_size=6,
        ),
        strategies.sampled_from((300, 6_000, 12_000)),
    )
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_a_resting_engine_is_never_chosen(self, rows, tokens):
        # Guards against requests that an overloaded engine turns away.
        fleet = [
            engine(f"e{n}", prefill, rest_ms=rest_ms, cached=cached)
            for n, (prefill, rest_ms, cached) in enumerate(rows)
        ]
        found = placement.choose(fleet, demand(tokens, link_mbps=370_000.0))
        option = found
        if isinstance(found, placement.Refusal):
            option = found.best
        resting = {e.id for e in fleet if e.rest_ms}
        if option is not None:
            used = {option.prefill, option.decode, option.fetch}
            self.assertFalse(used & resting)

    def test_requests_are_refused_until_the_first_engine_takes_some(self):
        fleet = [
            engine("p", True),
            engine("d1", rest_ms=2_400),
            engine("d2", rest_ms=900.5),
        ]
        refused = placement.choose(fleet, demand(6_000))
        self.assertEqual((refused.retry_ms, refused.best), (901, None))

    def test_prompts_are_read_elsewhere_while_a_prefill_engine_rests(self):
        fleet = [engine("p", True, rest_ms=500), engine("d")]
        option = placement.choose(fleet, demand(3_000))
        self.assertEqual((option.prefill, option.decode), (None, "d"))


class Fetch(unittest.TestCase):
    """Prompts whose prefix is in some engine's cache."""

    LINK = {"token_bytes": 18_432, "link_mbps": 370_000.0}

    def test_an_idle_engine_fetches_what_a_busy_one_has_cached(self):
        # A shared prefix is cached where prompts wait already.  An idle engine
        # prefills it again in 35 ms and fetches it in less than 15.
        fleet = [
            engine("idle", True),
            engine("busy", True, cached=5_500, wait_ms=300),
            engine("d"),
        ]
        option = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertEqual((option.prefill, option.fetch), ("idle", "busy"))
        self.assertEqual(option.cached, 5_500)

    def test_a_cache_holder_fetches_nothing(self):
        fleet = [engine("p", True, cached=5_500), engine("d", cached=5_500)]
        option = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertIsNone(option.fetch)

    def test_a_prefix_is_fetched_from_another_cell(self):
        fleet = [engine("p", True), engine("d")]
        holder = placement.CacheHolder("far", 5_500)
        option = placement.choose(fleet, demand(12_000, **self.LINK), holder)
        self.assertEqual((option.prefill, option.fetch), ("p", "far"))

    def test_short_prefixes_are_not_fetched(self):
        fleet = [
            engine("p", True),
            engine("other", True, cached=600, wait_ms=300),
            engine("d"),
        ]
        option = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertIsNone(option.fetch)

    def test_nothing_is_fetched_from_an_engine_that_failed(self):
        # A fetch from an engine without power waits until it times out.
        fleet = [
            engine("p", True),
            engine("failed", True, cached=5_500, slowness=10.0),
            engine("d"),
        ]
        option = placement.choose(fleet, demand(12_000, **self.LINK))
        self.assertIsNone(option.fetch)

    @hypothesis.given(
        strategies.integers(0, 20_000),
        strategies.integers(0, 20_000),
        strategies.integers(1, 60_000),
    )
    @hypothesis.settings(derandomize=True)
    def test_a_cache_holder_makes_no_option_slower(self, own, held, tokens):
        fleet = [engine("p", True, cached=min(own, tokens)), engine("d")]
        holder = placement.CacheHolder("far", min(held, tokens))
        wanted = demand(tokens, 100_000, **self.LINK)
        without = placement.choose(fleet, wanted)
        with_holder = placement.choose(fleet, wanted, holder)
        self.assertLessEqual(with_holder.first_ms, without.first_ms + 1e-6)


class Urgency(unittest.TestCase):
    """The order of prompts at an engine."""

    def test_the_highest_priority_goes_before_others_of_its_kind(self):
        # Guards against urgent routes that wait behind others, and against
        # levels that starve the lowest.
        for tokens in (600, 6_000, 50_000):
            urgencies = [
                placement.prefill_urgency(demand(tokens, 500), 0, priority)
                for priority in range(4)
            ]
            first = urgencies[0]
            self.assertEqual(urgencies[1:], [first + 1] * 3)
            self.assertLess(max(urgencies), placement.URGENCY_LATE)

    def test_short_before_tight_before_normal(self):
        places = [
            placement.prefill_urgency(demand(tokens, goal), 0)
            for tokens, goal in ((600, 200), (40_000, 400), (8_000, 400))
        ]
        self.assertEqual(places, sorted(places))
        self.assertEqual(len(set(places)), 3)


class EngineTime(unittest.TestCase):
    """The timing model of the engines."""

    @hypothesis.given(
        strategies.integers(0, 60_000), strategies.integers(0, 60_000)
    )
    @hypothesis.settings(derandomize=True)
    def test_a_cache_never_makes_prefill_longer(self, tokens, cached):
        cached = min(cached, tokens)
        self.assertLessEqual(
            engine_time.prefill_ms(tokens, cached),
            engine_time.prefill_ms(tokens, 0) + 1e-6,
        )


class DecodeUrgency(unittest.TestCase):
    """How urgent streams are at the engines that run them."""

    def test_no_stream_is_preempted_on_a_nearly_full_engine(self):
        # An engine without a free slot preempts a stream for a more urgent
        # one.  Its caller sees a pause in the answer, and the engine prefills
        # its prompt again.
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
    """Bodies that take long to send on the gateway's link."""

    def test_a_body_is_sent_once_or_twice(self):
        # A link of 10 Mbit/s takes 50 ms for a body of 62 KB.  If that were
        # not predicted, the request would be accepted and be late.
        fleet = [engine("p", True), engine("d")]
        for only in ([fleet[1]], fleet):
            near = placement.choose(only, demand(20_000, 5_000))
            far = placement.choose(only, demand(20_000, 5_000, send_ms=50.0))
            times = 1 if near.prefill is None else 2
            self.assertAlmostEqual(far.first_ms - near.first_ms, 50.0 * times)

    def test_sending_while_the_engine_is_busy_adds_no_time(self):
        fleet = [engine("d", wait_ms=80)]
        near = placement.choose(fleet, demand(2_000, 5_000))
        far = placement.choose(fleet, demand(2_000, 5_000, send_ms=50.0))
        self.assertEqual(near.first_ms, far.first_ms)


class Blocked(unittest.TestCase):
    """A decode engine that also prefills."""

    def test_a_split_avoids_a_decode_engine_that_prefills(self):
        # At a peak some prompts are prefilled where they decode.  A stream
        # whose prompt was prefilled elsewhere begins there 100 ms later than
        # predicted.
        fleet = [
            engine("p", True),
            engine("d1", streams=20, wait_ms=300),
            engine("d2", streams=40),
        ]
        option = placement.choose(fleet, demand(6_000))
        self.assertEqual((option.prefill, option.decode), ("p", "d2"))

    def test_the_rest_of_its_prefill_delays_the_stream(self):
        busy = [engine("p", True), engine("d", wait_ms=600)]
        idle = [engine("p", True), engine("d")]
        late = placement.choose(busy, demand(6_000, 2_000))
        soon = placement.choose(idle, demand(6_000, 2_000))
        self.assertGreater(late.first_ms, soon.first_ms + 300)

    def test_prefill_that_ends_before_the_prompt_is_ready_adds_no_wait(self):
        busy = [engine("p", True), engine("d", wait_ms=20)]
        idle = [engine("p", True), engine("d")]
        self.assertEqual(
            placement.choose(busy, demand(12_000)).first_ms,
            placement.choose(idle, demand(12_000)).first_ms,
        )


class Scales(unittest.TestCase):
    """Engines that prefill at another speed than predicted."""

    def test_the_scale_applies_to_predicted_prefill_times(self):
        fleet = [engine("p", True), engine("d", streams=60)]
        usual = placement.choose(fleet, demand(12_000))
        slow = placement.choose(fleet, demand(12_000, prefill_scale=1.5))
        self.assertAlmostEqual(slow.prompt_ms, 1.5 * usual.prompt_ms)
