"""Connections of an endpoint whose process may be another one by now."""

import unittest

import anyio

from clementinewall import clock
from clementinewall.gateway import endpoint_state
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall.policy import incarnation
from clementinewall import verdicts
from tests.gateway import test_endpoint_state


class Doubtful(unittest.TestCase):
    """An endpoint that may have started again with other software."""

    def setUp(self):
        """Doubt which process answers."""
        self.state = test_endpoint_state.new_state(clock.ManualClock(100_000))
        self.state.find_doubt = lambda: incarnation.Doubt.EACH_CONNECTION

    def acquire(self, *reports):
        """Return a link; each new one gets the next of some reports."""
        self.pool = ReportingPool(reports)
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

    def test_a_link_that_was_verified_is_not_verified_again(self):
        link = self.acquire(b'{"born": 1}')
        self.pool.next_link = link
        self.assertIs(anyio.run(self.state.acquire_link), link)
        self.assertEqual(link.requests, 1)

    def test_a_link_that_only_polls_used_is_verified(self):
        # Guards against a connection that a poll opened to another process.
        link = ReportingLink(b'{"born": 2}')
        pool = self.state._pool = ReportingPool(())
        pool.next_link = link
        with self.assertRaises(client.LinkBroken):
            anyio.run(self.state.acquire_link)
        self.assertEqual(pool.discarded, 1)

    def test_an_engine_that_asks_for_rest_instead_gets_no_request(self):
        # Guards against requests in the span that a refused report began.
        pool = self.state._pool = ReportingPool(())
        pool.next_link = ReportingLink(b"", test_endpoint_state.refusal(b"3"))
        with self.assertRaises(endpoint_state.Withheld):
            anyio.run(self.state.acquire_link)
        self.assertEqual(pool.discarded, 1)

    def test_a_refused_connection_is_a_sign_of_a_restart(self):
        # Guards against the record of a process that is gone.
        self.state.find_doubt = lambda: incarnation.Doubt.RESTARTED
        self.acquire(b'{"born": 1}')
        pool = self.state._pool
        pool.failure = client.LinkBroken(
            verdicts.Progress.NEVER_CONNECTED, "refused", absent=True
        )
        with self.assertRaises(client.LinkBroken):
            anyio.run(self.state.acquire_link)
        pool.failure = None
        pool.next_link = ReportingLink(b'{"born": 2}')
        with self.assertRaises(client.LinkBroken):
            anyio.run(self.state.acquire_link)

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

    def __init__(self, reports):
        """Answer each connection's report with the next of ``reports``.

        ``next_link`` is returned before, and ``failure`` raised instead.
        """
        self._reports = list(reports)
        self.next_link = None
        self.failure = None
        self.links = []
        self.discarded = 0

    async def acquire(self):
        """Return a connection."""
        if self.failure is not None:
            raise self.failure
        if self.next_link is not None:
            return self.next_link
        report = self._reports.pop(0) if self._reports else None
        self.links.append(ReportingLink(report))
        return self.links[-1]

    connect = acquire

    def discard(self, _link):
        """Count a connection that was closed."""
        self.discarded += 1


class ReportingLink:
    """A connection that answers one report, or breaks without one."""

    is_closed = False
    is_disconnected = False

    def __init__(self, report, head=messages.Head(200, b"", ())):
        """Answer with ``report``; one that ends in a space closes it."""
        self._report = report
        self._head = head
        self.requests = 0

    async def send(self, _request):
        """Count the request."""
        self.requests += 1

    async def read_head(self):
        """Return the head of the report."""
        if self._report is None:
            raise client.LinkBroken(verdicts.Progress.SENT_WHOLE, "cut")
        return self._head

    async def read_rest(self, _max_bytes):
        """Return the report."""
        return self._report

    def prepare_reuse(self, _now):
        """Tell whether another request may follow."""
        return not self._report.endswith(b" ")
