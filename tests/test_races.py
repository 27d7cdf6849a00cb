"""Tests of race conditions: a manager process as the deploy file's `run` command starts it, on loopback
sockets, with events in an order that each test forces."""

import json
import os
import resource
import select
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rushladder.standins.platform import RESPONSE_HEAD, chunk, configuration, entry, listing

ROOT = Path(__file__).parent.parent
TIMEOUT_SECONDS = 20.0  # for any step, on a busy machine


class LineConnection:
    """One connection that is read line by line, with a timeout."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(TIMEOUT_SECONDS)
        self.sock, self._rest = sock, b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def line(self) -> str | None:
        """The next line, or None at the end of the connection."""
        while b"\r\n" not in self._rest:
            try:
                data = self.sock.recv(65536)
            except ConnectionError:
                data = b""
            if not data:
                return None
            self._rest += data
        line, self._rest = self._rest.split(b"\r\n", 1)
        return line.decode()

    def until(self, text: str) -> str:
        """Returns the first line that contains the text; acknowledges the marks of the lines up to it."""
        while (line := self.line()) is not None:
            if "stamp=" in line and line.startswith("CONFIG"):
                self.acknowledge(line)
            if text in line:
                return line
        raise AssertionError(f"the connection ended without {text}")

    def acknowledge(self, line: str) -> None:
        mark = line.partition("stamp=")[2].split(" ")[0]
        self.send(f"ACK proxy={self.proxy} mark={mark} took_ms=1\r\n".encode())

    def join(self, proxy: int, fresh: int = 1) -> "LineConnection":
        self.proxy = proxy
        self.send(f"SUBSCRIBE proxy={proxy} zone=a weight=9 fresh={fresh}\r\n".encode())
        return self

    def ended(self) -> bool:
        """Reads to the end of the connection; fails if the other side doesn't close it in time."""
        while self.line() is not None:
            pass
        return True

    def quiet(self, seconds: float) -> bool:
        return not select.select([self.sock], [], [], seconds)[0]

    # For connections to discovery.

    def watch_index(self) -> str:
        """Reads the request of a watch; returns the index that it asks for."""
        request = self.until("GET")
        while self.line():
            pass
        return request.split("index=")[1].split(" ")[0]

    def chunk(self, data: bytes) -> None:
        self.send(chunk(data))


