"""Tests over real sockets: a manager process, driven by an HAProxy client library and the command line."""

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import dns.message
import dns.query
import dns.rcode
from haprapi import HAPRapi  # type: ignore[import-untyped]

from rushladder import __version__
from rushladder.intake.orca_pb2 import Envelope, OrcaLoadReport

ROOT = Path(__file__).parent.parent
CONFIG = """
manager m1
    region a
    probes off
    list-file {folder}/list
region a
product collect
    sla 1s
    expiry 3s
    revenue 9
    repeat once-only
gateway g1
    region a
    socket unix@{folder}/none
collector c1
    region a
    address 127.0.0.1:7777
    {extra}
listen admin
    bind unix@{folder}/s level admin
listen ops
    bind 127.0.0.1:{port} level {level}
"""


class SocketTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(prefix="rl")
        self.addCleanup(directory.cleanup)
        self.folder = directory.name
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]

    def start(self, level: str = "admin", extra: str = "", memory: str = "") -> subprocess.Popen[str]:
        file, text = Path(self.folder, "m.conf"), CONFIG
        if memory:  # replaces the list file
            text = text.replace("list-file {folder}/list", memory)
        Path(self.folder, "s").unlink(missing_ok=True)
        file.write_text(text.format(folder=self.folder, port=self.port, level=level, extra=extra))
        manager = subprocess.Popen(
            [sys.executable, "-m", "rushladder", "run", str(file)],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(self.end, manager)
        deadline = time.monotonic() + 20
        while not Path(self.folder, "s").exists():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
        time.sleep(0.1)
        return manager

    def end(self, manager: subprocess.Popen[str]) -> None:
        with contextlib.suppress(ProcessLookupError):
            manager.kill()
        manager.wait()
        if manager.stderr is not None:
            manager.stderr.close()

    def ctl(self, *words: str, lines: str = "") -> subprocess.CompletedProcess[str]:
        return self.rushladder("ctl", "-s", f"unix@{self.folder}/s", *words, lines=lines)

    def rushladder(self, *words: str, lines: str = "") -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "rushladder", *words],
            cwd=ROOT,
            input=lines,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def test_an_haproxy_client_library_reads_and_changes_the_list(self) -> None:
        self.start()
        client = HAPRapi("127.0.0.1", self.port)
        facts = {
            row["field"]["name"]: row["value"]["value"]
            for row in json.loads(client.send_command("show info json"))
        }
        self.assertEqual((facts["Node"], facts["Servers"]), ("m1", 1))
        client.disable_server("fleet", "c1")  # returns whether the answer has text, which it has not
        rows = {row["svname"]: row["status"] for row in client.get_stats() if row["pxname"] == "fleet"}
        self.assertEqual(rows, {"c1": "MAINT"})
        client.enable_server("fleet", "c1")
        self.assertIn("c1 127.0.0.1 2 0", client.get_backend("fleet"))

    def test_an_agent_check_that_answers_drain_drains_the_collector_and_sets_its_load(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as agent:
            agent.settimeout(20)
            self.start(extra=f"agent 127.0.0.1:{agent.getsockname()[1]}")
            for _ in range(2):
                asked, _ = agent.accept()
                asked.sendall(b"up drain 40%\r\n")
                asked.close()
        deadline = time.monotonic() + 10
        while " 8 1 " not in self.ctl("show servers state").stdout and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertIn(" 8 1 ", self.ctl("show servers state").stdout)
        self.assertIn("c1,0.600,", self.ctl("show load c1").stdout)
        self.assertIn("TAKEN: ", self.ctl("show intake").stdout)

    def test_reports_are_received_again_after_the_receiving_process_was_killed(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        token = bytes(range(8))
        extra = f"reports 127.0.0.1 token {token.hex()}\nlisten r\n    bind 127.0.0.1:{port}\n    reports udp"
        self.start(extra=extra)
        for number, load in ((1, 0.3), (2, 0.9)):
            report = OrcaLoadReport(cpu_utilization=load)
            envelope = Envelope(server="c1", token=token, boot=number, number=1, report=report)
            deadline = time.monotonic() + 15
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as connection:
                while (
                    f"c1,{load:.3f}," not in self.ctl("show load c1").stdout and time.monotonic() < deadline
                ):
                    connection.sendto(envelope.SerializeToString(), ("127.0.0.1", port))
                    time.sleep(0.05)
            self.assertIn(f"c1,{load:.3f},", self.ctl("show load c1").stdout)
            if number == 1:
                lane = re.search(r"^Lane: (\d+)", self.ctl("show intake").stdout, re.MULTILINE)
                assert lane is not None
                os.kill(int(lane[1]), signal.SIGKILL)
        self.assertIn("the lane for reports ended", self.ctl("show errors").stdout)

    def test_dns_is_answered_over_udp_and_tcp_right_after_the_start(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        self.start(extra=f"\ndns svc.example\n    bind 127.0.0.1:{port}\n    ns ns.svc.example=127.0.0.1\n")
        question = dns.message.make_query("_collect._tcp.svc.example", "SRV")
        deadline = time.monotonic() + 10
        while (
            answer := dns.query.udp(question, "127.0.0.1", 5, port)
        ).rcode() and time.monotonic() < deadline:
            self.assertEqual(answer.rcode(), dns.rcode.SERVFAIL)  # before the first split is computed
            time.sleep(0.05)
        tcp_answer = dns.query.tcp(question, "127.0.0.1", 5, port)
        for found in (answer, tcp_answer):
            self.assertEqual(
                [rr.to_text().split()[2:] for rr in found.answer[0]], [["7777", "c1.servers.svc.example."]]
            )
        address = dns.query.udp(dns.message.make_query("c1.servers.svc.example", "A"), "127.0.0.1", 5, port)
        self.assertEqual(address.answer[0][0].to_text(), "127.0.0.1")
        with socket.create_connection(
            ("127.0.0.1", port), 5
        ) as connection:  # two queries at once, then garbage
            data = question.to_wire()
            connection.sendall(2 * (len(data).to_bytes(2, "big") + data))
            for _ in range(2):
                self.assertEqual(dns.query.receive_tcp(connection)[0].rcode(), dns.rcode.NOERROR)
            connection.sendall(b"\0\3abc")
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(connection.recv(10), b"")
        self.assertIn("MALFORMED: 1\n", self.ctl("show dns").stdout)

    def test_the_command_line_sends_commands_and_reports_refusals(self) -> None:
        self.start("user")
        done = self.ctl(lines="set server fleet/c1 weight 2.5\nshow version; show backend\n")
        self.assertEqual((done.returncode, done.stdout), (0, f"{__version__}\n# name\nfleet\ncollect\n"))
        rows = json.loads(self.ctl("--json", "show stat").stdout)
        self.assertEqual([row["weight"] for row in rows if row["svname"] == "c1"], ["2.5"])
        with socket.create_connection(("127.0.0.1", self.port), 10) as connection:
            connection.sendall(b"disable server fleet/c1\n")
            self.assertEqual(connection.recv(100), b"Permission denied\n\n")
        self.assertEqual(self.ctl("sing").returncode, 1)

    def test_sigterm_stops_the_manager_cleanly_and_the_list_is_restored(self) -> None:
        manager = self.start()
        self.ctl("set server fleet/c1 state drain")
        time.sleep(0.5)
        manager.send_signal(signal.SIGTERM)
        self.assertEqual(manager.wait(10), 0)
        assert manager.stderr is not None
        events = [json.loads(line)["event"] for line in manager.stderr.read().splitlines()]
        self.assertEqual((events[0], events[-1]), ("manager.started", "manager.stopped"))
        self.start()
        self.assertIn(" 8 1 ", self.ctl("show servers state").stdout)

    def test_after_a_kill_the_list_and_answers_to_commands_with_an_id_are_restored(self) -> None:
        folder = Path(self.folder, "memory")
        manager = self.start(memory=f"memory {folder}")
        first = self.ctl("once job-1 set server fleet/c1 state drain")
        self.assertEqual((first.returncode, first.stdout), (0, ""))
        manager.kill()  # right after the answer, which means that the command is on disk
        manager.wait()
        self.start(memory=f"memory {folder}")
        self.assertIn(" 8 1 ", self.ctl("show servers state").stdout)
        self.ctl("set server fleet/c1 state ready")
        self.assertEqual(self.ctl("once job-1 set server fleet/c1 state drain").stdout, "")
        self.assertNotIn(
            " 8 1 ", self.ctl("show servers state").stdout
        )  # answered from the journal, not carried out again
        shown = self.ctl("show store").stdout
        self.assertIn("Commands_from_record: 1\n", shown)
        busy = self.rushladder("store", "compact", str(folder))
        self.assertEqual((busy.returncode, "another process writes here" in busy.stderr), (2, True))
        self.assertEqual(self.rushladder("store", "verify", str(folder)).stdout, "whole\n")

    def test_a_second_manager_on_a_store_runs_without_it_and_reports_that(self) -> None:
        folder = Path(self.folder, "memory")
        self.start(memory=f"memory {folder}")
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.start(memory=f"memory {folder}")
        self.assertIn("another process writes here", self.ctl("show errors").stdout)
        self.assertIn("Nothing is remembered", self.ctl("show store").stdout)

    def test_verify_reports_a_damaged_store_and_compact_repairs_it(self) -> None:
        folder = Path(self.folder, "memory")
        manager = self.start(memory=f"memory {folder}")
        for number in range(3):
            self.ctl(f"once j{number} set server fleet/c1 weight {number + 1}")
        manager.kill()
        manager.wait()
        log = max(folder.glob("log-*"))
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(data)
        found = self.rushladder("store", "verify", str(folder))
        self.assertEqual((found.returncode, "another checksum" in found.stdout), (1, True))
        self.assertIn("damaged", self.rushladder("store", "inspect", str(folder)).stdout)
        self.assertEqual(self.rushladder("store", "compact", str(folder)).returncode, 0)
        self.assertEqual(self.rushladder("store", "verify", str(folder)).stdout, "whole\n")
        self.assertEqual(len(list(folder.glob("aside-*"))), 1)

    def test_a_socket_already_in_use_gives_one_log_line_and_exit_1(self) -> None:
        self.start()
        file = Path(self.folder, "other.conf")
        file.write_text(
            CONFIG.format(folder=self.folder, port=self.port, level="user", extra="").replace(
                "/s level", "/t level"
            )
        )
        done = subprocess.run(
            [sys.executable, "-m", "rushladder", "run", str(file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        self.assertEqual(
            (done.returncode, json.loads(done.stderr.splitlines()[-1])["event"]), (1, "manager.failed")
        )


if __name__ == "__main__":
    unittest.main()
