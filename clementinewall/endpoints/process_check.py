"""Checks that connections lead to the process of an endpoint's record."""

import anyio

from clementinewall import clock
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import incarnation
from clementinewall import verdicts

_log = logs.PartLog("endpoint")

# Reports are answered at once, whatever work waits.
TIMEOUT_MS = 300
MAX_REPORT_BYTES = 1_000_000


class _Unanswered(client.LinkBroken):
    """No report came in time, which a pause of the process explains too."""

    def __init__(self):
        super().__init__(
            verdicts.Progress.NEVER_CONNECTED,
            "the engine did not report in time which process it is",
        )


class _Question:
    """A report that was asked for, whose answer other connections share."""

    def __init__(self):
        self.end = anyio.Event()
        self.failure = None


class ProcessCheck:
    """The process of one incarnation, and the connections that lead to it."""

    def __init__(self, endpoint, now, on_ask, on_head):
        """Start without having seen the process.

        ``on_ask()`` is called before each report is asked for, and
        ``on_head(head)`` with the head of its answer.
        """
        self._endpoint = endpoint
        self._now = now
        self._on_ask = on_ask
        self._on_head = on_head
        self._links = set()
        self._seen_at = None
        self._has_ended = False
        self._question = None
        # Whether a request failed since a report named the process.
        self.has_failed = False

    def observe(self):
        """Record whether the process is connected; forget other links."""
        lost = {each for each in self._links if each.is_disconnected}
        self._links -= lost
        if self._links:
            self._seen_at = self._now()
        elif any(not each.is_closed for each in lost):
            self._has_ended = True

    def record_refusal(self):
        """Record that nothing listens at the address."""
        self._has_ended = True

    def trust(self, link):
        """Take a link for one that leads to the process."""
        self._links.add(link)
        self.observe()

    async def confirm(self, link, find_doubt):
        """Make sure that ``link`` leads to the process.

        ``find_doubt`` returns an ``incarnation.Doubt``.  Return whether a
        request may be sent on the link.

        :raises LinkBroken: another process answered, or none; not if a report
            is late and a restart is all that is in doubt.
        """
        if link in self._links:
            return True
        doubt = find_doubt()
        if doubt is incarnation.Doubt.NONE:
            return True
        try:
            is_usable = await self._settle(link, doubt)
        except _Unanswered:
            if doubt is incarnation.Doubt.EACH_CONNECTION:
                raise
            # The next connection asks again.
            self._has_ended = True
            return False
        if is_usable:
            self.trust(link)
        return is_usable

    async def _settle(self, link, doubt):
        is_usable = True
        while self._needs_report(doubt):
            question = self._question
            if question is None or doubt is incarnation.Doubt.EACH_CONNECTION:
                await self._ask_for_all(link)
                return link.prepare_reuse(self._now())
            await question.end.wait()
            if question.failure is not None:
                raise _failure(
                    question.failure.why, question.failure.absent
                ) from question.failure
            is_usable = link.is_idle()
        return is_usable

    def _needs_report(self, doubt):
        self.observe()
        evidence = incarnation.Evidence(
            bool(self._links), self._seen_at, self._has_ended
        )
        return incarnation.needs_report(evidence, doubt, self._now())

    async def _ask_for_all(self, link):
        question = self._question = _Question()
        try:
            await self._ask(link)
        except client.LinkBroken as exc:
            question.failure = exc
            raise
        finally:
            question.end.set()
            if self._question is question:
                self._question = None

    async def _ask(self, link):
        self._on_ask()
        metrics.count("process_checks", service=self._endpoint.service)
        try:
            with anyio.fail_after(clock.seconds(TIMEOUT_MS)):
                await link.send(calls.report_request())
                head = await link.read_head()
                self._on_head(head)
                body = await link.read_rest(MAX_REPORT_BYTES)
        except TimeoutError as exc:
            raise _Unanswered() from exc
        except client.LinkBroken as exc:
            raise _failure(
                "the engine did not report which process it is"
            ) from exc
        born = calls.decode_incarnation(head, body)
        if born not in (None, self._endpoint.incarnation):
            self._has_ended = True
            _log.info(
                "another process answers at the address",
                endpoint=self._endpoint.id,
                born=born,
                expected=self._endpoint.incarnation,
            )
            raise _failure(
                "another process answers at the engine's address", absent=True
            )
        self.has_failed = False
        self._has_ended = False
        self._seen_at = self._now()


def _failure(why, absent=False):
    return client.LinkBroken(verdicts.Progress.NEVER_CONNECTED, why, absent)
