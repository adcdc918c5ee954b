"""What a gateway knows of one endpoint: availability, rest, limits."""

import unittest

import anyio

from clementinewall import clock
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import request_limits
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall import verdicts
from tests.gateway import test_endpoints

LEAVING = messages.Head(200, b"", ((b"Server-Leaving", b"1"),))


def new_state(ticker):
    """Return the state of the engine, which has named no limit."""
    limits = request_limits.RequestLimits(ticker.now)
    return endpoint_state.EndpointState(
        test_endpoints.ENGINE, ticker.now, limits
    )


class Lost(unittest.TestCase):
    """Which engines count as unavailable."""

    def setUp(self):
        """Start with an engine whose open request has timed out."""
        self.ticker = clock.ManualClock(100_000)
        self.state = new_state(self.ticker)
        self.state.begin()
        self.ticker.advance(endpoint_state.RESPONSE_TIMEOUT_MS + 1)

    def test_one_lost_answer_does_not_make_its_engine_unavailable(self):
        self.assertFalse(self.state.is_usable())
        self.assertFalse(self.state.is_unavailable())

    def test_an_unresponsive_failing_engine_is_unavailable(self):
        for _ in range(2):
            self.state.health.record_failure(self.ticker.now())
        self.assertTrue(self.state.is_unavailable())

    def test_an_engine_that_refuses_connections_is_unavailable(self):
        self.state.health.record_failure(self.ticker.now(), absent=True)
        self.assertTrue(self.state.is_unavailable())

    def test_an_engine_that_changes_its_stage_is_unavailable(self):
        self.state.unavailable_until = self.ticker.now() + 1
        self.assertTrue(self.state.is_unavailable())


class Unread(unittest.TestCase):
    """Answers that are not read for a while, since callers are slow."""

    def setUp(self):
        """Open a request."""
        self.ticker = clock.ManualClock(100_000)
        self.state = new_state(self.ticker)
        self.state.begin()

    def wait(self):
        """Wait for longer than a sound endpoint is silent."""
        self.ticker.advance(endpoint_state.RESPONSE_TIMEOUT_MS + 1)

    def test_an_endpoint_is_not_silent_while_its_answer_waits_here(self):
        # Guards against a sound endpoint that gets no requests since one
        # caller reads slowly.
        with self.state.unread():
            self.wait()
            self.assertTrue(self.state.is_usable())
        self.assertTrue(self.state.is_usable())
        self.wait()
        self.assertFalse(self.state.is_usable())

    def test_an_endpoint_that_owes_other_answers_is_silent(self):
        # Guards against requests to a dead endpoint beside a slow caller.
        self.state.begin()
        with self.state.unread():
            self.wait()
            self.assertFalse(self.state.is_usable())
        self.assertFalse(self.state.is_usable())


class RequestLimit(unittest.TestCase):
    """An endpoint that has named a limit, of which the share is used up."""

    def setUp(self):
        """Have it name one request a second."""
        self.ticker = clock.ManualClock(100_000)
        self.state = new_state(self.ticker)
        self.name_limit(b"1")

    def name_limit(self, value, status=200):
        """Apply an answer that names a limit."""
        head = messages.Head(status, b"", ((b"Server-Limit", value),))
        self.state.apply_request_limit(head)

    def test_reports_wait_for_a_share(self):
        # Guards against requests to an engine by paths that count nothing.
        request = messages.Request(b"GET", b"/report", ())
        for fresh in (False, True):
            with self.assertRaises(endpoint_state.Withheld):
                anyio.run(self.state.send_request, request, 100, fresh)

    def test_a_request_that_was_counted_is_sent(self):
        # Guards against prompts that are prefilled in vain.
        self.ticker.advance(1_000)
        self.state.use_share()
        pool = self.state._pool = SlowPool(lambda: None)
        anyio.run(self.state.acquire_link)
        self.assertEqual(pool.discarded, 0)
        self.assertGreater(self.state.rest_ms, 0)

    def test_failures_count_while_a_share_is_awaited(self):
        # Guards against a crashed engine that counts as sound.
        self.name_limit(b"100")
        for _ in range(3):
            self.state.record_failure()
        self.ticker.advance(10)
        self.assertEqual(self.state.rest_ms, 0)
        self.assertFalse(self.state.is_usable())

    def test_a_malformed_limit_changes_nothing(self):
        self.name_limit(b"many")
        self.assertTrue(self.state.is_limited)

    def test_an_answer_without_a_limit_ends_it(self):
        self.state.apply_request_limit(messages.Head(200, b"", ()))
        self.assertFalse(self.state.is_limited)

    def test_another_process_at_the_address_speaks_for_itself(self):
        # Guards against limits of a process that reuses an address.
        self.state.apply_request_limit(messages.Head(421, b"", ()))
        self.assertTrue(self.state.is_limited)
        self.state.apply_request_limit(messages.Head(200, b"", ()))
        self.name_limit(b"5", 421)
        self.assertFalse(self.state.is_limited)


