"""Keeping requests that crash endpoints from crashing more of them.

Such a request is retried, with the same path and body, at any gateway, or
others come that share a part of its prompt.  The crash records of
:mod:`clementinewall.membership.crashes` and
:mod:`clementinewall.membership.crashing_parts` are part of the messages
between gateways.
"""

from clementinewall import domain
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import crashes
from clementinewall.membership import crashing_parts
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall import verdicts

_log = logs.PartLog("guard")

# 422 would blame the caller's request, which a crash record cannot prove:
# endpoints also fail for unrelated reasons.
STATUS = 502
# An engine that goes down so soon after it began to run a request may have
# crashed because of it.
BRIEF_RUN_MS = 500
# The same for a part of its prompt: sound ones are known by other answers.
BRIEF_PART_RUN_MS = 1_500
# The record of an endpoint that ended is gone after this time.
MAX_RECORD_AGE_MS = 6_000
MAX_PARTS_PER_PROMPT = 32
MAX_DEPTH = 1_000


class CrashGuard:
    """The crash records of requests during which endpoints failed."""

    def __init__(self, now):
        """Start without crash records."""
        self._table = crashes.CrashTable(now)
        self._parts = crashing_parts.PartTable(now)
        self._unsent = []
        self._has_unsent_parts = False

    def check(self, exchange):
        """Refuse a request that crashes endpoints, and note a suspect one.

        ``exchange.suspect`` becomes the part of its prompt that may crash an
        engine, ``None`` if there is none.

        :raises HarmfulRequest: it crashed two endpoints, or a part of its
            prompt crashes engines.
        """
        parts = _part_names(exchange)
        if exchange.call.prompt is not None:
            self._parts.count_prompt(exchange.service.name, parts)
        harmful = self._parts.find_harmful(parts)
        if harmful is not None:
            metrics.count("refused_parts")
            _log.info(
                "refused; a part of the prompt crashes engines",
                request=exchange.call.attempt,
                part=harmful,
            )
            raise _refusal("a part of this prompt crashes engines")
        crashed = self._table.endpoints(exchange.digest)
        if len(crashed) >= crashes.MAX_CRASHES:
            crashed -= self._parts.explained(parts)
        if len(crashed) >= crashes.MAX_CRASHES:
            raise _refusal("this request crashed two endpoints")
        exchange.suspect = self._parts.find_suspect(parts)

    def record_answer(self, exchange):
        """Clear the crash records of a request that was answered."""
        self._table.clear(exchange.digest)

    def record_stream(self, exchange):
        """Record that an answer on the parts of a prompt was whole."""
        self.record_answer(exchange)
        for part in _part_names(exchange):
            if self._parts.record_answer(part):
                _log.info(
                    "part of prompts is sound",
                    part=part,
                    request=exchange.call.attempt,
                )

    def sweep(self, fleet_view):
        """Drop the crashes of engines whose records are still there.

        All gateways may have been cut off from all endpoints by refusals.
        """
        if not self._parts.has_records:
            return
        alive = {
            endpoint.incarnation_name
            for endpoint in fleet_view.endpoint_by_id.values()
        }
        found = self._parts.refute(
            lambda endpoint, age_ms: (
                endpoint in alive
                and min(age_ms, fleet_view.current_ms) >= MAX_RECORD_AGE_MS
            )
        )
        for endpoint in found:
            _log.info("endpoint has not crashed", endpoint=endpoint)

    def record_failure(
        self, exchange, state, failure, ran_ms=None, reaches_others=True
    ):
        """Record a crash if the request may have run when it broke off.

        ``ran_ms`` is for how long it had run, ``None`` if it had not begun.
        If this gateway reaches no other endpoint either, it is probably cut
        off, and no part of the prompt is to blame.
        """
        if failure.answer is not None or not failure.broken:
            return
        if failure.verdict is not verdicts.Verdict.MAY_HAVE_RUN:
            return
        incarnation = state.endpoint.incarnation_name
        digest = exchange.digest
        strong = ran_ms is None or ran_ms < BRIEF_RUN_MS
        if self._table.add(digest, incarnation, strong=strong):
            self._unsent.append((digest, incarnation, 0, strong))
            _log.info(
                "connection broke during a request; crash recorded",
                request=exchange.call.attempt,
                endpoint=state.endpoint.id,
                digest=digest,
            )
            self._note_new_record(digest, "own")
        is_brief = ran_ms is None or ran_ms < BRIEF_PART_RUN_MS
        is_leaving = state.endpoint.draining or state.is_leaving
        if is_brief and reaches_others and not is_leaving:
            self._record_parts(exchange, incarnation)

    def _record_parts(self, exchange, incarnation):
        """Record the parts of a prompt that may have crashed an engine."""
        for depth, part in enumerate(_part_names(exchange)):
            crash = crashing_parts.PartCrash(part, incarnation, 0, depth)
            if self._parts.add(crash):
                self._has_unsent_parts = True
                self._note_new_part(crash, exchange.call.attempt)

    def _note_new_part(self, crash, request=None):
        """Log a suspect part; ``request`` told of it, or a peer."""
        metrics.count(
            "part_crash_records", source="own" if request else "peer"
        )
        is_harmful = self._parts.is_harmful(crash.part)
        _log.info(
            "part of prompts counts as harmful; it gets no further engine"
            if is_harmful
            else "part of prompts is suspect; it gets one engine",
            part=crash.part,
            endpoint=crash.endpoint,
            crashed=sorted(self._parts.crashes(crash.part)),
            told_by=request,
        )

    def message(self):
        """Return crash records that peers may lack, as plain data."""
        return [list(mark) for mark in self._table.message()]

    @property
    def has_unsent_records(self):
        """Return whether records of this gateway wait for their first send."""
        return bool(self._unsent) or self._has_unsent_parts

    def drain_records(self):
        """Return and clear the records not yet sent, as plain data."""
        records = self._unsent[: crashes.MAX_RECORDS_PER_MESSAGE]
        self._unsent = []
        return records

    def drain_parts(self):
        """Return what peers may lack of parts if any record is not sent."""
        if not self._has_unsent_parts:
            return {}
        self._has_unsent_parts = False
        return self.parts_message()

    def parts_message(self):
        """Return what peers may lack of parts of prompts, as plain data."""
        found = {
            "crashed": [list(crash) for crash in self._parts.message()],
            "sound": self._parts.sound_parts(),
        }
        return {name: rows for name, rows in found.items() if rows}

    def merge_parts(self, data):
        """Merge what a peer knows of parts of prompts.

        :raises AttributeError, TypeError, ValueError, OverflowError: if
            malformed.
        """
        found = [
            crashing_parts.PartCrash(
                str(part),
                str(endpoint),
                max(0, int(age_ms)),
                min(MAX_DEPTH, int(depth)),
            )
            for part, endpoint, age_ms, depth in data.get("crashed", ())
        ]
        sound = [str(part) for part in data.get("sound", ())]
        for crash in self._parts.merge(found, sound):
            self._note_new_part(crash)

    def merge(self, rows):
        """Merge the crash records of a peer.

        :raises TypeError, ValueError, OverflowError: if malformed.
        """
        crashes_of_peer = [
            members.Crash(
                str(digest), str(endpoint), int(age_ms), bool(strong)
            )
            for digest, endpoint, age_ms, strong in rows
        ]
        for crash in self._table.merge(crashes_of_peer):
            self._note_new_record(crash.digest, "peer")

    def _note_new_record(self, digest, source):
        """Count a new record, and log if its request is refused from now on.

        ``source`` tells whether this gateway or a peer saw the crash.
        """
        metrics.count("crash_records", source=source)
        if self._table.is_harmful(digest):
            _log.warning(
                "request counts as harmful; it gets no further endpoint",
                digest=digest,
                crashed=sorted(self._table.endpoints(digest)),
                source=source,
            )


def _refusal(why):
    error = errors.HarmfulRequest(why)
    error.status = STATUS
    return error


def _part_names(exchange):
    """Return the parts of a prompt that others may share, in order.

    The last part is the request's own.
    """
    prompt = exchange.call.prompt
    if prompt is None:
        return []
    shared = prompt.parts[:-1][:MAX_PARTS_PER_PROMPT]
    return [
        f"{exchange.service.name}/{part.id}"
        for part in shared
        if len(part.id) <= domain.MAX_TEXT
    ]
