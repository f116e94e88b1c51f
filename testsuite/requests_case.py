"""Requests without faults: responses, rejections, slot limits, deadlines, graceful shutdown."""
import threading
import time

from case_runner import run_cases
from history import check_deadlines, check_keys, check_outcomes
from load import run_load_during
from local_deployment import Deployment, request, wait_until


def test_answers_and_refusals(build):
    with Deployment(build, agents=2) as deployment:
        assert deployment.call(0, "/check").kind == "not-ready"
        assert deployment.apply_manifest().status == 200
        deployment.wait_ready()
        response = deployment.call(0, "/check?ms=2", body=b"drill",
                                 headers={"Lavender-Request-Id": "r1"})
        assert response.status == 200 and response.json()["echo"] == "drill"
        assert response.json()["request"] == "r1"
        unknown = request(deployment.entry_ports[0], "POST", "/v1/services/none/x")
        assert unknown.status == 404 and unknown.outcome == "not-run"
        for name in ("Lavender-Timeout-Ms", "Lavender-Deadline-Ms", "Lavender-Class"):
            bad = deployment.call(0, "/check", headers={name: "soon"})
            assert bad.status == 400 and name in bad.body.decode()
        past = deployment.call(0, "/check", headers={"Lavender-Deadline-Ms": "1000"})
        assert past.kind == "deadline-exceeded" and past.outcome == "not-run"
        large = deployment.call(0, "/check?bytes=300000")
        assert len(large.json()["filler"]) == 300000
        oversized = deployment.call(0, "/check", body=b"x" * (9 * 1024 * 1024))
        assert oversized.status in (0, 413)


def test_slots_and_deadlines_under_pressure(build):
    """Load from two entries never exceeds the eight slots of a minion."""
    with Deployment(build, agents=2) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        load = run_load_during(deployment, lambda: time.sleep(3), threads=60,
                               path="/check?ms=30", timeout_ms=400)
        executions = deployment.executions()
        for minion in deployment.control("counters").json()["minions"]:
            assert minion["overSlots"] == 0 and minion["mostRunning"] <= 8, minion
            assert minion["mostRunning"] == 8, minion
        check_outcomes(executions, load.outcomes)
        check_deadlines(executions)
        assert load.wrong_responses == 0
        assert load.kinds["200"] > 0


def test_stops_are_graceful(build):
    """SIGTERM to an agent and to an entry under load interrupts no request."""
    with Deployment(build, agents=4) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        slow = []

        def call_slowly():
            slow.append(deployment.call(1, "/check?ms=1500"))

        caller = threading.Thread(target=call_slowly)

        def stop_agent_and_entry():
            caller.start()
            time.sleep(0.3)
            assert deployment.terminate("agent1") == 0
            started = time.time() * 1000
            time.sleep(1)
            assert deployment.terminate("entry1") == 0
            late_starts = [run for run in deployment.executions()
                    if run["minion"] == "m1" and run["startedAt"] > started + 100]
            assert not late_starts, late_starts
            deployment.entry_ports.pop()
            time.sleep(0.5)

        load = run_load_during(deployment, stop_agent_and_entry, threads=12)
        caller.join()
        assert slow[0].status == 200, slow
        check_outcomes(deployment.executions(), load.outcomes)
        without_response = [name for name, outcome in load.outcomes.items() if outcome == "unknown"]
        # A refused connection to the exited entry is recorded as unknown; such a request never ran.
        ran = {run["request"] for run in deployment.executions()}
        assert not [name for name in without_response if name in ran], without_response
        assert load.wrong_responses == 0


def test_keys_run_once_through_any_entry(build):
    with Deployment(build, agents=3) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        responses = []

        def call(entry):
            responses.append(deployment.call(entry, "/pass?ms=50",
                                           headers={"Idempotency-Key": "pass-17"}))

        callers = [threading.Thread(target=call, args=(index % 2,)) for index in range(10)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        assert all(response.status == 200 for response in responses), responses
        assert len({response.json()["request"] for response in responses}) == 1
        check_keys(deployment.executions())
        mismatch = deployment.call(0, "/pass?ms=50", body=b"other",
                                   headers={"Idempotency-Key": "pass-17"})
        assert mismatch.kind == "key-mismatch"


def test_programs_check_their_settings(build):
    import subprocess
    for program in ("lavender-entry", "lavender-agent", "lavender-standin", "lavctl"):
        path = f"{build}/src/{program}"
        assert subprocess.run([path, "--help"], capture_output=True).returncode == 0
        assert subprocess.run([path, "--version"], capture_output=True).returncode == 0
    bad = subprocess.run([f"{build}/src/lavender-agent", "--check-settings", "--set", "slots=0",
                          "--set", "lissten=1"], capture_output=True, text=True)
    assert bad.returncode == 2
    for word in ("/slots", "lissten", "endpoint"):
        assert word in bad.stderr, bad.stderr


if __name__ == "__main__":
    run_cases(globals())