class Rest(unittest.TestCase):
    """An endpoint that has asked for no requests for three seconds."""

    def setUp(self):
        """Have it ask for rest."""
        self.view = test_endpoints.gateway_view()
        self.ticker = clock.ManualClock(100_000)
        self.state = new_state(self.ticker)
        self.state.apply_answer(refusal(b"3"))

    def check_withheld(self):
        """Check that nothing can be sent, neither requests nor reports."""
        request = messages.Request(b"GET", b"/report", ())
        for send in (
            self.state.acquire_link,
            lambda: self.state.send_request(request, 100),
            lambda: self.state.send_request(request, 100, True),
        ):
            with self.assertRaises(endpoint_state.Withheld):
                anyio.run(send)

    def test_nothing_is_sent_until_the_span_is_over(self):
        self.ticker.advance(2_999)
        self.check_withheld()
        self.assertFalse(self.state.is_usable())
        self.ticker.advance(1)
        self.assertTrue(self.state.is_usable())

    def test_a_success_does_not_end_the_span(self):
        # Guards against a span that earlier requests end when they complete.
        self.state.health.record_success()
        self.state.apply_answer(messages.Head(200, b"", ()))
        self.check_withheld()

    def test_a_later_refusal_never_shortens_the_span(self):
        self.state.apply_answer(refusal(b"0.1"))
        self.ticker.advance(2_000)
        self.check_withheld()

    def test_an_unreadable_span_changes_nothing(self):
        self.state.apply_answer(refusal(b"soon"))
        self.assertEqual(self.state.rest_ms, 3_000)

    def test_refusals_in_a_span_cause_no_pause_after_it(self):
        for _ in range(5):
            self.state.record_failure()
        self.ticker.advance(3_000)
        self.assertTrue(self.state.is_usable())

    def test_a_connection_that_takes_long_is_not_used_in_the_span(self):
        # Guards against requests that waited for a connection.
        state = new_state(self.ticker)
        pool = SlowPool(lambda: state.apply_answer(refusal(b"3")))
        state._pool = pool
        with self.assertRaises(endpoint_state.Withheld):
            anyio.run(state.acquire_link)
        self.assertEqual(pool.discarded, 1)

    def test_another_incarnation_has_asked_for_nothing(self):
        self.view.state(test_endpoints.ENGINE).apply_answer(refusal(b"3"))
        started = test_endpoints.ENGINE._replace(incarnation=2)
        self.assertEqual(self.view.state(started).rest_ms, 0)
        self.assertEqual(self.view.state(test_endpoints.ENGINE).rest_ms, 3_000)

    def test_rest_outlasts_a_record_that_goes_and_comes_back(self):
        # Guards against requests in the span after a lapse of the record.
        self.view.state(test_endpoints.ENGINE).apply_answer(refusal(b"3"))
        self.lapse()
        self.assertEqual(self.view.state(test_endpoints.ENGINE).rest_ms, 3_000)

    def test_leaving_outlasts_a_record_that_goes_and_comes_back(self):
        # Guards against work for an endpoint that leaves after such a lapse.
        self.view.state(test_endpoints.ENGINE).apply_answer(LEAVING)
        self.assertEqual(self.view.of_service("model"), [])
        self.lapse()
        self.assertEqual(self.view.of_service("model"), [])

    def send_on(self, link, on_connect=lambda state: None):
        """Send a request on a link that breaks; return the state."""
        state = new_state(self.ticker)

        async def connect():
            on_connect(state)
            return link

        state._own_call_pool.connect_directly = connect
        request = messages.Request(b"GET", b"/report", ())
        with self.assertRaises(client.LinkBroken):
            anyio.run(state.send_request, request, 100, True)
        return state

    def test_rest_asked_for_in_an_answer_that_breaks_off_is_kept(self):
        # Guards against polls and orders in the span after a cut answer.
        self.assertEqual(self.send_on(CutLink()).rest_ms, 3_000)

    def test_a_report_whose_connection_takes_long_is_not_sent(self):
        # Guards against reports and orders that waited for a connection.
        link = CutLink()
        self.send_on(link, lambda state: state.apply_answer(refusal(b"3")))
        self.assertEqual(link.requests, 0)

    def lapse(self):
        """Remove the engine's record, sweep, and add the record again."""
        known = self.view._fleet_view
        known.endpoint_by_id = {}
        self.view.sweep()
        known.endpoint_by_id = {"e1": test_endpoints.ENGINE}