class ManualListener:
    """A listening socket whose connections the test accepts one by one."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(TIMEOUT_SECONDS)
        self.port: int = self.sock.getsockname()[1]
        test.addCleanup(self.sock.close)
        self._test = test

    def accept(self) -> LineConnection:
        sock, _ = self.sock.accept()
        self._test.addCleanup(sock.close)
        return LineConnection(sock)

    def no_connection(self, seconds: float) -> bool:
        return not select.select([self.sock], [], [], seconds)[0]


class Manager:
    """A manager process with its configuration file and its log."""

    def __init__(
        self,
        test: unittest.TestCase,
        discovery: ManualListener,
        *workers: dict[str, Any],
        probes: bool = False,
        **fields: Any,
    ) -> None:
        directory = tempfile.TemporaryDirectory(prefix="rl")
        test.addCleanup(directory.cleanup)
        self.test, self.file, self._log = test, Path(directory.name, "config.json"), list[str]()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.config = configuration(self.port, discovery.port, workers) | fields
        self.config["settings"]["limits"]["probes"] = probes

    def write(self, **fields: Any) -> None:
        self.config |= fields
        self.file.write_text(json.dumps(self.config))

    def start(self, before: Callable[[], None] | None = None, run: str = "") -> "Manager":
        deployed: str = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        run = run or deployed.replace(".venv/bin/python", sys.executable)
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=before,
            env={**os.environ, "RELAY_CONFIG": str(self.file)},
        )
        self._log, self._line_read = list[str](), threading.Condition()
        self._reader = threading.Thread(target=self._read, args=(self.process, self._log), daemon=True)
        self._reader.start()
        self.test.addCleanup(self._reap, self.process, self._reader)
        return self

    def _read(self, process: subprocess.Popen[str], log: list[str]) -> None:
        assert process.stderr is not None
        for line in process.stderr:
            with self._line_read:
                log.append(line)
                self._line_read.notify_all()

    def _reap(self, process: subprocess.Popen[str], reader: threading.Thread) -> None:
        process.kill()
        process.wait()
        reader.join()
        assert process.stderr is not None
        process.stderr.close()

    def logged(self, text: str) -> str:
        """Waits for a log line that contains the text, and returns it."""
        with self._line_read:
            self._line_read.wait_for(lambda: any(text in line for line in self._log), TIMEOUT_SECONDS)
            found = [line for line in self._log if text in line]
        self.test.assertTrue(found, f"{text} not in {self._log}")
        return found[0]

    def log_text(self) -> str:
        """What the process has logged so far."""
        with self._line_read:
            return "".join(self._log)

    def start_and_wait(self) -> "Manager":
        self.write()
        self.start().logged("node.serves")
        return self

    def connect(self) -> LineConnection:
        sock = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_SECONDS)
        self.test.addCleanup(sock.close)
        return LineConnection(sock)

    def signal(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            self.process.send_signal(number)

    def assert_clean_exit(self) -> None:
        """Checks that the process exits with 0 and has logged neither a traceback nor an error."""
        self.test.assertEqual(self.process.wait(TIMEOUT_SECONDS), 0)
        self._reader.join()
        self.test.assertNotIn("Traceback", "".join(self._log))
        self.test.assertNotIn('"error"', "".join(self._log))


class RaceTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.discovery = ManualListener(self)

    def manager(self, *workers: dict[str, Any], **fields: Any) -> Manager:
        return Manager(self, self.discovery, *(workers or map(entry, ("s-0", "s-1", "s-2", "s-3"))), **fields)

    def start_manager(
        self, *workers: dict[str, Any], **fields: Any
    ) -> tuple[Manager, LineConnection, LineConnection]:
        """Starts a manager; returns it, its watch after the response's head, and proxy 3 after its first
        table."""
        manager = self.manager(*workers, **fields).start_and_wait()
        watch = self.discovery.accept()
        self.assertEqual(watch.watch_index(), "41")
        watch.send(RESPONSE_HEAD)
        proxy = manager.connect().join(3)
        proxy.until("rows=")
        return manager, watch, proxy

    def start_with_fifo(self, manager: Manager) -> Any:
        """Starts a process that blocks while it reads its configuration; returns the writing end of the
        file."""
        os.mkfifo(manager.file)
        manager.start()
        return os.open(manager.file, os.O_WRONLY)  # returns when the process has opened the file


class ShutdownTests(RaceTestCase):
    def test_sigterm_during_the_start(self) -> None:
        manager = self.manager()
        end = self.start_with_fifo(manager)
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()
        os.close(end)

    def test_sighup_during_the_start_is_handled_after_it(self) -> None:
        manager, later = self.manager(), ManualListener(self)
        end = self.start_with_fifo(manager)
        manager.signal(signal.SIGHUP)
        first = json.dumps(manager.config)
        manager.file.unlink()
        manager.write(discovery=f"127.0.0.1:{later.port}")
        os.write(end, first.encode())
        os.close(end)
        self.assertEqual(later.accept().watch_index(), "41")
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()

    def test_sigterm_twice_with_a_probe_a_watch_an_unidentified_client_and_unread_orders(self) -> None:
        worker = ManualListener(self)
        manager, watch, _ = self.start_manager(entry("s-0", worker.port), probes=True)
        worker.accept()  # a probe that is not answered
        manager.connect().send(b"PIN")
        watch.send(b'5\r\n{"v')  # an incomplete line
        manager.signal(signal.SIGTERM, signal.SIGTERM, signal.SIGINT)
        manager.assert_clean_exit()

    def test_second_sigterm_while_the_interpreter_exits(self) -> None:
        """Guards against a process that logs `node.ended` but is then killed by a second SIGTERM instead of
        exiting with 0, as the interpreter restores the default signal handlers while it exits. The soak found
        it (seed 2, "term term"). Here an object that is destroyed at the very end of the exit sends the
        second signal."""
        manager = self.manager()
        manager.write()
        script = (
            "import os, signal, sys\n"
            "class Late:\n"
            "    def __del__(self, kill=os.kill, me=os.getpid(), number=signal.SIGTERM):\n"
            "        kill(me, number)\n"
            "sys.late = Late()\n"
            "from rushladder.service.node import main\n"
            "sys.exit(main())\n"
        )
        manager.start(run=f"exec {shlex.join([sys.executable, '-c', script])}").logged("node.serves")
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()

    def test_sighup_right_before_sigterm(self) -> None:
        manager, _, _ = self.start_manager()
        manager.write(discovery=f"127.0.0.1:{ManualListener(self).port}")
        manager.signal(signal.SIGHUP, signal.SIGTERM)
        manager.assert_clean_exit()

    def test_sigterm_while_proxies_join(self) -> None:
        manager, _, _ = self.start_manager()
        for proxy in range(4, 12):
            manager.connect().join(proxy)
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()

    def test_killed_while_proxies_join_and_restarted_at_once(self) -> None:
        manager, _, proxy = self.start_manager()
        connections = [manager.connect().join(proxy) for proxy in range(4, 12)]
        manager.signal(signal.SIGKILL)
        manager.process.wait(TIMEOUT_SECONDS)
        self.assertTrue(proxy.ended() and all(connection.ended() for connection in connections))
        manager.start().logged("node.serves")  # its address is free again while old connections linger
        self.assertEqual(self.discovery.accept().watch_index(), "41")
        for index, connection in enumerate(
            [manager.connect().join(proxy, fresh=0) for proxy in range(3, 12)]
        ):
            self.assertIn("rows=", connection.until("replace=1"), index)

    def test_killed_during_the_start_and_restarted(self) -> None:
        manager = self.manager()
        end = self.start_with_fifo(manager)
        manager.signal(signal.SIGKILL)
        manager.process.wait(TIMEOUT_SECONDS)
        os.close(end)
        manager.file.unlink()
        manager.write()
        manager.start().logged("node.serves")


class ReloadTests(RaceTestCase):
    def test_incomplete_file_is_read_again(self) -> None:
        manager, _, _ = self.start_manager()
        later = ManualListener(self)
        complete = json.dumps({**manager.config, "discovery": f"127.0.0.1:{later.port}"})
        manager.file.write_text(complete[:200])
        manager.signal(signal.SIGHUP)
        manager.logged("reload.refused")
        manager.file.write_text(complete)
        self.assertEqual(later.accept().watch_index(), "41")

    def test_file_that_stays_invalid_keeps_the_old_configuration(self) -> None:
        manager, watch, proxy = self.start_manager()
        manager.file.write_text("{")
        manager.signal(signal.SIGHUP)
        manager.logged("reload.refused")
        watch.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")

    def test_two_reloads_in_a_row_end_at_the_last_address(self) -> None:
        manager, watch, proxy = self.start_manager()
        second, third = ManualListener(self), ManualListener(self)
        manager.write(discovery=f"127.0.0.1:{second.port}")
        manager.signal(signal.SIGHUP)
        middle = second.accept()  # connected, and not answered
        manager.write(discovery=f"127.0.0.1:{third.port}")
        manager.signal(signal.SIGHUP)
        last = third.accept()
        self.assertEqual(last.watch_index(), "41")
        self.assertTrue(middle.ended())
        last.send(RESPONSE_HEAD)
        self.assertTrue(watch.ended())
        last.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")

    def test_unchanged_address_changes_nothing(self) -> None:
        manager, watch, proxy = self.start_manager()
        manager.write()
        manager.signal(signal.SIGHUP)
        manager.logged('"reload"')
        watch.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")
        self.assertTrue(self.discovery.no_connection(0))

    def test_drain_from_the_old_watch_while_the_new_one_connects(self) -> None:
        manager, watch, proxy = self.start_manager()
        later = ManualListener(self)
        manager.write(discovery=f"127.0.0.1:{later.port}")
        manager.signal(signal.SIGHUP)
        new = later.accept()
        self.assertEqual(new.watch_index(), "41")
        watch.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")
        watch.sock.close()  # as the platform does 1.5 s after the move; the new watch stays
        new.send(RESPONSE_HEAD)
        new.chunk(listing(42, entry("s-2", state="draining")) + listing(43, entry("s-1", state="draining")))
        proxy.until("drop=s-1")

    def test_changes_of_other_fields_are_logged_and_not_applied(self) -> None:
        manager, _, _ = self.start_manager()
        manager.write(limits={"cores": 1.0, "memory_mb": 64, "sockets": 128})
        manager.signal(signal.SIGHUP)
        self.assertIn("limits", manager.logged("reload.kept"))


class WatchTests(RaceTestCase):
    def test_silence_at_any_point_reconnects(self) -> None:
        whole = listing(42, *map(entry, ("s-0", "s-1", "s-2", "s-3")), full=True)
        heads = (b"", b"HTTP/1.1 200 OK\r\nTransfer-", RESPONSE_HEAD + b'40\r\n{"version', None)
        expected = []
        for head in heads:  # all at once, as each takes the 3 s of the silence timeout
            self.discovery = ManualListener(self)
            self.manager().start_and_wait()
            watch = self.discovery.accept()
            watch.watch_index()
            if head is None:
                watch.send(RESPONSE_HEAD)
                watch.chunk(whole)
            else:
                watch.send(head)
            expected.append((self.discovery, "42" if head is None else "41"))
        for listener, index in expected:
            self.assertEqual(listener.accept().watch_index(), index)

    def test_worker_missing_from_a_full_list_is_dropped(self) -> None:
        _, watch, proxy = self.start_manager()
        watch.chunk(listing(42, entry("s-0"), entry("s-1"), entry("s-3"), full=True))
        proxy.until("drop=s-2")

    def test_older_answer_removes_nothing(self) -> None:
        _, watch, proxy = self.start_manager()
        watch.chunk(listing(40, entry("s-0"), full=True) + listing(42, entry("s-3", state="draining")))
        self.assertEqual(proxy.until("drop=").split("drop=")[1].split(" ")[0], "s-3")

    def test_full_list_is_requested_after_a_malformed_line(self) -> None:
        _, watch, proxy = self.start_manager()
        watch.chunk(b'{"version":42,"full":false,"ser\n' + listing(43, entry("s-3", state="draining")))
        proxy.until("drop=s-3")
        again = self.discovery.accept()
        self.assertEqual(again.watch_index(), "0")
        again.send(RESPONSE_HEAD)
        again.chunk(listing(43, entry("s-0"), entry("s-1"), entry("s-2", state="draining"), full=True))
        proxy.until("drop=s-2")

    def test_change_cut_by_the_end_of_the_connection_arrives_with_the_next(self) -> None:
        _, watch, proxy = self.start_manager()
        change = listing(42, entry("s-2", state="draining"))
        watch.send(f"{len(change):x}\r\n".encode() + change[:-5])
        watch.sock.close()
        again = self.discovery.accept()
        self.assertEqual(again.watch_index(), "41")
        again.send(RESPONSE_HEAD)
        again.chunk(change)
        proxy.until("drop=s-2")


class ProbeTests(RaceTestCase):
    def test_worker_that_moved_is_probed_at_its_new_address(self) -> None:
        old, new = ManualListener(self), ManualListener(self)
        _, watch, _ = self.start_manager(entry("s-0", old.port), probes=True)
        in_flight = old.accept()
        watch.chunk(listing(42, entry("s-0", new.port)))
        in_flight.until("GET /ping")
        in_flight.sock.close()  # one probe is in flight: the next one starts after its end
        for _ in range(3):
            request = new.accept()
            request.until("GET /ping")
            request.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertTrue(old.no_connection(0))

    def test_probe_result_of_the_former_address_is_ignored(self) -> None:
        old, new, names = ManualListener(self), ManualListener(self), ("s-1", "s-2", "s-3")
        manager, watch, proxy = self.start_manager(entry("s-0", old.port), *map(entry, names), probes=True)
        collector = manager.connect()

        def report() -> None:
            """Reports that all workers but s-0 are healthy. Without reports, two failed probes in a row
            withdraw it."""
            collector.send(
                "".join(
                    f"LOAD zone=a server={name} tries=20 failed=0 mean_ms=50 span_ms=1000\r\n"
                    for name in names
                ).encode()
                + b"PING\r\n"
            )
            collector.until("PONG")

        collector.send(b"SOURCE zone=a\r\n")
        report()
        old.accept().sock.close()  # the first failed probe
        in_flight = old.accept()
        watch.chunk(listing(42, entry("s-0", new.port), entry("s-3", state="draining")))
        proxy.until("drop=s-3")  # the new list has been applied
        in_flight.sock.close()  # not a second failed probe, as it went to the former address
        for _ in range(3):
            report()
            request = new.accept()
            request.until("GET /ping")
            request.send(b"HTTP/1.1 200 OK\r\n\r\n")
        watch.chunk(listing(43, entry("s-2", state="draining")))
        self.assertNotIn("s-0", proxy.until("drop="))

    def test_closed_split_and_late_responses_with_one_probe_in_flight_per_worker(self) -> None:
        worker = ManualListener(self)
        manager, _, _ = self.start_manager(entry("s-0", worker.port), entry("s-1"), probes=True)
        worker.accept().sock.close()  # accepted, then closed without a response
        request = worker.accept()
        for byte in b"HTTP/1.1 200 OK\r\n\r\n":
            request.send(bytes([byte]))
        self.assertTrue(request.ended())
        late = worker.accept()
        late.until("GET /ping")
        self.assertTrue(late.ended())  # the probe times out after a second, before the next one starts
        with self.assertRaises(OSError):
            for _ in range(100):
                late.send(b"HTTP/1.1 200 OK\r\n\r\n")
        worker.accept()
        self.assertTrue(worker.no_connection(0.5))  # no second probe while one is in flight
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()


class WithdrawalTests(RaceTestCase):
    """A proxy keeps its withdrawn workers when its stream changes, so a manager that takes it over has to
    undo the withdrawals of an earlier manager. A restarted manager doesn't know them: without this, healthy
    workers stayed withdrawn at hundreds of proxies for good, which no figure of any manager shows."""

    def test_worker_withdrawn_by_another_manager_is_undropped(self) -> None:
        worker, names = ManualListener(self), ("s-1", "s-2", "s-3")
        workers = entry("s-0", worker.port), *map(entry, names)
        manager, _, proxy = self.start_manager(*workers, probes=True)
        collector = manager.connect()
        collector.send(b"SOURCE zone=a\r\n")
        withdrawn = ""
        while not withdrawn:  # s-0 fails its probes, and there are no reports of it
            worker.accept().sock.close()
            collector.send(
                "".join(
                    f"LOAD zone=a server={name} tries=20 failed=0 mean_ms=50 span_ms=1000\r\n"
                    for name in names
                ).encode()
            )
            if not proxy.quiet(0.2):
                withdrawn = (proxy.line() or "").partition("drop=s-0")[1]
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()
        worker.sock.settimeout(0.1)
        self.discovery = ManualListener(self)
        # Without probes, s-0 counts as healthy.
        taken_over = self.manager(*workers).start_and_wait().connect().join(3, fresh=0)
        self.assertIn("s-0:", taken_over.until("rows="))
        self.assertIn("s-0", taken_over.until("undrop=").partition("undrop=")[2])


class IdleConnectionTests(RaceTestCase):
    def test_unidentified_clients_are_closed_at_the_join_timeout(self) -> None:
        manager, _, _ = self.start_manager()
        silent, pinging, joining = manager.connect(), manager.connect(), manager.connect()
        for byte in b"PING\r\n":
            pinging.send(bytes([byte]))
        self.assertEqual(pinging.line(), "PONG")
        joining.send(b"SUBSCRIBE proxy=5 zone=a weight=9 fr")
        self.assertEqual(silent.line(), "NACK")  # the second in which it has to join is over
        self.assertEqual((silent.line(), pinging.line(), pinging.line()), (None, "NACK", None))
        self.assertEqual((joining.line(), joining.line()), ("NACK", None))
        manager.connect().join(5).until("CONFIG")

    def test_half_closed_stream_leaves(self) -> None:
        manager, _, proxy = self.start_manager()
        proxy.sock.shutdown(socket.SHUT_WR)
        self.assertTrue(proxy.ended())
        manager.connect().join(3, fresh=0).until("replace=1")

    def test_running_out_of_descriptors_in_accept_causes_neither_exit_nor_busy_loop(self) -> None:
        manager = self.manager()
        manager.write()
        manager.start(lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (24, 24))).logged("node.serves")
        clients = [manager.connect() for _ in range(60)]
        for client in clients:
            client.ended()
        before = self.cpu(manager)
        self.assertEqual(self.ping(manager), "PONG")
        self.assertLess(self.cpu(manager) - before, 1.0)
        manager.signal(signal.SIGTERM)
        self.assertEqual(manager.process.wait(TIMEOUT_SECONDS), 0)

    def ping(self, manager: Manager) -> str | None:
        client = manager.connect()
        client.send(b"PING\r\n")
        return client.line()

    def cpu(self, manager: Manager) -> float:
        fields = Path(f"/proc/{manager.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def test_client_that_reads_no_answers_is_reset_and_others_are_answered(self) -> None:
        # Guards against: answers to a client that reads none of them filled memory without end.
        manager, _, proxy = self.start_manager()
        flooding = manager.connect()
        flooding.send(b"SOURCE zone=a\r\n")
        pings = b"PING\r\n" * 1000
        with self.assertRaises(ConnectionError):
            for _ in range(10_000):  # 60 MB, more than the kernel holds of both directions
                flooding.send(pings)
        manager.logged("refused.unread")
        for other in (proxy, manager.connect()):
            other.send(b"PING\r\n")
            other.until("PONG")

    def test_silent_collector_stays_connected_beside_a_newer_one(self) -> None:
        manager, _, _ = self.start_manager()
        first, second = manager.connect(), manager.connect()
        for collector in (first, second):
            collector.send(b"SOURCE zone=a\r\nPING\r\n")
            self.assertEqual(collector.line(), "PONG")
        second.send(b"LOAD zone=a server=s-0 tries=9 failed=1 mean_ms=4 span_ms=1000\r\nPING\r\n")
        self.assertEqual(second.line(), "PONG")
        self.assertTrue(first.quiet(1.5))  # not closed by the join timeout


class ReplacedStreamTests(RaceTestCase):
    def test_new_stream_before_the_end_of_the_old_one_is_seen(self) -> None:
        manager, watch, old = self.start_manager()
        new = manager.connect().join(3, fresh=0)
        self.assertIn("replace=1", new.until("rows="))
        self.assertTrue(old.ended())
        watch.chunk(listing(42, entry("s-2", state="draining")))
        new.until("drop=s-2")

    def test_data_of_the_old_stream_is_ignored_after_its_replacement(self) -> None:
        manager, watch, old = self.start_manager()
        new = manager.connect().join(3, fresh=0)
        # The old stream's data arrives together with the new stream's or after its own end: both are ignored.
        for data in (
            b"RATE proxy=3 class=ask tries=9 failed=0 span_ms=1000\r\n",
            b"ACK proxy=3 mark=1 took_ms=1\r\n",
        ):
            try:
                old.send(data)
            except ConnectionError:
                break
        line = new.until("stamp=")
        self.assertTrue(old.ended())
        new.acknowledge(line)  # a second ACK of one mark is ignored, and closes nothing
        watch.chunk(listing(42, entry("s-2", state="draining")))
        new.until("drop=s-2")
        manager.signal(signal.SIGTERM)
        manager.assert_clean_exit()

    def test_repeatedly_reconnecting_stream_stays_within_the_cap(self) -> None:
        manager = self.manager()
        manager.config["settings"]["family_info"] |= {"update_cap": 12, "counted_over": 10000000}
        manager.start_and_wait()
        received_at = list[float]()
        while len(received_at) < 12:
            connection = manager.connect().join(3)
            connection.until("CONFIG")
            received_at.append(time.monotonic())
            connection.sock.close()
        connection = manager.connect().join(3)
        # Otherwise the machine was too slow for all messages to fall into one window of the cap.
        if received_at[-1] - received_at[0] < 6:
            self.assertTrue(connection.quiet(2.0))
        connection.until("replace=1")  # and then it is bound without a further event
        self.assertGreater(time.monotonic() - received_at[0], 10)

    def test_many_joinings_at_once_some_of_them_twice(self) -> None:
        manager, _, _ = self.start_manager()
        connections = [manager.connect() for _ in range(18)]
        for index, connection in enumerate(connections):
            connection.join(index % 9)
        for connection in connections[9:]:
            self.assertIn("rows=", connection.until("replace=1"))
        for connection in connections[:9]:
            self.assertTrue(connection.ended())

    def test_joining_in_the_same_turn_as_a_drain(self) -> None:
        manager, watch, _ = self.start_manager()
        for turn, name in enumerate(("s-1", "s-2")):
            change, connection = listing(42 + turn, entry(name, state="draining")), manager.connect()
            os.kill(manager.process.pid, signal.SIGSTOP)  # both are waiting when it continues
            watch.chunk(change)
            connection.join(6 + turn)
            os.kill(manager.process.pid, signal.SIGCONT)
            table = connection.until("rows=")
            if name + ":" in table:
                connection.until(f"drop={name}")

    def test_process_that_was_stopped_continues(self) -> None:
        # Guards against: after a standstill the timers ran before the sockets were read, and the watch was
        # ended for its silence while a change waited in it.
        manager, watch, proxy = self.start_manager()
        os.kill(manager.process.pid, signal.SIGSTOP)
        watch.chunk(listing(42, entry("s-2", state="draining")))
        started = time.monotonic()
        self.assertTrue(self.discovery.no_connection(3.2))  # longer than the silence timeout
        os.kill(manager.process.pid, signal.SIGCONT)
        proxy.until("drop=s-2")
        self.assertGreater(time.monotonic() - started, 3)
        watch.chunk(listing(43, entry("s-3", state="draining")))
        proxy.until("drop=s-3")  # the watch has not ended
        self.assertNotIn("list.silent", manager.log_text())

    def test_joining_that_arrived_during_a_standstill_is_read_before_its_timeout(self) -> None:
        # Guards against: a connection was refused as not joined although its joining waited in the socket.
        manager, _, _ = self.start_manager()
        connection = manager.connect()
        connection.send(b"PING\r\n")
        self.assertEqual(connection.line(), "PONG")  # it is accepted, and its time runs
        os.kill(manager.process.pid, signal.SIGSTOP)
        connection.join(7)
        self.assertTrue(self.discovery.no_connection(1.5))  # longer than the time to join
        os.kill(manager.process.pid, signal.SIGCONT)
        connection.until("replace=1")


if __name__ == "__main__":
    unittest.main()
