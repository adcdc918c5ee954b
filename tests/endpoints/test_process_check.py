"""Checks of the process at an endpoint, with connections of several tasks."""

import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall.endpoints import process_check
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall.policy import incarnation
from clementinewall import verdicts
from tests.gateway import test_endpoints

Doubt = incarnation.Doubt
CONNECTIONS = 5
SAME = b'{"born": 1}'
OTHER = b'{"born": 2}'


class Link:
    """A connection; ``report`` is ``None`` if it breaks instead."""

    def __init__(self, report=SAME):
        """Answer one request with ``report``."""
        self._report = report
        self.requests = 0
        self.is_closed = False
        self.is_disconnected = False

    async def send(self, _request):
        """Count the request."""
        self.requests += 1

    async def read_head(self):
        """Let other tasks run, then answer."""
        await anyio.sleep(0.01)
        if self._report is None:
            raise client.LinkBroken(verdicts.Progress.SENT_WHOLE, "cut")
        return messages.Head(200, b"", ())

    async def read_rest(self, _max_bytes):
        """Return the report."""
        return self._report

    def prepare_reuse(self, _now):
        """Tell that a request may follow."""
        return True

    def is_idle(self):
        """Tell whether the connection is open."""
        return not self.is_disconnected

    def close(self):
        """Close it from this side."""
        self.is_closed = self.is_disconnected = True

    def end(self):
        """Close it from the other side."""
        self.is_disconnected = True


class ProcessCheckTest(unittest.TestCase):
    """An engine of which only a restart would matter."""

    def setUp(self):
        """Know its record, and that its process may have ended."""
        self.ticker = clock.ManualClock(100_000)
        self.asked = 0
        self.doubt = Doubt.RESTARTED
        self.check = process_check.ProcessCheck(
            test_endpoints.ENGINE, self.ticker.now, self.count, lambda _: None
        )
        self.check.record_refusal()

    def count(self):
        """Count a report that is asked for."""
        self.asked += 1

    async def try_confirm(self, link):
        """Return whether a link may be used, or the error."""
        try:
            return await self.check.confirm(link, lambda: self.doubt)
        except client.LinkBroken as exc:
            return exc

    def confirm(self, link):
        """Return what :meth:`try_confirm` does, in a loop of its own."""
        return anyio.run(self.try_confirm, link)

    def confirm_all(self, links):
        """Confirm links at once; return the results."""
        results = {}

        async def run():
            async with anyio.create_task_group() as group:
                for number, link in enumerate(links):
                    group.start_soon(work, number, link)

        async def work(number, link):
            results[number] = await self.try_confirm(link)

        anyio.run(run)
        return [results[number] for number in range(len(links))]

    def seen(self):
        """Return a link that was confirmed by a report."""
        link = Link()
        self.assertTrue(self.confirm(link))
        self.assertEqual(self.asked, 1)
        return link

    def test_only_the_first_of_many_connections_asks(self):
        # Guards against a report for each connection.
        self.assertTrue(all(self.confirm_all([Link() for _ in range(5)])))
        self.assertEqual(self.asked, 1)
        self.assertTrue(self.confirm(Link()))
        self.assertEqual(self.asked, 1)

    def test_those_that_wait_share_a_failure(self):
        # Guards against streams that begin at another process meanwhile.
        for report in (OTHER, None):
            self.setUp()
            links = [Link(report) for _ in range(CONNECTIONS)]
            for result in self.confirm_all(links):
                self.assertIsInstance(result, client.LinkBroken)
                self.assertIs(
                    result.progress, verdicts.Progress.NEVER_CONNECTED
                )
                self.assertEqual(result.absent, report is OTHER)
            self.assertEqual(self.asked, 1)

    def test_one_that_waits_asks_after_the_first_was_abandoned(self):
        # Guards against connections that wait for a caller who left.
        results = []

        async def abandon(link):
            with anyio.move_on_after(0.005):
                await self.try_confirm(link)

        async def follow(link):
            results.append(await self.try_confirm(link))

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(abandon, Link(None))
                await anyio.sleep(0)
                group.start_soon(follow, Link())

        anyio.run(run)
        self.assertEqual(results, [True])
        self.assertEqual(self.asked, 2)

    def test_a_late_report_tells_nothing_of_a_restart(self):
        # Guards against requests that fail at an engine that only pauses.
        with mock.patch.object(process_check, "TIMEOUT_MS", 1):
            links = [Link() for _ in range(CONNECTIONS)]
            first, *others = self.confirm_all(links)
            self.assertIs(first, False)
            for result in others:
                self.assertIsInstance(result, client.LinkBroken)
            self.assertIs(self.confirm(Link()), False)
            self.assertEqual(self.asked, 2)
            self.doubt = Doubt.EACH_CONNECTION
            self.assertIsInstance(self.confirm(Link()), client.LinkBroken)

    def test_a_link_that_ended_while_it_waited_is_not_used(self):
        # Guards against a request on a connection that is closed.
        first, second = Link(), Link()
        second.end()
        self.assertEqual(self.confirm_all([first, second]), [True, False])

    def test_a_process_that_closed_its_last_connection_is_asked_for(self):
        # Guards against the next process within the time of a restart.
        self.seen().end()
        self.assertTrue(self.confirm(Link()))
        self.assertEqual(self.asked, 2)

    def test_one_closed_connection_of_two_is_no_sign(self):
        # Guards against a report for each connection that an engine closes.
        self.seen()
        other = Link()
        self.confirm(other)
        other.end()
        self.confirm(Link())
        self.assertEqual(self.asked, 1)

    def test_a_refused_connection_is_a_sign_beside_open_ones(self):
        # Guards against an earlier process that still serves some callers.
        self.seen()
        self.check.record_refusal()
        self.confirm(Link())
        self.assertEqual(self.asked, 2)

    def test_connections_that_this_side_closed_are_trusted_for_a_while(self):
        # Guards against a report after each pause, and none after a long one.
        link = self.seen()
        self.check.observe()
        link.close()
        self.ticker.advance(incarnation.MIN_RESTART_MS - 1)
        link = Link()
        self.confirm(link)
        self.assertEqual(self.asked, 1)
        link.close()
        self.ticker.advance(incarnation.MIN_RESTART_MS)
        self.confirm(Link())
        self.assertEqual(self.asked, 2)

    def test_after_another_process_each_connection_asks(self):
        # Guards against trust in a process that is not that of the record.
        self.confirm(Link(OTHER))
        for asked in (2, 3):
            self.confirm(Link(OTHER))
            self.assertEqual(self.asked, asked)

    def test_a_link_without_doubt_is_confirmed_once_there_is_some(self):
        # Guards against connections from before a route was resumable.
        self.doubt = Doubt.NONE
        link = Link()
        self.assertTrue(self.confirm(link))
        self.assertEqual(self.asked, 0)
        self.doubt = Doubt.RESTARTED
        self.confirm(link)
        self.assertEqual(self.asked, 1)

    def test_beside_several_versions_each_connection_asks_itself(self):
        # Guards against an answer of the process that was there before.
        self.doubt = Doubt.EACH_CONNECTION
        links = [Link() for _ in range(CONNECTIONS)]
        self.confirm_all(links)
        self.assertEqual({link.requests for link in links}, {1})
        self.confirm_all(links)
        self.assertEqual({link.requests for link in links}, {1})
