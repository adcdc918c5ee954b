"""A gateway that is out of step while engines of a new version join."""

import time

from standins import bringup
from tests.integration import version_base

APART_IP = "127.0.0.2"
FIRST_EVENTS = version_base.FIRST_EVENTS


class VersionCuts(version_base.VersionCase):
    """One gateway hears of neither the store nor the other gateway."""

    calls_store_by_own_ip = True

    def test_a_gateway_out_of_step_joins_no_two_versions(self):
        # Guards against the only version that such a gateway knows being
        # taken for that of a stream which began elsewhere.
        self.add_engines("v1")
        front = self.gateway(budget_slack=400)
        apart = self.start_without_waiting(
            "apart", APART_IP, bringup.free_port(), budget_slack=400
        )
        bringup.wait_until(
            lambda: "recorded versions read" in self.dep.log_of("apart"),
            what="all that a gateway reads",
        )
        self.set_store_mode("silent", callers=[APART_IP])
        self.add_engines("v2")
        bringup.wait_until(
            lambda: self._version_of_new_stream(front) == "v2",
            what="a stream at the new version",
        )

        def work(_number, stream):
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.send(apart, stream, f"{stream.name}-1")

        streams = self.run_streams(work)
        self.assertEqual([s.name for s in streams if len(s.versions) > 1], [])
        self.set_store_mode("ok", callers=[APART_IP])
        time.sleep(2)

        def finish(_number, stream):
            if not stream.is_complete:
                self.send(apart, stream, f"{stream.name}-2")

        self.check(self.run_streams(finish, streams))

    def _version_of_new_stream(self, front):
        stream = version_base.Stream("new")
        self.send(front, stream, "new")
        return max(stream.versions, default=None)
