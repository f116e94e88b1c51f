"""The platform programs while another writer leaves odd entries wherever one can be left."""
import json
import threading
import time
from typing import Dict, List

from case_runner import run_cases
from local_deployment import request, wait_until
from platform_case import ENTRIES, SETTLE_S, Platform, Program

DEEP = b"[" * 300_000
UNREADABLE = b"\xff\xfe\x00{"
HUGE = "12345678901234567890123"
ODD_ROWS = [b"", DEEP, UNREADABLE, b"7", b"{}", b"null", b'{"phase":"melted"}', b'{"id":7}']


def check_in(**changes) -> bytes:
    """A check-in of a minion that is not there, with `changes`; numbers may be given as text."""
    body = {"service": "svc", "address": "127.0.0.1:9", "zone": "dc-1", "version": "v1", "slots": 8,
            "state": "ready", "labels": ["a", "r1"], "sequence": 1,
            "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 0},
            "born": int(time.time() * 1000) + 3_600_000, **changes}
    return json.dumps(body).replace('"' + HUGE + '"', HUGE).replace('"1e300"', "1e300").encode()


def odd_check_ins() -> List[bytes]:
    return [check_in(), check_in(born="1e300"), check_in(born=HUGE), check_in(born=-5),
            check_in(sequence=HUGE), check_in(capacity={"cpu": "1e300", "memMb": 1}),
            check_in(capacity=7), check_in(state="asleep"), check_in(service="other"),
            check_in(service=7), check_in(address="127.0.0.1:99999"), check_in(address=None),
            check_in(labels={}), b"", b"{}", DEEP, UNREADABLE, b'{"new":' + DEEP,
            b'{"service":"\xc3\x28"}']


class OddWriter:
    """Writes odd entries until it is stopped: check-ins, requests of callers and rows."""

    def __init__(self, platform: Platform):
        self.platform = platform
        self.rounds = 0
        self.answers: Dict[int, int] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *args):
        self._stop.set()
        self._thread.join()

    def _send(self, port: int, method: str, path: str, body: bytes) -> None:
        response = request(port, method, path, body,
                           {"Host": "h.example", "Content-Type": "application/json",
                            "Lavenderarch-Request-Deadline": HUGE}, timeout=3)
        self.answers[response.status] = self.answers.get(response.status, 0) + 1

    def _run(self) -> None:
        while not self._stop.is_set():
            for agent, minion in zip(self.platform.agents, self.platform.minions):
                port = int(agent.settings["checkIns"].rpartition(":")[2])
                for body in odd_check_ins():
                    for path in ("i-odd", "%ff%fe", minion.name):
                        self._send(port, "PUT", "/-/instances/" + path, body)
            for port in self.platform.callers:
                for path in ("/q/%ff", "/q/" + "e" * 16, "/%ff"):
                    for body in (DEEP, UNREADABLE, b"{}", b'{"spec":"\xff"}', b'{"spec":"1","steps":'
                                 b'[{"count":4294967297}]}', b'{"spec":"1","steps":[{"count":1,'
                                 b'"cpu":1e300,"estimateMs":1e300}]}'):
                        self._send(port, "POST", path, body)
            for entry in self.platform.entries:
                for body in (DEEP, UNREADABLE, b"{}", b'{"agent":"x","waitMs":1e300}'):
                    self._send(entry.settings["ownPort"], "POST", "/exchange/svc", body)
            store = self.platform.store
            for number, value in enumerate(ODD_ROWS):
                key = f"odd-{number}"
                store.put_value("lav-job", "svc-in", key, value)
                store.put_value("lav-job", "svc-in", "cancel/" + key, value)
                for table in ("lav-state", "lav-prog", "lav-model", "lav-owner"):
                    store.put_value(table, "svc", key, value)
                store.put_value("op", "", "config", value)
                store.put_value("op", "", "evacuate/" + key, value)
                store.put_value("lav-owner", "svc", "successor", value)
            self.rounds += 1
            time.sleep(0.2)


def check_alive(programs: List[Program], pids: List[int]) -> None:
    for program, pid in zip(programs, pids):
        name = program.settings["vm"]
        assert program.process.poll() is None and program.process.pid == pid, f"{name} has ended"


def test_odd_entries_disturb_nothing(build: str) -> None:
    # One unreadable check-in ended its agent, a birth in the future stopped it from following its
    # minion, and one odd row of a listing hid all others.
    with Platform(build, 11) as platform:
        programs = platform.entries + platform.agents
        pids = [program.process.pid for program in programs]
        for minion in platform.minions:
            minion.odd_running = [7, None, {}, ["x"], ["j.0.0.0", 10 ** 30, "", 1], [[[[]]]]]
            minion.odd_ended = [{}, ["x", "j.0.0.0", 1, "done", ""], [-1, "j.0.0.0", 1, "done", ""]]
            minion.odd_ends = 2
        jobs = [platform.submit(1)]
        with OddWriter(platform) as writer:
            for number in range(2, 12):
                jobs.append(platform.submit(number))
                time.sleep(0.3)
            # The owner row too: another process takes the cell over.
            platform.store.put_value("lav-owner", "svc", "owner", UNREADABLE)
            for number in range(12, 15):
                jobs.append(platform.submit(number))
            platform.await_done(jobs, SETTLE_S)
            wait_until(lambda: writer.rounds >= 2, 20, "two rounds of odd entries")
        check_alive(programs, pids)
        platform.check_runs(jobs)
        assert 0 not in writer.answers, writer.answers
        print("  answers to odd requests:", dict(sorted(writer.answers.items())), flush=True)


if __name__ == "__main__":
    run_cases(globals())
