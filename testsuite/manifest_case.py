"""Manifests end to end: concurrent operators, propagation, paused processes, lost responses."""
import json
import signal
import threading
import time
from collections import Counter

from case_runner import run_cases
from local_deployment import Deployment, request, wait_until

# Detects hangs only. `make bench` measures the propagation time against its target of 2 s.
PROPAGATION_TIMEOUT_S = 15.0


def version_at(port):
    for line in request(port, "GET", "/metrics").body.decode().splitlines():
        if line.startswith("lavender_manifest_version "):
            return int(float(line.split()[1]))
    return 0


def test_accepted_manifest_is_in_force_everywhere(build):
    with Deployment(build, agents=4, entries=3) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        assert deployment.apply_manifest(expected=1, entry=1).json()["version"] == 2
        for port in deployment.entry_ports + deployment.agent_ports:
            wait_until(lambda port=port: version_at(port) == 2, PROPAGATION_TIMEOUT_S, "version 2")
        response = deployment.apply_manifest(expected=1)
        assert response.status == 409 and "version 2" in response.body.decode()
        invalid = request(deployment.entry_ports[0], "PUT", "/v1/manifest", b'{"deployment": 1}',
                          {"If-Match": "2", "Lavender-Operator": "test"})
        assert invalid.status == 400 and "/deployment" in invalid.body.decode()
        nameless = request(deployment.entry_ports[0], "PUT", "/v1/manifest", b"{}",
                           {"If-Match": "2"})
        assert nameless.status == 400 and "Lavender-Operator" in nameless.body.decode()


def test_racing_operators_with_lost_answers(build):
    """Each version has one winner although the response to every third store commit is lost."""
    with Deployment(build, agents=1, entries=2) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        deployment.control("store", {"loseEvery": 3})
        winners = Counter()
        statuses = Counter()
        lock = threading.Lock()

        def operate(index):
            for expected in range(1, 31):
                response = deployment.apply_manifest(expected=expected, entry=index % 2)
                with lock:
                    statuses[response.status] += 1
                    if response.status == 200:
                        winners[response.json()["version"]] += 1

        operators = [threading.Thread(target=operate, args=(index,)) for index in range(8)]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()
        deployment.control("store", {"loseEvery": 0})
        assert set(statuses) <= {200, 409}, statuses
        assert all(count == 1 for count in winners.values()), winners
        history = request(deployment.entry_ports[0], "GET", "/v1/manifest/history").json()
        versions = [record["version"] for record in history]
        assert versions == list(range(1, len(versions) + 1))
        assert set(winners) == set(versions) - {1}


def responses_after_resume(deployment, count=8):
    """Responses to requests that reach a stopped entry and are served as soon as it resumes."""
    responses = []
    callers = [threading.Thread(target=lambda: responses.append(deployment.call(1, "/check")))
               for _ in range(count)]
    for caller in callers:
        caller.start()
    time.sleep(0.3)
    deployment.signal("entry1", signal.SIGCONT)
    for caller in callers:
        caller.join()
    return responses


def check_resume(build, store_down):
    """An entry that was stopped during a manifest change uses the new version when it resumes.

    Guards against serving the old manifest between SIGCONT and the next poll of the manifest.
    """
    with Deployment(build, agents=2, entries=2) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        deployment.signal("entry1", signal.SIGSTOP)
        time.sleep(1.5)
        assert deployment.apply_manifest(expected=1).status == 200
        deployment.control("store", {"down": store_down, "delayMs": 100})
        for response in responses_after_resume(deployment):
            assert response.status == 200, response
            assert response.headers["lavender-manifest-version"] == "2", response.headers


def test_paused_entry_never_serves_an_older_manifest(build):
    check_resume(build, store_down=False)


def test_paused_entry_with_the_store_down(build):
    check_resume(build, store_down=True)


if __name__ == "__main__":
    run_cases(globals())
