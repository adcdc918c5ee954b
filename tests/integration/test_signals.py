"""Signals in any order: before listening, serving, draining, at the end."""

import errno
import os
import signal
import socket
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import callers
from tests.integration import gateway_base

OTHERS = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGPROF)


def answer_after(seconds):
    """Return a script that answers after so many seconds."""

    def script(_endpoint, request):
        yield seconds
        yield scripted.answer(request, b"done")

    return script


class StillStarting:
    """Holds a process of ``dep`` in the reading of its settings file."""

    def __init__(self, dep, name):
        """Start ``name`` anew and wait until it reads its settings."""
        self._dep = dep
        self._name = name
        dep.kill(name)
        self._path = dep.folder / f"{name}.toml"
        self._text = self._path.read_bytes()
        self._path.unlink()
        os.mkfifo(self._path)
        dep.start(name)
        self._pipe = bringup.wait_until(self._open, what=f"{name} to read")

    def _open(self):
        try:
            return os.open(self._path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as exc:
            if exc.errno != errno.ENXIO:
                raise
            return None

    def go_on(self):
        """Let the process read its settings, from an ordinary file later."""
        self._path.unlink()
        self._path.write_bytes(self._text)
        os.write(self._pipe, self._text)
        os.close(self._pipe)

    def send(self, *numbers):
        """Send signals, one after the other."""
        for number in numbers:
            self._dep.process_by_name[self._name].send_signal(number)
            time.sleep(0.02)


class GatewaySignals(gateway_base.GatewayCase):
    """A gateway."""

    def setUp(self):
        """Publish a route."""
        super().setUp()
        self.publish(gateway_base.route("book", "app", "unsafe"))

    def send(self, *numbers):
        """Send signals to the gateway, one after the other."""
        for number in numbers:
            self.dep.process_by_name["gateway-1"].send_signal(number)
            time.sleep(0.05)

    def drain(self):
        """Send SIGTERM and wait until the gateway drains."""
        self.terminate()
        bringup.wait_until(
            lambda: not self.is_ready("gateway-1"), what="the drain"
        )

    def settings_path(self):
        """Return the path of the gateway's settings."""
        return self.dep.folder / "gateway-1.toml"

    def wait_line(self, text):
        """Wait until the gateway has logged ``text``."""
        bringup.wait_until(
            lambda: text in self.dep.log_of("gateway-1"), 5, text
        )

    def test_signals_during_a_drain_cut_no_open_call(self):
        self.endpoint("one", answer_after(1.2))
        front = self.gateway()
        asked = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.3)
        self.drain()
        self.send(signal.SIGHUP, signal.SIGTERM, *OTHERS, signal.SIGHUP)
        rows = asked.join()
        self.assertEqual(asked.errors, [])
        self.assertEqual(rows[0][1].content, b"done")
        self.assertEqual(self.dep.wait_end("gateway-1", 5), 0)

    def test_signals_until_the_end_do_not_change_the_exit_code(self):
        self.gateway()
        self.drain()
        process = self.dep.process_by_name["gateway-1"]
        end = time.monotonic() + 8
        while process.poll() is None and time.monotonic() < end:
            self.dep.process_by_name["gateway-1"].send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assertEqual(process.poll(), 0)

    def test_signals_before_listening_do_not_kill(self):
        front = self.gateway()
        starting = StillStarting(self.dep, "gateway-1")
        starting.send(signal.SIGHUP, *OTHERS, signal.SIGTERM, signal.SIGHUP)
        starting.go_on()
        self.assertEqual(self.dep.wait_end("gateway-1", 5), 0)
        with self.assertRaises(httpx.ConnectError):
            self.ask(front, "/book/x")

    def test_hang_up_before_listening_does_not_keep_from_serving(self):
        self.gateway()
        starting = StillStarting(self.dep, "gateway-1")
        starting.send(signal.SIGHUP, *OTHERS)
        starting.go_on()
        bringup.wait_until(lambda: self.is_ready("gateway-1"), what="service")

    def test_other_signals_do_not_end_a_serving_gateway(self):
        self.endpoint("one", answer_after(0.1))
        front = self.gateway()
        self.send(*OTHERS)
        self.assertEqual(self.ask(front, "/book/x").status_code, 200)
        self.wait_line("SIGUSR1")
        self.wait_line("SIGPROF")

    def test_hang_up_tells_whether_the_settings_file_changed(self):
        self.gateway()
        self.send(signal.SIGHUP)
        self.wait_line("settings file unchanged")
        path = self.settings_path()
        text = path.read_text()
        path.write_text(text.replace('"grace_s" = 3', '"grace_s" = 4'))
        self.send(signal.SIGHUP)
        self.wait_line("settings file changed, in force at the next start")

    def test_hang_up_with_an_invalid_file_keeps_the_settings(self):
        self.endpoint("one", answer_after(0.1))
        front = self.gateway()
        path = self.settings_path()
        text = path.read_text()
        for broken, told in (
            (text.replace('"zone" = "a"', '"zone" = 7'), "zone: found 7"),
            (text.replace("= 3\n", "= inf\n"), "bounds.grace_s: found inf"),
            ("a = " + "[" * 20_000, "not TOML"),
            ("a = " + "9" * 5_000, "not TOML"),
            ("\x00", "not TOML"),
        ):
            with self.subTest(told):
                path.write_text(broken)
                before = len(self.dep.log_of("gateway-1"))
                self.send(signal.SIGHUP)
                bringup.wait_until(
                    lambda: told in self.dep.log_of("gateway-1")[before:],
                    5,
                    told,
                )
        path.unlink()
        self.send(signal.SIGHUP)
        self.wait_line("No such file")
        self.assertIn(str(path), self.dep.log_of("gateway-1"))
        self.assertEqual(self.ask(front, "/book/x").status_code, 200)

    def test_a_second_interrupt_ends_at_once(self):
        self.endpoint("one", answer_after(1.2))
        front = self.gateway()
        asked = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.3)
        self.send(signal.SIGINT)
        self.send(signal.SIGINT)
        self.assertEqual(self.dep.wait_end("gateway-1", 1), 3)
        self.wait_line("SIGINT")
        self.assertNotIn("Traceback", self.dep.log_of("gateway-1"))
        asked.join()

    def test_an_address_in_use_is_named_without_a_traceback(self):
        self.gateway()
        taken = self.listen_by_name["gateway-1"]
        for key in ("front", "ready_addr", "directory"):
            with self.subTest(key), socket.socket() as other:
                self.dep.kill("gateway-1")
                host, _, port = taken[key].rpartition(":")
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                other.bind((host, int(port)))
                other.listen()
                before = len(self.dep.log_of("gateway-1"))
                self.dep.start("gateway-1")
                self.assertEqual(self.dep.wait_end("gateway-1", 10), 2)
                told = self.dep.log_of("gateway-1")[before:]
                self.assertIn(f"cannot listen on {taken[key]}", told)
                self.assertNotIn("Traceback", told)

    def test_a_peer_port_in_use_is_named_without_a_traceback(self):
        taken = ("127.0.0.1", self._peer_port())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(taken)
            self.start_without_waiting()
            self.assertEqual(self.dep.wait_end("gateway-1", 10), 2)
        told = self.dep.log_of("gateway-1")
        self.assertIn("cannot listen on %s:%d" % taken, told)
        self.assertNotIn("Traceback", told)

    def test_a_gateway_whose_store_is_away_stops_when_told(self):
        for mode in ("busy", "silent"):
            with self.subTest(mode):
                self.set_store_mode(mode)
                front = self.start_without_waiting()
                bringup.wait_until(
                    lambda: self._accepts_connections(front), what="start"
                )
                self.send(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
                self.assertEqual(self.dep.wait_end("gateway-1", 5), 0)


class NodeSignals(base.DeploymentCase):
    """An entry and a steward."""

    def send(self, name, *numbers):
        """Send signals to a process, one after the other."""
        for number in numbers:
            self.dep.process_by_name[name].send_signal(number)
            time.sleep(0.05)

    def test_signals_while_serving_and_draining_end_no_process(self):
        self.bring_up(2, 2, entry_2={"limits": {"keep_addresses_ms": 1_000}})
        for name in ("entry-2", "steward-2"):
            self.send(name, signal.SIGHUP, *OTHERS)
            self.assertTrue(self.dep.status(name)["ready"])
        asked = base.Background(
            callers.stream, [(self.url(2), "long answer", 60)]
        )
        time.sleep(0.3)
        for name in ("entry-2", "steward-2"):
            self.send(name, signal.SIGTERM, signal.SIGHUP)
            self.send(name, signal.SIGTERM, *OTHERS, signal.SIGHUP)
        rows = asked.join()
        self.assertEqual(asked.errors, [])
        self.assertEqual(
            callers.expected("long answer", 60), callers.texts(rows[0][1])
        )
        self.assertEqual(0, self.dep.wait_end("entry-2"))
        self.assertEqual(0, self.dep.wait_end("steward-2"))

    def test_signals_before_listening_do_not_kill(self):
        dep = bringup.Deployment()
        self.addCleanup(dep.close)
        dep.platform()
        for program in ("entry", "steward"):
            with self.subTest(program):
                dep.instance(program, "a", program)
                starting = StillStarting(dep, program)
                starting.send(signal.SIGHUP, *OTHERS)
                starting.send(signal.SIGTERM, signal.SIGHUP)
                starting.go_on()
                self.assertEqual(dep.wait_end(program, 5), 0)

    def test_a_node_whose_log_is_away_stops_when_told(self):
        dep = bringup.Deployment()
        self.addCleanup(dep.close)
        dep.platform()
        for program in ("entry", "steward"):
            with self.subTest(program):
                dep.instance(program, "a", program, log=bringup.address())
                where = dep.address_by_name[program]
                bringup.wait_until(
                    lambda: dep._answers(where), what=f"the {program}"
                )
                self.dep = dep
                self.send(program, signal.SIGHUP, signal.SIGTERM)
                self.send(program, signal.SIGHUP)
                self.assertEqual(dep.wait_end(program, 10), 0)
