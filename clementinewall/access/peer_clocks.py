"""When another gateway did something, at the earliest, by the own clock.

A datagram may lie in a socket for as long as its receiver is suspended, so its
arrival tells nothing of its age.  Gateways exchange clock readings instead:
one sends its time ``g``, the other returns it with its own time ``r``.  As
``r`` was read after ``g``, the own clock is ahead of the other by ``g - r`` at
the least, however late the reply is read.
"""

import secrets
import typing

from clementinewall import clock
from clementinewall.gateway import peer_messages

# Clocks of two machines drift apart by less than 10 ms in this time.
RENEWAL_MS = 60_000
# A bound that could not be renewed for this long may be wrong by more than
# the margin that is left for clocks.
MAX_BOUND_AGE_MS = 2 * RENEWAL_MS
ASK_INTERVAL_MS = 500
ASK_KEY = "clock_ask"
REPLY_KEY = "clock"
ID_BYTES = 6
# A process ends without notice, and its clock is never asked for again.
MAX_CLOCKS = 1_024


class Reading(typing.NamedTuple):
    """A time by the clock ``clock_id`` of the gateway at ``ip``."""

    clock_id: str
    ip: str
    at: clock.Millis


class _Bound(typing.NamedTuple):
    """By how much the own clock is ahead of another, at the least."""

    ahead_ms: clock.Millis
    learned_at: clock.Millis


class PeerClocks:
    """Compares the clocks of other processes with the own one."""

    def __init__(self, own_ip, ticker, send_to):
        """Ask by ``send_to(raw, ips)``, which sends a datagram."""
        self._own_ip = own_ip
        self._clock = ticker
        self._send_to = send_to
        self._own_id = secrets.token_hex(ID_BYTES)
        self._bound_by_id = {}
        self._asked_at_by_ip = {}

    def reading(self, at):
        """Return an own time for other gateways."""
        return Reading(self._own_id, self._own_ip, at)

    def earliest(self, reading):
        """Return the earliest own time that a reading can stand for.

        It is ``None`` if that isn't known yet, and asked for then.
        """
        if reading.clock_id == self._own_id:
            return reading.at
        bound = self._bound_by_id.get(reading.clock_id)
        now = self._clock.now_with_suspend()
        if bound is None or now - bound.learned_at > RENEWAL_MS:
            self._ask(reading.ip, now)
        if bound is None or now - bound.learned_at > MAX_BOUND_AGE_MS:
            return None
        return min(now, reading.at + bound.ahead_ms)

    def _ask(self, ip, now):
        asked_at = self._asked_at_by_ip.get(ip)
        if asked_at is not None and now - asked_at < ASK_INTERVAL_MS:
            return
        self._asked_at_by_ip[ip] = now
        self._send_to(peer_messages.dump({ASK_KEY: now}), [ip])

    def take(self, message, ip):
        """Answer a gateway that asks, and take in answers.

        :raises TypeError, ValueError: if malformed.
        """
        if ASK_KEY in message:
            reply = [
                self._own_id,
                self._clock.now_with_suspend(),
                int(message[ASK_KEY]),
            ]
            self._send_to(peer_messages.dump({REPLY_KEY: reply}), [ip])
        if REPLY_KEY in message:
            clock_id, other_at, own_at = message[REPLY_KEY]
            if self._asked_at_by_ip.get(ip) != own_at:
                return
            if len(self._bound_by_id) >= MAX_CLOCKS:
                self._bound_by_id.clear()
            now = self._clock.now_with_suspend()
            self._bound_by_id[str(clock_id)] = _Bound(
                own_at - int(other_at), now
            )
