"""What comes between two lines: a manager as `run` starts it, on loopback sockets, in orders that each story
forces."""

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
WAIT = 20.0  # s that anything may take on a busy machine


class Wire:
    """One connection, read line by line with a limit."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(WAIT)
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

    def until(self, word: str) -> str:
        """The first line that holds the word; marks are answered on the way."""
        while (line := self.line()) is not None:
            if "stamp=" in line and line.startswith("CONFIG"):
                self.answer(line)
            if word in line:
                return line
        raise AssertionError(f"the connection ended without {word}")

    def answer(self, line: str) -> None:
        mark = line.partition("stamp=")[2].split(" ")[0]
        self.send(f"ACK proxy={self.proxy} mark={mark} took_ms=1\r\n".encode())

    def join(self, proxy: int, fresh: int = 1) -> "Wire":
        self.proxy = proxy
        self.send(f"SUBSCRIBE proxy={proxy} zone=a weight=9 fresh={fresh}\r\n".encode())
        return self

    def ended(self) -> bool:
        """Whether the other side ends it in time."""
        while self.line() is not None:
            pass
        return True

    def quiet(self, seconds: float) -> bool:
        return not select.select([self.sock], [], [], seconds)[0]

    # Discovery's side.

    def watched(self) -> str:
        """The index asked for."""
        asked = self.until("GET")
        while self.line():
            pass
        return asked.split("index=")[1].split(" ")[0]

    def chunk(self, data: bytes) -> None:
        self.send(chunk(data))


class Place:
    """A listener whose connections the story takes one by one."""

    def __init__(self, story: unittest.TestCase) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(WAIT)
        self.port: int = self.sock.getsockname()[1]
        story.addCleanup(self.sock.close)
        self._story = story

    def take(self) -> Wire:
        sock, _ = self.sock.accept()
        self._story.addCleanup(sock.close)
        return Wire(sock)

    def unasked(self, seconds: float) -> bool:
        return not select.select([self.sock], [], [], seconds)[0]


class Manager:
    """The process, its configuration and its log."""

    def __init__(
        self,
        story: unittest.TestCase,
        discovery: Place,
        *workers: dict[str, Any],
        probes: bool = False,
        **more: Any,
    ) -> None:
        held = tempfile.TemporaryDirectory(prefix="rl")
        story.addCleanup(held.cleanup)
        self.story, self.file, self._log = story, Path(held.name, "config.json"), list[str]()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.config = configuration(self.port, discovery.port, workers) | more
        self.config["settings"]["limits"]["probes"] = probes

    def write(self, **more: Any) -> None:
        self.config |= more
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
        self._log, self._heard = list[str](), threading.Condition()
        self._reader = threading.Thread(target=self._read, args=(self.process, self._log), daemon=True)
        self._reader.start()
        self.story.addCleanup(self._reap, self.process, self._reader)
        return self

    def _read(self, process: subprocess.Popen[str], log: list[str]) -> None:
        assert process.stderr is not None
        for line in process.stderr:
            with self._heard:
                log.append(line)
                self._heard.notify_all()

    def _reap(self, process: subprocess.Popen[str], reader: threading.Thread) -> None:
        process.kill()
        process.wait()
        reader.join()
        assert process.stderr is not None
        process.stderr.close()

    def logged(self, word: str) -> str:
        """Waits for a line of the log."""
        with self._heard:
            self._heard.wait_for(lambda: any(word in line for line in self._log), WAIT)
            found = [line for line in self._log if word in line]
        self.story.assertTrue(found, f"{word} not in {self._log}")
        return found[0]

    def serves(self) -> "Manager":
        self.write()
        self.start().logged("node.serves")
        return self

    def dial(self) -> Wire:
        sock = socket.create_connection(("127.0.0.1", self.port), WAIT)
        self.story.addCleanup(sock.close)
        return Wire(sock)

    def signal(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            self.process.send_signal(number)

    def ends(self) -> None:
        """With 0, and nothing in the log that speaks of a fault."""
        self.story.assertEqual(self.process.wait(WAIT), 0)
        self._reader.join()
        self.story.assertNotIn("Traceback", "".join(self._log))
        self.story.assertNotIn('"error"', "".join(self._log))


class Races(unittest.TestCase):
    def setUp(self) -> None:
        self.discovery = Place(self)

    def manager(self, *workers: dict[str, Any], **more: Any) -> Manager:
        return Manager(self, self.discovery, *(workers or map(entry, ("s-0", "s-1", "s-2", "s-3"))), **more)

    def watching(self, *workers: dict[str, Any], **more: Any) -> tuple[Manager, Wire, Wire]:
        """A manager, its watch with its head answered, and proxy 3 with its first table."""
        manager = self.manager(*workers, **more).serves()
        watch = self.discovery.take()
        self.assertEqual(watch.watched(), "41")
        watch.send(RESPONSE_HEAD)
        proxy = manager.dial().join(3)
        proxy.until("rows=")
        return manager, watch, proxy

    def fifo(self, manager: Manager) -> Any:
        """The process in the middle of reading its configuration: the other end of the file."""
        os.mkfifo(manager.file)
        manager.start()
        return os.open(manager.file, os.O_WRONLY)  # comes back when the process has opened it


class Shutdown(Races):
    def test_sigterm_in_the_middle_of_the_start(self) -> None:
        manager = self.manager()
        end = self.fifo(manager)
        manager.signal(signal.SIGTERM)
        manager.ends()
        os.close(end)

    def test_sighup_in_the_middle_of_the_start_is_carried_out_after_it(self) -> None:
        manager, later = self.manager(), Place(self)
        end = self.fifo(manager)
        manager.signal(signal.SIGHUP)
        first = json.dumps(manager.config)
        manager.file.unlink()
        manager.write(discovery=f"127.0.0.1:{later.port}")
        os.write(end, first.encode())
        os.close(end)
        self.assertEqual(later.take().watched(), "41")
        manager.signal(signal.SIGTERM)
        manager.ends()

    def test_sigterm_twice_with_a_probe_a_watch_a_stranger_and_unread_orders(self) -> None:
        worker = Place(self)
        manager, watch, _ = self.watching(entry("s-0", worker.port), probes=True)
        worker.take()  # a probe that nobody answers
        manager.dial().send(b"PIN")
        watch.send(b'5\r\n{"v')  # a line that has no end
        manager.signal(signal.SIGTERM, signal.SIGTERM, signal.SIGINT)
        manager.ends()

    def test_sigterm_again_while_the_interpreter_ends(self) -> None:
        """Found by the soak (seed 2, "term term"): the log ends with `node.ended`, and the process by the
        signal in place of exit 0, as the interpreter takes its handlers back before it is gone. What is
        destroyed last of all sends the second signal here, which is after that."""
        manager = self.manager()
        manager.write()
        late = (
            "import os, signal, sys\n"
            "class Late:\n"
            "    def __del__(self, kill=os.kill, me=os.getpid(), number=signal.SIGTERM):\n"
            "        kill(me, number)\n"
            "sys.late = Late()\n"
            "from rushladder.service.node import main\n"
            "sys.exit(main())\n"
        )
        manager.start(run=f"exec {shlex.join([sys.executable, '-c', late])}").logged("node.serves")
        manager.signal(signal.SIGTERM)
        manager.ends()

    def test_sighup_right_before_sigterm(self) -> None:
        manager, _, _ = self.watching()
        manager.write(discovery=f"127.0.0.1:{Place(self).port}")
        manager.signal(signal.SIGHUP, signal.SIGTERM)
        manager.ends()

    def test_sigterm_under_joinings(self) -> None:
        manager, _, _ = self.watching()
        for proxy in range(4, 12):
            manager.dial().join(proxy)
        manager.signal(signal.SIGTERM)
        manager.ends()

    def test_killed_under_joinings_and_started_again_at_once(self) -> None:
        manager, _, proxy = self.watching()
        wires = [manager.dial().join(proxy) for proxy in range(4, 12)]
        manager.signal(signal.SIGKILL)
        manager.process.wait(WAIT)
        self.assertTrue(proxy.ended() and all(wire.ended() for wire in wires))
        manager.start().logged("node.serves")  # its place is free again though old connections linger
        self.assertEqual(self.discovery.take().watched(), "41")
        for place, wire in enumerate([manager.dial().join(proxy, fresh=0) for proxy in range(3, 12)]):
            self.assertIn("rows=", wire.until("replace=1"), place)

    def test_killed_in_the_middle_of_the_start_and_started_again(self) -> None:
        manager = self.manager()
        end = self.fifo(manager)
        manager.signal(signal.SIGKILL)
        manager.process.wait(WAIT)
        os.close(end)
        manager.file.unlink()
        manager.write()
        manager.start().logged("node.serves")


class Reload(Races):
    def test_half_a_file_is_read_again(self) -> None:
        manager, _, _ = self.watching()
        later = Place(self)
        whole = json.dumps({**manager.config, "discovery": f"127.0.0.1:{later.port}"})
        manager.file.write_text(whole[:200])
        manager.signal(signal.SIGHUP)
        manager.logged("reload.refused")
        manager.file.write_text(whole)
        self.assertEqual(later.take().watched(), "41")

    def test_a_file_that_stays_faulty_keeps_the_old_one(self) -> None:
        manager, watch, proxy = self.watching()
        manager.file.write_text("{")
        manager.signal(signal.SIGHUP)
        manager.logged("reload.refused")
        watch.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")

    def test_two_close_together_end_at_the_last_place(self) -> None:
        manager, watch, proxy = self.watching()
        second, third = Place(self), Place(self)
        manager.write(discovery=f"127.0.0.1:{second.port}")
        manager.signal(signal.SIGHUP)
        middle = second.take()  # dialled, and not answered
        manager.write(discovery=f"127.0.0.1:{third.port}")
        manager.signal(signal.SIGHUP)
        last = third.take()
        self.assertEqual(last.watched(), "41")
        self.assertTrue(middle.ended())
        last.send(RESPONSE_HEAD)
        self.assertTrue(watch.ended())
        last.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")

    def test_the_same_place_again_changes_nothing(self) -> None:
        manager, watch, proxy = self.watching()
        manager.write()
        manager.signal(signal.SIGHUP)
        manager.logged('"reload"')
        watch.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")
        self.assertTrue(self.discovery.unasked(0))

    def test_a_drain_told_by_the_old_watch_while_the_new_one_is_dialled(self) -> None:
        manager, watch, proxy = self.watching()
        later = Place(self)
        manager.write(discovery=f"127.0.0.1:{later.port}")
        manager.signal(signal.SIGHUP)
        new = later.take()
        self.assertEqual(new.watched(), "41")
        watch.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")
        watch.sock.close()  # 1.5 s later, by the platform's word: the new one stays
        new.send(RESPONSE_HEAD)
        new.chunk(listing(42, entry("s-2", state="draining")) + listing(43, entry("s-1", state="draining")))
        proxy.until("drop=s-1")

    def test_other_fields_are_named_and_kept(self) -> None:
        manager, _, _ = self.watching()
        manager.write(limits={"cores": 1.0, "memory_mb": 64, "sockets": 128})
        manager.signal(signal.SIGHUP)
        self.assertIn("limits", manager.logged("reload.kept"))


class WatchRaces(Races):
    def test_silence_anywhere_is_dialled_again(self) -> None:
        whole = listing(42, *map(entry, ("s-0", "s-1", "s-2", "s-3")), full=True)
        said = (b"", b"HTTP/1.1 200 OK\r\nTransfer-", RESPONSE_HEAD + b'40\r\n{"version', None)
        dialled = []
        for head in said:  # side by side, as each takes the 3 s of silence
            self.discovery = Place(self)
            self.manager().serves()
            watch = self.discovery.take()
            watch.watched()
            if head is None:
                watch.send(RESPONSE_HEAD)
                watch.chunk(whole)
            else:
                watch.send(head)
            dialled.append((self.discovery, "42" if head is None else "41"))
        for place, index in dialled:
            self.assertEqual(place.take().watched(), index)

    def test_a_worker_missing_from_a_whole_list_is_gone(self) -> None:
        _, watch, proxy = self.watching()
        watch.chunk(listing(42, entry("s-0"), entry("s-1"), entry("s-3"), full=True))
        proxy.until("drop=s-2")

    def test_an_older_answer_forgets_nothing(self) -> None:
        _, watch, proxy = self.watching()
        watch.chunk(listing(40, entry("s-0"), full=True) + listing(42, entry("s-3", state="draining")))
        self.assertEqual(proxy.until("drop=").split("drop=")[1].split(" ")[0], "s-3")

    def test_a_line_that_can_not_be_read_is_asked_for_again(self) -> None:
        _, watch, proxy = self.watching()
        watch.chunk(b'{"version":42,"full":false,"ser\n' + listing(43, entry("s-3", state="draining")))
        proxy.until("drop=s-3")
        again = self.discovery.take()
        self.assertEqual(again.watched(), "0")
        again.send(RESPONSE_HEAD)
        again.chunk(listing(43, entry("s-0"), entry("s-1"), entry("s-2", state="draining"), full=True))
        proxy.until("drop=s-2")

    def test_a_change_cut_by_the_end_of_the_connection_comes_with_the_next(self) -> None:
        _, watch, proxy = self.watching()
        change = listing(42, entry("s-2", state="draining"))
        watch.send(f"{len(change):x}\r\n".encode() + change[:-5])
        watch.sock.close()
        again = self.discovery.take()
        self.assertEqual(again.watched(), "41")
        again.send(RESPONSE_HEAD)
        again.chunk(change)
        proxy.until("drop=s-2")


class ProbeRaces(Races):
    def test_a_worker_that_moved_is_probed_where_it_is(self) -> None:
        old, new = Place(self), Place(self)
        _, watch, _ = self.watching(entry("s-0", old.port), probes=True)
        held = old.take()
        watch.chunk(listing(42, entry("s-0", new.port)))
        held.until("GET /ping")
        held.sock.close()  # one is outstanding: its end lets the next go
        for _ in range(3):
            asked = new.take()
            asked.until("GET /ping")
            asked.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertTrue(old.unasked(0))

    def test_an_answer_of_the_place_before_counts_for_nothing(self) -> None:
        old, new, names = Place(self), Place(self), ("s-1", "s-2", "s-3")
        manager, watch, proxy = self.watching(entry("s-0", old.port), *map(entry, names), probes=True)
        collector = manager.dial()

        def report() -> None:
            """All are well but s-0, of which nothing is heard: two bad answers in a row withdraw it."""
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
        old.take().sock.close()  # the first of them
        held = old.take()
        watch.chunk(listing(42, entry("s-0", new.port), entry("s-3", state="draining")))
        proxy.until("drop=s-3")  # the list has been read
        held.sock.close()  # not the second: it was asked of the place before
        for _ in range(3):
            report()
            asked = new.take()
            asked.until("GET /ping")
            asked.send(b"HTTP/1.1 200 OK\r\n\r\n")
        watch.chunk(listing(43, entry("s-2", state="draining")))
        self.assertNotIn("s-0", proxy.until("drop="))

    def test_killed_in_pieces_and_too_late_one_outstanding_a_worker(self) -> None:
        place = Place(self)
        manager, _, _ = self.watching(entry("s-0", place.port), entry("s-1"), probes=True)
        place.take().sock.close()  # accepted, then killed with no answer
        asked = place.take()
        for byte in b"HTTP/1.1 200 OK\r\n\r\n":
            asked.send(bytes([byte]))
        self.assertTrue(asked.ended())
        late = place.take()
        late.until("GET /ping")
        self.assertTrue(late.ended())  # given up after a second, before the next one is sent
        with self.assertRaises(OSError):
            for _ in range(100):
                late.send(b"HTTP/1.1 200 OK\r\n\r\n")
        place.take()
        self.assertTrue(place.unasked(0.5))  # none beside one that is out
        manager.signal(signal.SIGTERM)
        manager.ends()


class Withdrawals(Races):
    """A proxy keeps what it was told to shut out over a change of streams, so whoever takes it over has to
    let back what an earlier manager withdrew. A restarted manager knows nothing of that: sound workers stayed
    shut out at hundreds of proxies for good, which shows in no figure of any manager."""

    def test_a_worker_withdrawn_by_another_manager_is_let_back(self) -> None:
        worker, names = Place(self), ("s-1", "s-2", "s-3")
        workers = entry("s-0", worker.port), *map(entry, names)
        manager, _, proxy = self.watching(*workers, probes=True)
        collector = manager.dial()
        collector.send(b"SOURCE zone=a\r\n")
        shut_out = ""
        while not shut_out:  # s-0 answers no probe, and nothing is heard of it
            worker.take().sock.close()
            collector.send(
                "".join(
                    f"LOAD zone=a server={name} tries=20 failed=0 mean_ms=50 span_ms=1000\r\n"
                    for name in names
                ).encode()
            )
            if not proxy.quiet(0.2):
                shut_out = (proxy.line() or "").partition("drop=s-0")[1]
        manager.signal(signal.SIGTERM)
        manager.ends()
        worker.sock.settimeout(0.1)
        self.discovery = Place(self)
        taken_over = self.manager(*workers).serves().dial().join(3, fresh=0)  # without probes: s-0 is well
        self.assertIn("s-0:", taken_over.until("rows="))
        self.assertIn("s-0", taken_over.until("undrop=").partition("undrop=")[2])


class Idle(Races):
    def test_strangers_at_the_edge_of_their_second(self) -> None:
        manager, _, _ = self.watching()
        silent, pieces, joining = manager.dial(), manager.dial(), manager.dial()
        for byte in b"PING\r\n":
            pieces.send(bytes([byte]))
        self.assertEqual(pieces.line(), "PONG")
        joining.send(b"SUBSCRIBE proxy=5 zone=a weight=9 fr")
        self.assertEqual(silent.line(), "NACK")  # its second is over
        self.assertEqual((silent.line(), pieces.line(), pieces.line()), (None, "NACK", None))
        self.assertEqual((joining.line(), joining.line()), ("NACK", None))
        manager.dial().join(5).until("CONFIG")

    def test_a_stream_half_closed_has_left(self) -> None:
        manager, _, proxy = self.watching()
        proxy.sock.shutdown(socket.SHUT_WR)
        self.assertTrue(proxy.ended())
        manager.dial().join(3, fresh=0).until("replace=1")

    def test_descriptors_that_run_out_in_accept_neither_end_nor_spin_it(self) -> None:
        manager = self.manager()
        manager.write()
        manager.start(lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (24, 24))).logged("node.serves")
        strangers = [manager.dial() for _ in range(60)]
        for stranger in strangers:
            stranger.ended()
        before = self.cpu(manager)
        self.assertEqual(self.ping(manager), "PONG")
        self.assertLess(self.cpu(manager) - before, 1.0)
        manager.signal(signal.SIGTERM)
        self.assertEqual(manager.process.wait(WAIT), 0)

    def ping(self, manager: Manager) -> str | None:
        stranger = manager.dial()
        stranger.send(b"PING\r\n")
        return stranger.line()

    def cpu(self, manager: Manager) -> float:
        fields = Path(f"/proc/{manager.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def test_a_collector_that_falls_silent_keeps_its_place_and_its_newer_one_speaks(self) -> None:
        manager, _, _ = self.watching()
        first, second = manager.dial(), manager.dial()
        for collector in (first, second):
            collector.send(b"SOURCE zone=a\r\nPING\r\n")
            self.assertEqual(collector.line(), "PONG")
        second.send(b"LOAD zone=a server=s-0 tries=9 failed=1 mean_ms=4 span_ms=1000\r\nPING\r\n")
        self.assertEqual(second.line(), "PONG")
        self.assertTrue(first.quiet(1.5))  # not closed after a stranger's second


class HandOver(Races):
    def test_a_new_stream_before_the_end_of_the_old_one_is_seen(self) -> None:
        manager, watch, old = self.watching()
        new = manager.dial().join(3, fresh=0)
        self.assertIn("replace=1", new.until("rows="))
        self.assertTrue(old.ended())
        watch.chunk(listing(42, entry("s-2", state="draining")))
        new.until("drop=s-2")

    def test_what_the_old_stream_says_after_it_is_not_the_new_ones(self) -> None:
        manager, watch, old = self.watching()
        new = manager.dial().join(3, fresh=0)
        # In one piece with what the new stream says, or after its own end: either way it is not heard.
        for said in (
            b"RATE proxy=3 class=ask tries=9 failed=0 span_ms=1000\r\n",
            b"ACK proxy=3 mark=1 took_ms=1\r\n",
        ):
            try:
                old.send(said)
            except ConnectionError:
                break
        line = new.until("stamp=")
        self.assertTrue(old.ended())
        new.answer(line)  # a second answer to one mark is a stray, and ends nothing
        watch.chunk(listing(42, entry("s-2", state="draining")))
        new.until("drop=s-2")
        manager.signal(signal.SIGTERM)
        manager.ends()

    def test_a_stream_that_breaks_again_and_again_is_written_no_more_than_the_cap(self) -> None:
        manager = self.manager()
        manager.config["settings"]["family_info"] |= {"update_cap": 12, "counted_over": 10000000}
        manager.serves()
        heard = list[float]()
        while len(heard) < 12:
            wire = manager.dial().join(3)
            wire.until("CONFIG")
            heard.append(time.monotonic())
            wire.sock.close()
        wire = manager.dial().join(3)
        if heard[-1] - heard[0] < 6:  # else the machine was too slow for all to fall into one time of the cap
            self.assertTrue(wire.quiet(2.0))
        wire.until("replace=1")  # and then it is bound by itself
        self.assertGreater(time.monotonic() - heard[0], 10)

    def test_many_joinings_at_once_and_some_twice(self) -> None:
        manager, _, _ = self.watching()
        wires = [manager.dial() for _ in range(18)]
        for place, wire in enumerate(wires):
            wire.join(place % 9)
        for wire in wires[9:]:
            self.assertIn("rows=", wire.until("replace=1"))
        for wire in wires[:9]:
            self.assertTrue(wire.ended())

    def test_a_joining_in_the_same_turn_as_a_drain(self) -> None:
        manager, watch, _ = self.watching()
        for turn, name in enumerate(("s-1", "s-2")):
            change, wire = listing(42 + turn, entry(name, state="draining")), manager.dial()
            os.kill(manager.process.pid, signal.SIGSTOP)  # both wait when it goes on
            watch.chunk(change)
            wire.join(6 + turn)
            os.kill(manager.process.pid, signal.SIGCONT)
            table = wire.until("rows=")
            if name + ":" in table:
                wire.until(f"drop={name}")

    def test_a_host_that_stood_still_goes_on(self) -> None:
        manager, watch, proxy = self.watching()
        os.kill(manager.process.pid, signal.SIGSTOP)
        watch.chunk(listing(42, entry("s-2", state="draining")))
        began = time.monotonic()
        self.assertTrue(self.discovery.unasked(3.2))  # longer than the silence that dials again
        os.kill(manager.process.pid, signal.SIGCONT)
        # By the old watch, or by a new one that asks for all since the version it knows.
        if not self.discovery.unasked(1.0):
            again = self.discovery.take()
            if again.watched() == "41":
                again.send(RESPONSE_HEAD)
                again.chunk(listing(42, entry("s-2", state="draining")))
        proxy.until("drop=s-2")
        self.assertGreater(time.monotonic() - began, 3)


if __name__ == "__main__":
    unittest.main()
