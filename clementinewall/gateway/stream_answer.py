"""A streamed answer as its caller gets it, from one engine or several."""

from clementinewall.gateway import sse
from clementinewall.platform import calls
from clementinewall import verdicts


class StreamAnswer:
    """Hands on the events of engines, each once and in order."""

    def __init__(self, exchange):
        """Begin with the event that the caller asks for."""
        self._exchange = exchange
        self.events = sse.Events(exchange.call.resume_after)
        self.started = False
        self.had_first = False
        self._on_first = None

    def begin(self, on_first):
        """Expect the answer of one more engine."""
        self.had_first = False
        self._on_first = on_first

    async def carry(self, sent, silence_timeout_ms):
        """Hand on the events of one engine until the whole end.

        :raises AttemptFailed: the stream broke off, or the engine said
            nothing for ``silence_timeout_ms``.
        """
        head = sent.head
        if head.status >= 300:
            await self._carry_failure(sent)
            return
        if not calls.is_whole_success(head):
            raise sent.failure("a success without the engine's stamp")
        self.events.restart()
        part = await sent.read_part(silence_timeout_ms)
        while part is not None:
            try:
                fresh = self.events.feed(part)
            except sse.BadEvent as exc:
                raise sent.failure(str(exc)) from exc
            if fresh:
                await self._pass_on(head, fresh)
            part = await sent.read_part(silence_timeout_ms)
        if not self.events.is_whole:
            raise sent.failure("the answer ends within an event")
        await self._pass_on(head, b"")
        await self._exchange.connection.finish()

    async def _pass_on(self, head, data):
        if not self.had_first:
            self.had_first = True
            self._on_first()
        connection = self._exchange.connection
        if not self.started:
            self.started = True
            await connection.send_head(calls.forwarded(head))
        if data:
            await connection.send_body(data)

    async def _carry_failure(self, sent):
        body = await sent.read_all()
        answer = sent.head, body
        if sent.head.status >= 500 or self.started:
            raise sent.failure(
                f"status {sent.head.status}", verdicts.Verdict.RAN, answer
            )
        await self._exchange.connection.answer(
            calls.forwarded(sent.head), body
        )
