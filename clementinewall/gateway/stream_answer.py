"""The streamed answer to one caller, from one engine or several."""

from clementinewall.gateway import sse
from clementinewall.platform import calls
from clementinewall import verdicts


class StreamAnswer:
    """Forwards the events of engines, each once and in order."""

    def __init__(self, exchange):
        """Start after the last event that the caller says it has."""
        self._exchange = exchange
        self.events = sse.Events(exchange.call.resume_after)
        self.head_sent = False
        self.has_first_event = False
        self._on_first = None

    def begin(self, on_first):
        """Expect another engine; call ``on_first`` at its first event."""
        self.has_first_event = False
        self._on_first = on_first

    async def forward(self, sent):
        """Forward the events of one engine up to the regular end.

        :raises AttemptFailed: the engine failed, broke off or was given up
            as silent, or an event is missing.
        """
        head = sent.head
        if head.status >= 300:
            await self._forward_failure(sent)
            return
        if not calls.is_complete_success(head):
            raise sent.failure(
                "success response without the engine's Server-Stamp"
            )
        self.events.reset()
        part = await sent.read_part()
        while part is not None:
            try:
                new_events = self.events.feed(part)
            except sse.BadEvent as exc:
                raise sent.failure(str(exc)) from exc
            if new_events:
                await self._forward_events(head, new_events)
            part = await sent.read_part()
        if not self.events.is_complete:
            raise sent.failure(
                "stream ended in the middle of an event", broken=True
            )
        await self._forward_events(head, self.events.take_rest())
        await self._exchange.connection.finish()

    async def _forward_events(self, head, data):
        if not self.has_first_event:
            self.has_first_event = True
            self._on_first()
        connection = self._exchange.connection
        if not self.head_sent:
            self.head_sent = True
            await connection.send_head(calls.forwarded_head(head))
        if data:
            await connection.send_body(data)

    async def _forward_failure(self, sent):
        body = await sent.read_all()
        answer = sent.head, body
        if sent.head.status >= 500 or self.head_sent:
            raise sent.failure(
                f"status {sent.head.status}", verdicts.Verdict.RAN, answer
            )
        await self._exchange.connection.answer(
            calls.forwarded_head(sent.head), body
        )
