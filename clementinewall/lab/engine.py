"""One model engine in virtual time.

A reading engine reads one prompt to its end, then the most urgent that
waits.  A decoding engine runs a batch of streams: the more of them, the
longer each step; a prompt that it reads itself goes between the steps, at
half speed.  Prefix parts are kept until memory is needed, the least recently
used go first.  The figures are those of the deployment file; gateways predict
with their own.

Left out: preemption for want of memory, prompts larger than the memory,
holds, pins and backups.
"""

import collections
import heapq
import itertools

from clementinewall.lab import figures

# Before a move or fetch of memory begins, as operators say.
SETUP_MS = 5.0
# From the end of reading to the answer of a read-only call.
ANSWER_MS = 3.0


class Engine:
    """One engine; ``loop`` calls back at virtual times."""

    def __init__(self, name, row, reads, loop):
        """Begin idle; ``row`` is :class:`deployment.Engines`."""
        self.name = name
        self.reads = reads
        self.read_ms = 0.0
        self.read_tokens = 0
        self._row = row
        self._loop = loop
        self._serial = itertools.count()
        self._cache = collections.OrderedDict()
        self._cached_tokens = 0
        self._in_use = 0
        self._reading = None
        self._to_read = []
        self._link_free_at = 0.0
        self._waiting = []
        self._running = []
        self._progress = 0.0
        self._moved_at = 0.0
        self._version = 0

    # Reading.

    def read(self, prompt, urgency, done):
        """Read a prompt; call ``done()`` when it is read."""
        item = (urgency, next(self._serial), prompt, done)
        heapq.heappush(self._to_read, item)
        self._read_next()

    def _read_next(self):
        if self._reading is not None or not self._to_read:
            return
        _, _, prompt, done = heapq.heappop(self._to_read)
        self._reading = prompt
        cached = self.cached(prompt)
        self._advance()
        took = self._reading_ms(prompt, cached)
        self.read_ms += took
        self.read_tokens += prompt.tokens_in - cached
        self._replan()
        self._loop.after(took, self._was_read, prompt, done)

    def _reading_ms(self, prompt, cached):
        if self.reads:
            return figures.prompt_ms(self._row, prompt.tokens_in, cached)
        return figures.prompt_ms_beside(
            self._row, prompt.tokens_in, cached, len(self._running)
        )

    def _was_read(self, prompt, done):
        self._advance()
        self._reading = None
        self.keep(prompt)
        self._replan()
        done()
        self._read_next()

    def cached(self, prompt):
        """Return how many leading tokens of the prompt are kept."""
        total = 0
        for part in prompt.parts:
            if part.id not in self._cache:
                break
            total += part.tokens
        return total

    def keeps(self, part_id):
        """Tell whether a part is kept."""
        return part_id in self._cache

    def keep(self, prompt):
        """Keep the parts of a prompt; the least recently used go."""
        for part in prompt.parts:
            if part.id in self._cache:
                self._cache.move_to_end(part.id)
                continue
            self._cache[part.id] = part.tokens
            self._cached_tokens += part.tokens
        room = self._row.kv_tokens - self._in_use
        while self._cached_tokens > room and self._cache:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens

    def keep_as(self, source, prompt):
        """Keep what another engine keeps of a prompt's beginning."""
        count = 0
        for part in prompt.parts:
            if not source.keeps(part.id):
                break
            count += 1
        self.keep(prompt._replace(parts=prompt.parts[:count]))

    # Memory that moves.

    def fetch(self, tokens, done):
        """Take ``tokens`` of memory from elsewhere, one move at a time."""
        took = SETUP_MS + figures.transfer_ms(self._row, tokens)
        start = max(self._loop.now, self._link_free_at)
        self._link_free_at = start + took
        self._loop.after(start + took - self._loop.now, done)

    # Streams.

    def run(self, prompt, urgency, on_first, on_end):
        """Run a stream whose prompt has been read or fetched."""
        item = (urgency, next(self._serial), prompt, on_first, on_end)
        heapq.heappush(self._waiting, item)
        self._begin_streams()

    def _begin_streams(self):
        self._advance()
        while self._waiting and len(self._running) < self._row.slots:
            _, serial, prompt, on_first, on_end = heapq.heappop(self._waiting)
            end = self._progress + prompt.tokens_out
            heapq.heappush(self._running, (end, serial, prompt, on_end))
            self._in_use += prompt.tokens_in + prompt.tokens_out
            self._loop.after(self._row.first_event_ms, on_first)
        self._replan()

    def _step_ms(self):
        step = figures.step_ms(self._row, len(self._running))
        if self._reading is None or self.reads:
            return step
        piece = self._row.decode_piece_tokens / self._row.tokens_a_ms
        return step + piece * self._row.decode_slowdown

    def _advance(self):
        """Move all streams to the present."""
        now = self._loop.now
        if self._running:
            self._progress += (now - self._moved_at) / self._step_ms()
        self._moved_at = now

    def _replan(self):
        """Plan the end of the stream that ends next."""
        self._version += 1
        if not self._running:
            return
        left = max(0.0, self._running[0][0] - self._progress)
        self._loop.after(
            left * self._step_ms(), self._end_streams, self._version
        )

    def _end_streams(self, version):
        if version != self._version:
            return
        self._advance()
        while self._running and self._running[0][0] <= self._progress + 1e-6:
            _, _, prompt, on_end = heapq.heappop(self._running)
            self._in_use -= prompt.tokens_in + prompt.tokens_out
            on_end()
        self._begin_streams()
