"""Entries of another writer among the records of endpoints."""

import json

from bench.soak import odd_entries
from standins import bringup
from standins import scripted
from tests.integration import gateway_base

GATEWAYS = 2
ENGINES = 3


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
            self.assertIsNone(self.dep.process_by_name[name].poll(), name)
            for mark in ("Traceback", "unexpected"):
                self.assertFalse(mark in self.dep.log_of(name), (name, mark))
        for number, front in enumerate(self.fronts):
            answer = self.ask(front, "/look/x", f"a{number}")
            self.assertEqual(answer.status_code, 200)

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
