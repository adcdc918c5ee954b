"""What the stand-in of the store answers for a topic's history."""

import struct
import time

import httpx

from tests.integration import gateway_base

TOPIC = "topic"
DELAY_MS = 300
_OFFSETS = struct.Struct(">QQ")


class History(gateway_base.GatewayCase):
    """Records that are appended, read and dropped."""

    def read(self, start=0, topic=TOPIC):
        """Read a topic from an offset on."""
        return self.http.get(
            f"http://{self.store}/log-read",
            params={"topic": topic, "part": 0, "from": start},
        )

    def append(self, *records, topic=TOPIC, **more):
        """Append records with one call."""
        raw = b"".join(struct.pack(">I", len(r)) + r for r in records)
        return self.http.post(
            f"http://{self.store}/log-append",
            params={"topic": topic, "part": 0, **more},
            content=raw,
        )

    def forget(self):
        """Drop the history of the topic."""
        self.http.post(
            f"http://{self.store}/standin/forget", params={"topic": TOPIC}
        ).raise_for_status()

    def test_a_topic_without_records_has_offsets_only(self):
        # Guards against checks that take a topic with records for empty.
        self.assertEqual(self.read().content, bytes(_OFFSETS.size))
        self.append(b"\x01kvalue")
        self.assertNotEqual(self.read().content, bytes(_OFFSETS.size))
        self.assertEqual(
            self.read(topic="other").content, bytes(_OFFSETS.size)
        )

    def test_records_of_one_call_keep_their_order(self):
        # Guards against records of a call that are lost or joined.
        answer = self.append(b"\x01aone", b"\x01btwo")
        self.assertEqual(answer.json(), {"offset": 0, "end_offset": 2})
        expected = _OFFSETS.pack(2, 0) + struct.pack(">I", 5) + b"\x01aone"
        expected += struct.pack(">I", 5) + b"\x01btwo"
        self.assertEqual(self.read().content, expected)

    def test_reads_of_a_dropped_history_get_410(self):
        # Guards against readers that take what was dropped for never written.
        self.append(b"\x01aone", b"\x01btwo")
        self.forget()
        answer = self.read(1)
        self.assertEqual(answer.status_code, httpx.codes.GONE)
        self.assertEqual(answer.json(), {"first_offset": 2})
        self.assertEqual(self.read(2).content, _OFFSETS.pack(2, 2))
        self.append(b"\x01cthree")
        expected = _OFFSETS.pack(3, 2) + struct.pack(">I", 7) + b"\x01cthree"
        self.assertEqual(self.read(2).content, expected)

    def test_an_append_elsewhere_than_at_the_end_changes_nothing(self):
        # Guards against two writers that both take an offset for theirs.
        self.append(b"\x01aone")
        answer = self.append(b"\x01btwo", at=0)
        self.assertEqual(answer.status_code, 412)
        self.assertEqual(answer.json(), {"end_offset": 1})
        self.assertEqual(self.append(b"\x01btwo", at=1).status_code, 200)

    def test_a_slow_store_delays_reads_and_appends(self):
        # Guards against tests of a slow store that is quick.
        self.set_store_mode("ok", delay_ms=DELAY_MS)
        for call in (self.read, lambda: self.append(b"\x01aone")):
            start = time.monotonic()
            call()
            took_ms = (time.monotonic() - start) * 1_000
            self.assertGreaterEqual(took_ms, DELAY_MS)
