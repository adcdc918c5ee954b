"""Stage changes of engines while gateways are killed."""

import json
import threading
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import gateway_base
from tests.integration import test_gateway_streams

NAMES = ("gateway-1", "gateway-2", "gateway-3")
# Time after an executed order until none of its effects can be pending.
SETTLED_SECONDS = 8.0
GAP_SECONDS = 0.2


class StagedEngine:
    """An engine that obeys orders to change its stage."""

    def __init__(self, case, name, stage="decode"):
        """Start and register with the store of a test case."""
        self._case = case
        self.name = name
        self.stage = stage
        self.holders = []
        self.endpoint = case.endpoint(name, self._script, "model", stage=stage)

    def leave(self):
        """Stop listening and remove the engine's record."""
        self.endpoint.close()
        self._case.put(gateway_base.ENDPOINTS_TOPIC, self.name, b"")

    def _script(self, _endpoint, request):
        if request.target == "/report":
            report = json.dumps({"sequence": len(self.holders)})
            yield scripted.answer(request, report.encode())
        elif request.target == "/order":
            order = json.loads(request.body)
            self.holders.append(order["holder_id"])
            threading.Timer(
                gateway_base.ENGINE["switch_s"], self._switch, [order["stage"]]
            ).start()
            yield scripted.answer(request, b"", 202)
        elif self.stage != "decode":
            yield scripted.answer(request, b"", 421)
        else:
            yield from test_gateway_streams.whole_stream(request, (1, 2))

    def _switch(self, stage):
        self.stage = stage
        self._case.register(
            self.name, self.endpoint.address, "model", stage=stage
        )


class Stages(gateway_base.GatewayCase):
    """Three gateways and two engines, of which one decodes."""

    def setUp(self):
        """Wait until a gateway has ordered one of two engines to prefill."""
        super().setUp()
        self.publish(
            gateway_base.route("chat", "model", "stream", resumable=True)
        )
        self.engines = [StagedEngine(self, name) for name in ("one", "two")]
        self.fronts = [
            self.start_without_waiting(name, f"127.0.0.{number}")
            for number, name in enumerate(NAMES, 1)
        ]
        self.prefill_engine = bringup.wait_until(
            lambda: self._with_stage("prefill"), what="a prefill engine"
        )

    def _with_stage(self, stage):
        return next((e for e in self.engines if e.stage == stage), None)

    def lose_decode_engine_and_restart(self, back):
        """Kill all gateways, remove the engine, and restart ``back``."""
        for name in NAMES:
            self.dep.kill(name)
        self._with_stage("decode").leave()
        for name in back:
            self.dep.start(name)

    def seconds_until_served(self, front):
        """Return how long it takes until a stream is answered."""
        start = time.monotonic()

        def is_served():
            try:
                return self._stream(front).status_code == 200
            except httpx.HTTPError:
                return False

        bringup.wait_until(is_served, what="an answer")
        return time.monotonic() - start

    def _stream(self, front):
        time.sleep(GAP_SECONDS)
        headers = test_gateway_streams.MODEL_HEADERS
        return self.ask(front, "/chat/x", **headers)

    def test_restart_of_all_gateways_soon_after_an_order(self):
        # Nothing is served while gateways wait for the lease of a process
        # that has ended.
        self.lose_decode_engine_and_restart(NAMES)
        took = self.seconds_until_served(self.fronts[0])
        self.assertLess(took, gateway_base.RECOVER_SECONDS)

    def test_restart_without_the_gateway_that_held_the_lease(self):
        # Nothing is served while gateways wait for a lease that its holder
        # kept after the effects of its order were over.
        time.sleep(SETTLED_SECONDS)
        (holder,) = self.prefill_engine.holders
        back = [name for name in NAMES if name != holder]
        self.lose_decode_engine_and_restart(back)
        front = self.fronts[NAMES.index(back[0])]
        took = self.seconds_until_served(front)
        self.assertLess(took, gateway_base.RECOVER_SECONDS)

    def test_restart_without_a_decode_engine_beside_a_late_store(self):
        # Guards against claims of the lease that a late store never confirms
        # in time.
        self.set_store_mode("ok", delay_ms=900)
        self.lose_decode_engine_and_restart(NAMES)
        took = self.seconds_until_served(self.fronts[0])
        self.assertLess(took, gateway_base.RECOVER_SECONDS)
