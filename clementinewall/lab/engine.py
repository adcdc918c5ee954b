"""A simulated engine in virtual time.

A prefill engine processes one prompt to its end, then the most urgent one in
its queue.  A decode engine runs a batch of streams: the larger the batch, the
longer each step; a prompt that it prefills itself is processed in chunks
between the steps, ``decode_slowdown`` times as slowly.  Prefix parts stay
cached until memory is needed; the least recently used are evicted first.
Durations follow the deployment file; gateways predict with constants of their
own.

Not modelled: preemption for lack of memory, prompts larger than the memory,
holds, pins and backups.
"""

import collections
import heapq
import itertools

from clementinewall.lab import deployment as deployments
from clementinewall.lab import engine_timing
from clementinewall.lab import pace as paces

# Set-up time of a cache transfer, as operators state it.
TRANSFER_SETUP_MS = 5.0
# From the end of prefill to the answer of a prefill-only request.
PREFILL_ANSWER_MS = 3.0


class Engine:
    """One engine, driven by the callbacks of ``loop``."""

    def __init__(self, name, row, is_prefill, loop, pace=None):
        """Start idle with an empty cache.

        :param row: the :class:`deployment.Engines`.
        :param is_prefill: whether this is a prefill engine.
        :param pace: the :class:`pace.EnginePace`, usual for good without one.
        """
        self.name = name
        self.is_prefill = is_prefill
        self.total_prefill_ms = 0.0
        self.prefilled_tokens = 0
        self._row = row
        self._loop = loop
        self._serial = itertools.count()
        self._cache = collections.OrderedDict()
        self._cached_tokens = 0
        self._stream_tokens = 0
        self._current_prompt = None
        self._prefill_queue = []
        self._link_free_at = 0.0
        self._waiting = []
        self._running = []
        self._steps_done = 0.0
        self._advanced_at = 0.0
        self._plan_version = 0
        self._prefill_left_ms = 0.0
        self._prefill_at = 0.0
        self._prefill_version = 0
        self._prefill_end = None
        self._pace = pace or paces.EnginePace(
            deployments.Pace(), 1.0, None, loop
        )
        self._pace.start(self._before_change, self._after_change)

    def load(self):
        """Return the load figures of an answer, ``None`` without a pace."""
        return self._pace.load(len(self._running), self._row.slots)

    def _before_change(self):
        self._advance()
        elapsed_ms = self._loop.now - self._prefill_at
        self._prefill_left_ms -= elapsed_ms / self._pace.factor
        self._prefill_at = self._loop.now

    def _after_change(self):
        self._schedule_next_end()
        if self._current_prompt is not None:
            self._schedule_prefill_end()

    # Prefill.

    def prefill(self, prompt, urgency, done):
        """Queue a prompt for prefill; call ``done()`` at its end."""
        item = (urgency, next(self._serial), prompt, done)
        heapq.heappush(self._prefill_queue, item)
        self._start_next_prefill()

    def _start_next_prefill(self):
        if self._current_prompt is not None or not self._prefill_queue:
            return
        _, _, prompt, done = heapq.heappop(self._prefill_queue)
        self._current_prompt = prompt
        cached_prefix_tokens = self.cached_prefix_tokens(prompt)
        self._advance()
        duration_ms = self._prefill_ms(prompt, cached_prefix_tokens)
        self.total_prefill_ms += duration_ms * self._pace.factor
        self.prefilled_tokens += prompt.tokens_in - cached_prefix_tokens
        self._schedule_next_end()
        self._prefill_left_ms = duration_ms
        self._prefill_at = self._loop.now
        self._prefill_end = done
        self._schedule_prefill_end()

    def _schedule_prefill_end(self):
        """Schedule the end of the prefill; earlier plans are ignored."""
        self._prefill_version += 1
        self._loop.after(
            self._prefill_left_ms * self._pace.factor,
            self._finish_prefill,
            self._prefill_version,
        )

    def _prefill_ms(self, prompt, cached_prefix_tokens):
        if self.is_prefill:
            return engine_timing.prefill_ms(
                self._row, prompt.tokens_in, cached_prefix_tokens
            )
        return engine_timing.decode_engine_prefill_ms(
            self._row,
            prompt.tokens_in,
            cached_prefix_tokens,
            len(self._running),
        )

    def _finish_prefill(self, version):
        if version != self._prefill_version:
            return
        self._advance()
        prompt = self._current_prompt
        done = self._prefill_end
        self._current_prompt = None
        self.cache_prompt(prompt)
        self._schedule_next_end()
        done()
        self._start_next_prefill()

    def cached_prefix_tokens(self, prompt):
        """Return how many leading tokens of the prompt are cached."""
        total = 0
        for part in prompt.parts:
            if part.id not in self._cache:
                break
            total += part.tokens
        return total

    def has_cached(self, part_id):
        """Tell whether a part is cached."""
        return part_id in self._cache

    def cache_prompt(self, prompt):
        """Cache the parts of a prompt; evict the least recently used."""
        for part in prompt.parts:
            if part.id in self._cache:
                self._cache.move_to_end(part.id)
                continue
            self._cache[part.id] = part.tokens
            self._cached_tokens += part.tokens
        headroom = self._row.kv_tokens - self._stream_tokens
        while self._cached_tokens > headroom and self._cache:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens

    def copy_prefix(self, source, prompt):
        """Cache the prefix of a prompt that ``source`` has cached."""
        count = 0
        for part in prompt.parts:
            if not source.has_cached(part.id):
                break
            count += 1
        self.cache_prompt(prompt._replace(parts=prompt.parts[:count]))

    # Cache transfers.

    def fetch(self, tokens, done):
        """Fetch the cache of ``tokens``; transfers run one after another."""
        duration_ms = TRANSFER_SETUP_MS + engine_timing.transfer_ms(
            self._row, tokens
        )
        start = max(self._loop.now, self._link_free_at)
        self._link_free_at = start + duration_ms
        self._loop.after(start + duration_ms - self._loop.now, done)

    # Decode.

    def decode(self, prompt, urgency, on_first, on_end):
        """Queue a stream whose prompt has been prefilled or fetched."""
        item = (urgency, next(self._serial), prompt, on_first, on_end)
        heapq.heappush(self._waiting, item)
        self._start_streams()

    def _start_streams(self):
        self._advance()
        while self._waiting and len(self._running) < self._row.slots:
            _, serial, prompt, on_first, on_end = heapq.heappop(self._waiting)
            end = self._steps_done + prompt.tokens_out
            heapq.heappush(self._running, (end, serial, prompt, on_end))
            self._stream_tokens += prompt.tokens_in + prompt.tokens_out
            first_ms = self._row.first_event_ms * self._pace.factor
            self._loop.after(first_ms, on_first)
        self._schedule_next_end()

    def _step_ms(self):
        step_ms = engine_timing.step_ms(self._row, len(self._running))
        if self._current_prompt is not None and not self.is_prefill:
            chunk_ms = self._row.decode_piece_tokens / self._row.tokens_a_ms
            step_ms += chunk_ms * self._row.decode_slowdown
        return step_ms * self._pace.factor

    def _advance(self):
        """Advance all streams to the current time."""
        now = self._loop.now
        if self._running:
            self._steps_done += (now - self._advanced_at) / self._step_ms()
        self._advanced_at = now

    def _schedule_next_end(self):
        """Schedule the end of the stream that ends next.

        Events scheduled under an earlier plan are ignored.
        """
        self._plan_version += 1
        if not self._running:
            return
        left = max(0.0, self._running[0][0] - self._steps_done)
        self._loop.after(
            left * self._step_ms(), self._end_streams, self._plan_version
        )

    def _end_streams(self, plan_version):
        if plan_version != self._plan_version:
            return
        self._advance()
        while self._running and self._running[0][0] <= self._steps_done + 1e-6:
            _, _, prompt, on_end = heapq.heappop(self._running)
            self._stream_tokens -= prompt.tokens_in + prompt.tokens_out
            on_end()
        self._start_streams()
