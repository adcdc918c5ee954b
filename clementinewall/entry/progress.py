"""The state of one model request while it is carried.

A run outlives the attempts at single engines: it knows which positions the
caller has, which engines failed, and what another engine must be told to go
on from there.
"""

import json

from clementinewall.endpoints import sse
from clementinewall.entry import request_parsing
from clementinewall.policy import routing
from clementinewall import verdicts

CHARS_PER_TOKEN = 4
# An engine that says nothing for so many times its target is stuck.
SILENCE_TARGETS = 8
BASE_SILENCE_MS = 2_000


class RequestState:
    """One request on its way to its whole answer."""

    def __init__(self, work, now):
        """Begin at ``now`` after the position that the caller has."""
        self.work = work
        self.sequence = sse.Sequence(work.delivered)
        self.started_ms = now
        self.failed_ids = set()
        self.attempts = 0
        # The engine that the present attempt talks to.
        self.engine_id = None
        # Events passed on from the engine of the present attempt.
        self.attempt_events = 0
        self.first_ms = None
        self.gap_ms = None
        self.verdict = verdicts.Verdict.NOT_RUN
        self._resume_events = []
        self._resume_bytes = 0

    def keep_for_resume(self, event, limit):
        """Keep an event for a resumption elsewhere, up to ``limit`` bytes."""
        if self._resume_bytes + len(event.raw) <= limit:
            self._resume_events.append(event)
            self._resume_bytes += len(event.raw)

    def body(self):
        """Return the body for an engine, unchanged where that is possible."""
        work = self.work
        if work.streamed and not self._resume_events:
            return work.raw
        body = {**work.body, "stream": True}
        if self._resume_events:
            text = "".join(
                text_of(event) or "" for event in self._resume_events
            )
            body["resume_text"] = text
        return json.dumps(body).encode()

    def silence_timeout_ms(self):
        """Return how long the engine may say nothing before it is left."""
        work_class = self.work.context.work_class
        if self.attempt_events == 0:
            return SILENCE_TARGETS * work_class.first_ms + BASE_SILENCE_MS
        return SILENCE_TARGETS * work_class.gap_ms + BASE_SILENCE_MS

    def is_good(self):
        """Tell whether the answer met its class's targets."""
        work_class = self.work.context.work_class
        return (
            self.sequence.finished
            and self.first_ms is not None
            and self.first_ms <= work_class.first_ms
            and (self.gap_ms is None or self.gap_ms <= work_class.gap_ms)
        )


def routing_work(work):
    """Return the work as the routing policy sees it."""
    work_class = work.context.work_class
    return routing.Work(
        prompt_tokens(work), work_class.first_ms, work_class.gap_ms
    )


def prompt_tokens(work):
    """Return the estimated tokens of the prompt."""
    return max(1, len(work.prompt) // CHARS_PER_TOKEN)


def total_tokens(work):
    """Return the estimated tokens of prompt and answer together."""
    limit = work.body.get("max_tokens", request_parsing.DEFAULT_MAX_TOKENS)
    return prompt_tokens(work) + int(limit)


def text_of(event):
    """Return the text that an event adds to the answer.

    An event without a choice adds nothing; ``None`` stands for one that
    cannot be read, which must not pass for an empty one.
    """
    if event.is_last:
        return ""
    try:
        data = json.loads(event.data)
    except (ValueError, RecursionError):
        return None
    choices = data.get("choices") if isinstance(data, dict) else None
    if not isinstance(choices, list) or not choices:
        return "" if isinstance(data, dict) else None
    choice = choices[0] if isinstance(choices[0], dict) else {}
    delta = choice.get("delta")
    in_delta = delta.get("content") if isinstance(delta, dict) else None
    text = choice.get("text") or in_delta or ""
    return text if isinstance(text, str) else None
