"""What all gateways hand over to those that may act for all.

Once a second each gateway sends every candidate what its sources give, and a
candidate's sinks take it in.  Datagrams get lost, come twice or out of order:
sources give totals, never differences, until a sink has confirmed them.
"""

import json

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall.gateway import peer_messages
from clementinewall import logs

_log = logs.PartLog("duty")

SEND_INTERVAL_MS = 1_000
MESSAGE_KEY = "collect"
REPLY_KEY = "collected"


class Collection:
    """Sends what the sources of this gateway give to the candidates."""

    def __init__(self, settings, holder, send_to):
        """Send to the candidates of ``holder``.

        ``send_to(raw, ips)`` sends a datagram to each of ``ips``.
        """
        self._own_ip = settings.ip
        self._holder = holder
        self._send_to = send_to
        self._source_by_name = {}
        self._sink_by_name = {}

    def add(self, name, source, sink):
        """Hand over what ``source`` gives to the ``sink`` of candidates.

        ``source.messages(ip)`` returns plain data for the candidate at
        ``ip``, one item a datagram, and ``source.confirm(ip, data)`` takes
        what it replied.  ``sink.take(ip, data)`` returns that reply, or
        ``None``.
        """
        self._source_by_name[name] = source
        self._sink_by_name[name] = sink

    async def run(self):
        """Send until cancelled."""
        while True:
            self.send()
            await anyio.sleep(clock.seconds(SEND_INTERVAL_MS))

    def send(self):
        """Send all candidates what they lack."""
        for ip in self._holder.candidates():
            for name, source in self._source_by_name.items():
                with containment.contained(
                    _log, "handing over to a candidate", source=name, to=ip
                ):
                    for data in source.messages(ip):
                        self._hand_over(ip, name, data)

    def _hand_over(self, ip, name, data):
        if ip != self._own_ip:
            message = {MESSAGE_KEY: {name: data}}
            self._send_to(peer_messages.dump(message), [ip])
            return
        # As a datagram would arrive.
        data = json.loads(json.dumps(data))
        reply = self._sink_by_name[name].take(ip, data)
        if reply is not None:
            self._source_by_name[name].confirm(ip, reply)

    def take(self, message, ip):
        """Take in what the gateway at ``ip`` sent or replied.

        :raises AttributeError, KeyError, TypeError, ValueError: if malformed.
        """
        for name, data in message.get(MESSAGE_KEY, {}).items():
            sink = self._sink_by_name.get(name)
            reply = sink.take(ip, data) if sink is not None else None
            if reply is not None:
                raw = peer_messages.dump({REPLY_KEY: {name: reply}})
                self._send_to(raw, [ip])
        for name, data in message.get(REPLY_KEY, {}).items():
            source = self._source_by_name.get(name)
            if source is not None:
                source.confirm(ip, data)
