"""The rounds by which heartbeats and other news reach all gateways.

What is sent to whom is decided in :mod:`clementinewall.policy.dissemination`.
"""

import bisect
import typing

from clementinewall import clock
from clementinewall.gateway import peer_messages
from clementinewall import logs
from clementinewall.policy import dissemination

_log = logs.PartLog("peers")

# Facts that are missing are asked for once in this time.
ASK_INTERVAL_MS = 200
# The order of the live gateways, by which rounds go, is renewed after this.
RING_LIFETIME_MS = 500


class _Ring(typing.NamedTuple):
    """All live gateways in order, and those that are silent."""

    ips: tuple[str, ...] = ()
    silent: frozenset[str] = frozenset()
    expires_at: clock.Millis = 0


class HeartbeatRounds:
    """Sends the newest heartbeats to some gateways, and takes them in."""

    def __init__(
        self, settings, now, is_ready, table, incarnation, send, news
    ):
        """Pass on the heartbeats in ``table`` and those of this process.

        ``incarnation`` is a number that grows with each process here,
        ``send(raw, ips)`` sends a datagram, and ``news()`` returns what else
        all gateways have to know, as entries of a message.
        """
        self._settings = settings
        self._now = now
        self._is_ready = is_ready
        self._table = table
        self._send = send
        self._news = news
        facts = dissemination.Facts(
            settings.ip, incarnation, settings.callers, settings.data_centre
        )
        self._own = dissemination.OwnProcess(facts, now)
        self._targets = dissemination.Targets(settings.ip)
        self._ring = _Ring()
        self.next_at = now()
        self._next_ask = now()

    def send_if_due(self):
        """Send a round if the last one is long enough ago."""
        now = self._now()
        if now < self.next_at:
            return
        # A round that comes late doesn't delay those after it.
        self.next_at = max(self.next_at + dissemination.ROUND_INTERVAL_MS, now)
        if now >= self._ring.expires_at:
            self._ring = self._new_ring(now)
        targets = self._targets.next_round(self._ring.ips, self._ring.silent)
        if targets:
            self._send(self._message(), targets)

    def _new_ring(self, now):
        live = self._table.live()
        places = sorted((peer.data_centre, peer.ip) for peer in live)
        own = self._settings.data_centre, self._settings.ip
        bisect.insort(places, own)
        ips = tuple(ip for _, ip in places)
        silent = frozenset(self._table.ips - set(ips))
        return _Ring(ips, silent, now + RING_LIFETIME_MS)

    def welcome(self, ip):
        """Send all news to a gateway that may just have started."""
        self._send(self._message(), [ip])

    def own_beat(self):
        """Return a heartbeat of this process as plain data."""
        beat = self._own.beat(self._is_ready())
        return peer_messages.encode_beats([beat], self._now())

    def _beats(self):
        beats = [self._own.beat(self._is_ready()), *self._table.beats()]
        return peer_messages.encode_beats(beats, self._now())

    def _message(self):
        facts = self._table.recent_facts()
        age_ms = self._now() - self._own.started_at
        if age_ms < dissemination.FACTS_SPREAD_MS:
            facts.append(self._own.facts)
        return peer_messages.dump(
            {"beats": self._beats(), "facts": facts, **self._news()}
        )

    def take(self, message, ip):
        """Take in what the gateway at ``ip`` knows of all, or asks.

        :raises AttributeError, TypeError, ValueError: if malformed.
        """
        self._table.merge_facts(
            peer_messages.decode_facts(message.get("facts", ()))
        )
        if "beats" in message:
            self._take_beats(message["beats"], ip)
        if "ask" in message and self._table.is_known(ip):
            self._answer([str(name) for name in message["ask"]], ip)

    def _take_beats(self, columns, ip):
        now = self._now()
        beats = peer_messages.decode_beats(columns, now)
        missing = self._table.merge_beats(beats)
        if missing and now >= self._next_ask:
            self._next_ask = now + ASK_INTERVAL_MS
            self._send(peer_messages.dump({"ask": missing}), [ip])
        own = self._table.own_beat
        if own is not None and self._own.outdo(own):
            _log.info(
                "incarnation raised above that of an earlier process",
                incarnation=self._own.facts.incarnation,
            )

    def _answer(self, ips, asker):
        """Send the facts of the gateways at ``ips`` to the gateway that asks.

        Their number is bounded, since anybody may send to this port.
        """
        facts = self._table.facts(ips[: dissemination.MAX_BEATS])
        if self._settings.ip in ips:
            facts.append(self._own.facts)
        if facts:
            message = {"facts": facts, "beats": self._beats()}
            self._send(peer_messages.dump(message), [asker])
