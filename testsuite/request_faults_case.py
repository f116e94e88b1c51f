"""Requests under faults: killed and stopped processes, truncated responses, store outages."""
import signal
import time

from case_runner import run_cases
from history import check_deadlines, check_keys, check_outcomes
from load import run_load_during
from local_deployment import Deployment, wait_until


def start_deployment(build, **options):
    deployment = Deployment(build, **options)
    deployment.start()
    deployment.apply_manifest()
    deployment.wait_ready()
    return deployment


def check_load(deployment, load):
    executions = deployment.executions()
    check_outcomes(executions, load.outcomes)
    check_deadlines(executions)
    assert load.wrong_responses == 0
    assert load.kinds["200"] > 0


def test_truncated_answers_never_look_complete(build):
    with start_deployment(build, agents=2) as deployment:
        deployment.control("minion", {"minion": "m0", "truncate": True})
        load = run_load_during(deployment, lambda: time.sleep(1.5), threads=6, timeout_ms=1000)
        check_load(deployment, load)
        assert load.kinds["corrupted-answer"] > 0, load.kinds
        deployment.control("minion", {"minion": "m0", "truncate": False})


def test_minion_that_drops_connections_after_the_work(build):
    with start_deployment(build, agents=2) as deployment:
        deployment.control("minion", {"minion": "m0", "dead": True})
        load = run_load_during(deployment, lambda: time.sleep(1.5), threads=6, timeout_ms=1000)
        check_load(deployment, load)
        assert load.kinds["outcome-unknown"] > 0, load.kinds


def test_agents_and_entries_killed_and_frozen(build):
    with start_deployment(build, agents=5, entries=3) as deployment:
        def faults():
            time.sleep(0.5)
            deployment.kill("agent0")
            time.sleep(0.5)
            deployment.signal("agent1", signal.SIGSTOP)
            time.sleep(1.2)
            deployment.signal("agent1", signal.SIGCONT)
            deployment.kill("entry2")
            deployment.start_agent(0)
            deployment.start_entry(2)
            time.sleep(1.5)

        load = run_load_during(deployment, faults, threads=16, timeout_ms=1500)
        check_load(deployment, load)


def test_keys_run_once_while_agents_and_entries_die(build):
    with start_deployment(build, agents=5, entries=3) as deployment:
        def faults():
            for index in range(3):
                time.sleep(0.5)
                deployment.kill(f"agent{index}")
                deployment.kill(f"entry{index % 3}")
                deployment.start_agent(index)
                deployment.start_entry(index % 3)
                deployment.control("store", {"loseEvery": 5 if index % 2 == 0 else 0})
            time.sleep(1.5)
            deployment.control("store", {"loseEvery": 0})

        load = run_load_during(deployment, faults, threads=12, timeout_ms=1500, with_keys=True,
                               key_retries=3)
        executions = deployment.executions()
        check_keys(executions)
        ran = {execution["key"] for execution in executions}
        for key, outcome in load.outcomes.items():
            if outcome == "answered":
                assert key in ran, f"{key} was answered but never ran"
        assert load.wrong_responses == 0
        assert list(load.outcomes.values()).count("answered") > 10


def test_store_outage(build):
    """Requests without keys work while the store is down.

    A request with an idempotency key is rejected as not run, and runs once when the store is back.
    """
    with start_deployment(build, agents=3) as deployment:
        deployment.control("store", {"down": True})
        response = deployment.call(0, "/pass", headers={"Idempotency-Key": "k1"})
        assert response.kind == "store-unavailable" and response.outcome == "not-run"
        load = run_load_during(deployment, lambda: time.sleep(2), threads=6)
        check_load(deployment, load)
        assert set(load.kinds) == {"200"}, load.kinds
        assert deployment.call(1, "/pass", headers={"Idempotency-Key": "k1"}).outcome == "not-run"
        deployment.control("store", {"down": False})
        assert deployment.call(1, "/pass", headers={"Idempotency-Key": "k1"}).status == 200
        check_keys(deployment.executions())


if __name__ == "__main__":
    run_cases(globals())
