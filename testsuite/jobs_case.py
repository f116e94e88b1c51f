"""Jobs end to end: acceptance, vouchers, cells, cancellation, failures of owners and workers."""
import json
import time
from collections import defaultdict

from case_runner import run_cases
from local_deployment import Deployment, request, wait_until

JOB = {"customer": "marking", "kind": "batch", "workClass": "marking", "tasks": 20,
       "resources": {"milliCores": 2000, "memoryMib": 4096}, "durationMs": 800,
       "checkpointable": True, "voucherCost": 1}


def post(port, path, body, headers=None):
    return request(port, "POST", path, json.dumps(body).encode(),
                   headers or {"Lavender-Operator": "test"})


def start_deployment(build, **options):
    deployment = Deployment(build, agents=0, **options)
    deployment.start()
    deployment.apply_manifest()
    deployment.wait_ready()
    post(deployment.entry_ports[0], "/v1/vouchers", {"customer": "marking", "units": 1000})
    for port in deployment.entry_ports:
        wait_until(lambda port=port: len([cell for cell in request(port, "GET", "/v1/cells").json()
                                          if cell["workers"] > 0]) == 3, 20,
                   "three cells with workers")
    return deployment


def job_state(deployment, key, entry=0):
    return request(deployment.entry_ports[entry], "GET", f"/v1/jobs/{key}").json()


def wait_ended(deployment, key, timeout=40):
    wait_until(lambda: job_state(deployment, key)["state"] in ("done", "failed", "cancelled"),
               timeout, f"job {key} to end")
    return job_state(deployment, key)


def check_runs(deployment, tasks_done_once=True):
    """Runs of a task never overlap, no worker exceeds its capacity, and tasks complete once."""
    runs = deployment.control("runs").json()
    by_task = defaultdict(list)
    for run in runs:
        by_task[run["task"]].append(run)
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda run: run["startedAt"])
        for earlier, later in zip(task_runs, task_runs[1:]):
            assert earlier["endedAt"] and earlier["endedAt"] <= later["startedAt"], (earlier, later)
            assert earlier["incarnation"] < later["incarnation"], (earlier, later)
        done = [run for run in task_runs if run["end"] == "done"]
        assert not tasks_done_once or len(done) <= 1, done
    assert deployment.control("counters").json()["workers"]["overCapacity"] == 0
    return runs


def test_job_is_accepted_once_and_done(build):
    with start_deployment(build) as deployment:
        job = dict(JOB, key="marking-1")
        first = post(deployment.entry_ports[0], "/v1/jobs", job)
        again = post(deployment.entry_ports[1], "/v1/jobs", job)
        assert first.status == 200 and again.json()["submission"] == first.json()["submission"]
        other = post(deployment.entry_ports[0], "/v1/jobs", dict(job, tasks=3))
        assert other.kind == "key-mismatch"
        assert wait_ended(deployment, "marking-1")["done"] == 20
        balance = request(deployment.entry_ports[0], "GET", "/v1/vouchers").json()[0]
        assert balance == {"customer": "marking", "granted": 1000, "balance": 980, "spent": 20}
        assert len({run["task"] for run in check_runs(deployment)}) == 20


def test_refusals_name_the_field(build):
    with start_deployment(build) as deployment:
        port = deployment.entry_ports[0]
        cases = [({"tasks": 0}, "/tasks", "invalid-request"),
                 ({"customer": "nobody"}, "/customer", "invalid-request"),
                 ({"dataCentres": ["atlantis"]}, "/dataCentres", "invalid-request"),
                 ({"resources": {"milliCores": 99000, "memoryMib": 1}}, "/resources", "never-fits"),
                 ({"voucherCost": 500}, "units", "voucher-exhausted")]
        for change, expected_text, kind in cases:
            response = post(port, "/v1/jobs", dict(JOB, key="bad", **change))
            assert response.kind == kind and expected_text in response.body.decode(), \
                (change, response)
        assert request(port, "GET", "/v1/jobs/bad").status == 404


def test_lost_answers_and_cancellation_balance_the_vouchers(build):
    with start_deployment(build) as deployment:
        deployment.control("store", {"loseEvery": 4})
        for index in range(6):
            job = dict(JOB, key=f"j{index}", tasks=5)
            assert post(deployment.entry_ports[index % 2], "/v1/jobs", job).status == 200
        long = dict(JOB, key="long", tasks=300, durationMs=600000,
                    resources={"milliCores": 16000, "memoryMib": 4096})
        assert post(deployment.entry_ports[0], "/v1/jobs", long).status == 200
        time.sleep(2)
        assert post(deployment.entry_ports[1], "/v1/jobs/long/cancel", {}).status == 200
        deployment.control("store", {"loseEvery": 0})
        for index in range(6):
            assert wait_ended(deployment, f"j{index}")["done"] == 5
        ended = wait_ended(deployment, "long")
        assert ended["cancelled"] == 300
        started = len({run["task"] for run in check_runs(deployment)
                       if run["task"].startswith("long/")})
        assert ended["refund"] <= 300 - started
        balance = request(deployment.entry_ports[0], "GET", "/v1/vouchers").json()[0]
        assert balance["spent"] == 30 + 300 - ended["refund"]
        assert balance["balance"] + balance["spent"] == 1000


def test_owner_killed_and_worker_dead(build):
    """The cells of a killed owner are taken over; tasks of a dead worker start elsewhere once."""
    with start_deployment(build, entries=3) as deployment:
        job = dict(JOB, key="survivor", tasks=30, durationMs=3000)
        assert post(deployment.entry_ports[0], "/v1/jobs", job).status == 200
        time.sleep(1.5)
        deployment.kill("entry1")
        deployment.control("worker", {"worker": "w0", "dead": True})
        assert wait_ended(deployment, "survivor", 90)["done"] == 30
        check_runs(deployment)


def test_data_centre_out_and_back(build):
    with start_deployment(build) as deployment:
        port = deployment.entry_ports[0]
        service = dict(JOB, key="replicas", kind="service", tasks=3, workClass="drill-check")
        assert post(port, "/v1/jobs", service).status == 200
        job = dict(JOB, key="moving", tasks=60, durationMs=4000,
                   resources={"milliCores": 6000, "memoryMib": 4096})
        assert post(port, "/v1/jobs", job).status == 200
        time.sleep(2)
        out = post(port, "/v1/datacentres/leicester/out", {})
        assert out.status == 200
        acknowledged = time.time() * 1000
        assert post(port, "/v1/datacentres/leicester/out", {}).status == 409
        assert wait_ended(deployment, "moving", 100)["done"] == 60
        for run in check_runs(deployment):
            late = run["dataCentre"] == "leicester" and run["startedAt"] > acknowledged + 2000
            assert not late, run
        running = [run for run in deployment.control("runs").json()
                   if run["task"].startswith("replicas/") and run["end"] == "running"]
        assert len(running) == 3 and all(run["dataCentre"] != "leicester" for run in running)
        assert post(port, "/v1/datacentres/leicester/back", {}).status == 200
        trail = request(port, "GET", "/v1/audit").json()
        assert [record["after"] for record in trail if record["subject"] == "data-centre"] == \
            ["out", "in"]


if __name__ == "__main__":
    run_cases(globals())
