"""The state of one model request while its answer is relayed.

It outlives the attempts at single engines: it records which positions the
caller has received, which engines failed, and what another engine needs to
resume the answer.
"""

import json

from clementinewall.endpoints import sse
from clementinewall.entry import request_parsing
from clementinewall.policy import routing
from clementinewall import verdicts

CHARS_PER_TOKEN = 4
# An engine that sends nothing for this many times its target, plus
# BASE_SILENCE_MS, is taken to be stuck.
SILENCE_TARGETS = 8
BASE_SILENCE_MS = 2_000


class RequestState:
    """The progress of one request over all attempts."""

    def __init__(self, work, now):
        """Start at ``now`` in ms, after the caller's last position."""
        self.work = work
        self.sequence = sse.Sequence(work.delivered)
        self.started_ms = now
        self.failed_ids = set()
        self.attempts = 0
        # The engine of the current attempt.
        self.engine_id = None
        # Events forwarded from the engine of the current attempt.
        self.attempt_events = 0
        self.first_ms = None
        self.gap_ms = None
        self.verdict = verdicts.Verdict.NOT_RUN
        self._resume_events = []
        self._resume_bytes = 0

    def keep_for_resume(self, event, limit):
        """Store an event for resuming elsewhere, up to ``limit`` bytes."""
        if self._resume_bytes + len(event.raw) <= limit:
            self._resume_events.append(event)
            self._resume_bytes += len(event.raw)

    def body(self):
        """Return the request body for an engine, unchanged if possible."""
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
        """Return how many ms the engine may send nothing."""
        work_class = self.work.context.work_class
        if self.attempt_events == 0:
            return SILENCE_TARGETS * work_class.first_ms + BASE_SILENCE_MS
        return SILENCE_TARGETS * work_class.gap_ms + BASE_SILENCE_MS

    def is_good(self):
        """Return whether the answer met the targets of its class."""
        work_class = self.work.context.work_class
        return (
            self.sequence.finished
            and self.first_ms is not None
            and self.first_ms <= work_class.first_ms
            and (self.gap_ms is None or self.gap_ms <= work_class.gap_ms)
        )


def routing_work(work):
    """Return the request as input of the routing policy."""
    work_class = work.context.work_class
    return routing.Work(
        prompt_tokens(work), work_class.first_ms, work_class.gap_ms
    )


def prompt_tokens(work):
    """Return the estimated number of tokens in the prompt."""
    return max(1, len(work.prompt) // CHARS_PER_TOKEN)


def total_tokens(work):
    """Return the estimated number of tokens in prompt and answer."""
    limit = work.body.get("max_tokens", request_parsing.DEFAULT_MAX_TOKENS)
    return prompt_tokens(work) + int(limit)


def text_of(event):
    """Return the text that an event adds to the answer.

    An event without a choice adds an empty text.  ``None`` stands for an
    event that cannot be parsed, which must not be taken for an empty one.
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