class Doubtful(unittest.TestCase):
    """An endpoint that may have started again with other software."""

    def setUp(self):
        """Doubt which process answers."""
        self.state = new_state(clock.ManualClock(100_000))
        self.state.is_doubtful = lambda: True

    def acquire(self, *reports, is_new=True):
        """Return a link; each new one gets the next of some reports."""
        self.pool = ReportingPool(reports, is_new)
        self.state._pool = self.pool
        return anyio.run(self.state.acquire_link)

    def test_the_process_of_the_record_is_verified(self):
        link = self.acquire(b'{"born": 1}')
        self.assertEqual(self.pool.links, [link])
        self.assertEqual(self.pool.discarded, 0)

    def test_another_process_counts_as_absent(self):
        # Guards against a stream that begins at another version.
        with self.assertRaises(client.LinkBroken) as raised:
            self.acquire(b'{"born": 2}')
        self.assertTrue(raised.exception.absent)
        self.assertIs(
            raised.exception.progress, verdicts.Progress.NEVER_CONNECTED
        )
        self.assertEqual(self.pool.discarded, 1)

    def test_a_report_that_names_no_process_proves_nothing(self):
        for report in (b"{}", b"x", b"[]", b'{"born": true}'):
            self.acquire(report)
            self.assertEqual(self.pool.discarded, 0)

    def test_a_link_that_was_used_before_is_not_verified(self):
        link = self.acquire(is_new=False)
        self.assertEqual(link.requests, 0)

    def test_a_link_that_breaks_before_its_report_has_sent_nothing(self):
        with self.assertRaises(client.LinkBroken) as raised:
            self.acquire(None)
        self.assertIs(
            raised.exception.progress, verdicts.Progress.NEVER_CONNECTED
        )
        self.assertEqual(self.pool.discarded, 1)

    def test_a_link_that_closes_after_its_report_is_replaced(self):
        link = self.acquire(b'{"born": 1} ', None)
        self.assertIs(link, self.pool.links[1])
        self.assertEqual(self.pool.discarded, 1)


class ReportingPool:
    """New connections whose engine reports which process it is."""

    def __init__(self, reports, is_new):
        """Answer each connection's report with the next of ``reports``."""
        self._reports = list(reports)
        self._is_new = is_new
        self.links = []
        self.discarded = 0

    async def acquire(self):
        """Return a connection."""
        report = self._reports.pop(0) if self._reports else None
        self.links.append(ReportingLink(report, self._is_new))
        return self.links[-1]

    connect = acquire

    def discard(self, _link):
        """Count a connection that was closed."""
        self.discarded += 1


class ReportingLink:
    """A connection that answers one report, or breaks without one."""

    def __init__(self, report, is_new):
        """Answer with ``report``; one that ends in a space closes it."""
        self._report = report
        self.is_new = is_new
        self.requests = 0

    async def send(self, _request):
        """Count the request."""
        self.requests += 1

    async def read_head(self):
        """Return the head of the report."""
        if self._report is None:
            raise client.LinkBroken(verdicts.Progress.SENT_WHOLE, "cut")
        return messages.Head(200, b"", ())

    async def read_rest(self, _max_bytes):
        """Return the report."""
        return self._report

    def prepare_reuse(self, _now):
        """Tell whether another request may follow."""
        return not self._report.endswith(b" ")


def refusal(seconds):
    """Return the head of a refusal that asks for rest."""
    return messages.Head(503, b"", ((b"Retry-After", seconds),))


class SlowPool:
    """A pool of connections; something happens while one is established."""

    def __init__(self, on_acquire):
        """Call ``on_acquire`` in each ``acquire``."""
        self._on_acquire = on_acquire
        self.discarded = 0

    async def acquire(self):
        """Return a connection."""
        self._on_acquire()
        return object()

    def discard(self, _link):
        """Count a connection that was closed."""
        self.discarded += 1


class CutLink:
    """A connection whose peer asks for rest and cuts the answer's body."""

    def __init__(self):
        """Start without requests."""
        self.requests = 0

    async def send(self, _request):
        """Count the request."""
        self.requests += 1

    async def read_head(self):
        """Return the head of a refusal."""
        return refusal(b"3")

    async def read_rest(self, _max_bytes):
        """Fail."""
        raise client.LinkBroken(verdicts.Progress.SENT_WHOLE, "cut")

    def close(self):
        """Close the connection."""
