"""Entries of another writer among the records of endpoints."""

import json
import time

from bench.soak import odd_entries
from standins import bringup
from standins import scripted
from tests.integration import gateway_base

GATEWAYS = 2
ENGINES = 3
# Requests to each gateway while what an entry sets off comes about.
ROUNDS = 4
ROUND_SECONDS = 0.2


GATEWAYS_TOPIC = "keyed.gateways"


class OddEntries(gateway_base.GatewayCase):
    """Each odd entry costs that entry, and never the list."""

    def setUp(self):
        """Start gateways beside engines of which one has to decode."""
        super().setUp()
        self.publish(gateway_base.route("look", "app", "safe"))
        # Engines are chosen by id, so these come after an odd one.
        for number in range(ENGINES):
            engine = self.engine(f"engine-{number}", self._report, "prefill")
            self.address = engine.address
        self.endpoint("app-1", self._answer)
        self.fronts = [
            self.start_without_waiting(f"gateway-{n}", f"127.0.0.{n}")
            for n in range(1, GATEWAYS + 1)
        ]

    def _report(self, _endpoint, request):
        yield scripted.answer(request, b'{"sequence":0}')

    def _answer(self, _endpoint, request):
        yield scripted.answer(request)

    def check_all_follow(self):
        """Check that gateways run, and follow what comes after."""
        self.endpoint("app-2", self._answer)
        names = [f"gateway-{n}" for n in range(1, GATEWAYS + 1)]
        for name in names:
            bringup.wait_until(
                lambda n=name: '"app-2"' in self.dep.log_of(n),
                what=f"a later entry at {name}",
            )
            # The caches of all engines are asked for in the same round.
            bringup.wait_until(
                lambda n=name: self._asks_caches(n),
                what=f"requests for caches by {name}",
            )
        for number, front in enumerate(self.fronts * ROUNDS):
            answer = self.ask(front, "/look/x", f"a{number}")
            self.assertEqual(answer.status_code, 200)
            time.sleep(ROUND_SECONDS)
        for name in names:
            self.assertIsNone(self.dep.process_by_name[name].poll(), name)
            for mark in ("Traceback", "unexpected"):
                self.assertFalse(mark in self.dep.log_of(name), (name, mark))

    def _asks_caches(self, name):
        return f'"engine-{ENGINES - 1}"' in "".join(
            line
            for line in self.dep.log_of(name).splitlines(True)
            if "report its cache" in line or "cache list applied" in line
        )

    def test_no_field_ends_a_process(self):
        # Guards against fields that pass the decoder and fail where they act.
        for number, fields in enumerate(odd_entries.ODD_FIELDS):
            self.put(
                gateway_base.ENDPOINTS_TOPIC,
                f"odd-{number}",
                json.dumps({**odd_entries.SOUND, **fields}).encode(),
            )
        self.check_all_follow()

    def test_no_id_ends_a_process(self):
        # Guards against ids that no header can carry.
        for name in odd_entries.ODD_IDS:
            row = {**odd_entries.SOUND, "address": self.address}
            self.put(gateway_base.ENDPOINTS_TOPIC, name, row)
        bringup.wait_until(self._is_ordered, seconds=15, what="an order")
        self.check_all_follow()

    def test_keys_that_are_no_text_end_no_list(self):
        # Guards against pages that begin anew at a key that can't be named.
        self.http.post(
            f"http://{self.store}/standin/page?size=2"
        ).raise_for_status()
        for name in (b"a\xff", b"a\xfe\xff", b"\xff", b"engine-1\xc3"):
            self.put(gateway_base.ENDPOINTS_TOPIC, name, odd_entries.SOUND)
        self.check_all_follow()
        late = self.start_without_waiting("gateway-3", "127.0.0.3")
        bringup.wait_until(
            lambda: self.is_ready("gateway-3"),
            what="a gateway that reads the whole list",
        )
        self.assertEqual(self.ask(late, "/look/x", "l").status_code, 200)
        for name in ("app-1", "app-2", "engine-0", "engine-2"):
            self.assertIn(f'"{name}"', self.dep.log_of("gateway-3"))

    def test_no_key_among_the_gateways_silences_them(self):
        # Guards against datagrams to what is no address, which close a socket.
        for key in ("a\x00", "no.address.invalid", b"\xff", "9" * 250):
            self.put(GATEWAYS_TOPIC, key, b"1")
        self.check_all_follow()
        bringup.wait_until(
            lambda: len(self.addresses("gateway-1")) == GATEWAYS,
            what="gateways that hear each other",
        )
        late = self.start_without_waiting("gateway-3", "127.0.0.3")
        bringup.wait_until(
            lambda: (
                self.is_ready("gateway-3")
                and len(self.addresses("gateway-3")) == GATEWAYS + 1
            ),
            what="a gateway that hears and is heard",
        )
        self.assertEqual(self.ask(late, "/look/x", "l").status_code, 200)

    def _is_ordered(self):
        names = [f"gateway-{n}" for n in range(1, GATEWAYS + 1)]
        return any("stage ordered" in self.dep.log_of(n) for n in names)

    def test_an_entry_of_the_future_keeps_out_no_later_one(self):
        # Guards against a birth that makes each sound record an earlier one.
        self.put(
            gateway_base.ENDPOINTS_TOPIC,
            "app-1",
            {
                **odd_entries.SOUND,
                "service": "app",
                "stage": None,
                "born": 2**52,
            },
        )
        sound = self.endpoint("app-1", self._answer, born=1_700_000_000_000)
        self.check_all_follow()
        for number in range(1, GATEWAYS + 1):
            bringup.wait_until(
                lambda n=number: (
                    sound.address in self.dep.log_of(f"gateway-{n}")
                ),
                seconds=5,
                what="the sound record",
            )
