"""Membership end to end: endpoints leave and return, and an entry is replaced."""
import time

from case_runner import run_cases
from local_deployment import Deployment, free_ports, request, wait_until

# Detects hangs only. `make bench` measures the propagation time against its target of 2 s.
PROPAGATION_TIMEOUT_S = 15.0
SETTLE_S = 2.0


def endpoint_names(port):
    return {row["endpoint"] for row in request(port, "GET", "/v1/endpoints").json()}


def test_endpoints_come_and_go(build):
    with Deployment(build, agents=3) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        deployment.kill("agent2")
        for port in deployment.entry_ports:
            wait_until(lambda port=port: "m2" not in endpoint_names(port), PROPAGATION_TIMEOUT_S,
                       "a dead endpoint to expire")
        deployment.start_agent(2)
        for port in deployment.entry_ports:
            wait_until(lambda port=port: "m2" in endpoint_names(port), PROPAGATION_TIMEOUT_S,
                       "a restarted endpoint to reappear")


def test_replaced_entry_at_a_new_address_with_the_store_down(build):
    """A replaced entry gets the manifest and all endpoints from its peers and the agents.

    The store is down, so that it cannot read them there.
    """
    with Deployment(build, agents=4) as deployment:
        deployment.apply_manifest()
        deployment.wait_ready()
        deployment.control("store", {"down": True})
        deployment.kill("entry1")
        deployment.start_entry(1, port=free_ports(1)[0])
        port = deployment.entry_ports[1]
        wait_until(lambda: request(port, "GET", "/readyz").status == 200
                   and len(endpoint_names(port)) == 4, PROPAGATION_TIMEOUT_S,
                   "the replaced entry to be ready")
        assert deployment.call(1, "/check").status == 200
        time.sleep(SETTLE_S)
        assert len(endpoint_names(port)) == 4
        assert deployment.call(1, "/check").status == 200


if __name__ == "__main__":
    run_cases(globals())
