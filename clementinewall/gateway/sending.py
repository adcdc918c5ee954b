"""One send of a request to one endpoint, up to the head of its answer."""

import contextlib

from clementinewall.gateway import exchange as exchanges
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall.platform import calls
from clementinewall import verdicts

_log = logs.PartLog("send")

MAX_ANSWER_BYTES = 8_000_000


class SentRequest:
    """A request that was sent; its answer is read from ``link``."""

    def __init__(self, state, link, head):
        """Keep the link and the head of the answer."""
        self.state = state
        self.link = link
        self.head = head
        self.is_complete = False

    async def read_all(self):
        """Return the rest of the answer.

        :raises AttemptFailed: it broke off.
        """
        try:
            body = await self.link.read_rest(MAX_ANSWER_BYTES)
        except client.LinkBroken as exc:
            raise self.failure(exc.why, broken=True) from exc
        self.is_complete = True
        return body

    async def read_part(self, silence_timeout_ms=None):
        """Return the next part of the answer, ``None`` at its whole end.

        :raises AttemptFailed: it broke off, or nothing came for so long.
        """
        try:
            part = await self.link.read_part(silence_timeout_ms)
        except client.LinkBroken as exc:
            raise self.failure(exc.why, broken=True) from exc
        except TimeoutError as exc:
            raise self.failure(
                f"silent for {silence_timeout_ms:.0f} ms"
            ) from exc
        self.state.record_response()
        self.is_complete = part is None
        return part

    def failure(
        self,
        why,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        answer=None,
        broken=False,
    ):
        """Return the error for an answer that can't be used."""
        return exchanges.AttemptFailed(
            verdict, why, self.state.endpoint.id, answer, broken
        )


@contextlib.asynccontextmanager
async def send(call, state, request, now, silence_timeout_ms=None):
    """Send and wait for the head; close the link unless the answer ended.

    Without a head within ``silence_timeout_ms`` the attempt counts as failed.

    :raises AttemptFailed: with what is known of whether it ran.
    """
    link = None
    sent = None
    state.begin()
    try:
        link = await state.pool.take()
        try:
            await link.send(request, silence_timeout_ms)
            head = await _matching_head(call, link, silence_timeout_ms)
        except TimeoutError as exc:
            raise exchanges.AttemptFailed(
                verdicts.verdict_of(link.progress),
                f"silent for {silence_timeout_ms:.0f} ms",
                state.endpoint.id,
            ) from exc
        state.record_response()
        sent = SentRequest(state, link, head)
        _record_load(state, head, now())
        if calls.says_not_run(head):
            await sent.read_all()
            failure = sent.failure(
                f"refused with {head.status}", verdicts.Verdict.NOT_RUN
            )
            failure.absent = calls.is_misdirected(head)
            raise failure
        yield sent
    except client.LinkBroken as exc:
        reached = exc.progress is not verdicts.Progress.NEVER_CONNECTED
        raise exchanges.AttemptFailed(
            verdicts.verdict_of(exc.progress),
            exc.why,
            state.endpoint.id,
            broken=True,
            reached=reached,
            absent=exc.absent,
        ) from exc
    finally:
        state.end()
        if link is not None:
            _release_link(state, link, sent)


async def _matching_head(call, link, silence_timeout_ms):
    """Return the head of the answer to this call.

    An endpoint may send a second answer to an earlier request late; handing
    it on would give one caller the answer of another.
    """
    head = await link.read_head(silence_timeout_ms)
    while not calls.is_answer_to(head, call):
        _log.warning(
            "answer to another request dropped",
            request=call.attempt,
            status=head.status,
        )
        await link.read_rest(MAX_ANSWER_BYTES)
        link.expect_another()
        head = await link.read_head(silence_timeout_ms)
    return head


def _record_load(state, head, now):
    load = calls.load(head)
    if load is not None:
        state.load = load
        state.load_at = now


def _release_link(state, link, sent):
    if sent is not None and sent.is_complete:
        state.pool.give_back(link)
    else:
        state.pool.drop(link)
