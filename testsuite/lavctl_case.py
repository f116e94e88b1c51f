"""lavctl against a running deployment: table and JSON output, exit codes."""
import json
import os
import subprocess

from case_runner import run_cases
from local_deployment import Deployment

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
MANIFEST = os.path.join(ROOT, "examples", "poolside", "manifest.json")


def test_operators_commands_and_exit_codes(build):
    with Deployment(build, agents=2) as deployment:
        def lavctl(*words):
            entry = f"127.0.0.1:{deployment.entry_ports[0]}"
            return subprocess.run([f"{build}/src/lavctl", "--entry", entry, "--operator", "ann",
                                   "--cause", "test", *words], capture_output=True, text=True)

        assert lavctl("manifest", "validate", MANIFEST).returncode == 0
        assert lavctl("--expect", "0", "manifest", "apply", MANIFEST).returncode == 0
        deployment.wait_ready()
        stale = lavctl("--expect", "0", "manifest", "apply", MANIFEST)
        assert stale.returncode == 4 and "version 1" in stale.stderr
        shown = lavctl("--json", "manifest", "show")
        assert json.loads(shown.stdout)["version"] == 1
        assert lavctl("datacentre", "out", "leicester").returncode == 0
        assert lavctl("datacentre", "out", "leicester").returncode == 4
        assert lavctl("datacentre", "out", "atlantis").returncode == 3
        listed = lavctl("datacentre", "list")
        assert "leicester" in listed.stdout and "out" in listed.stdout
        assert lavctl("datacentre", "back", "leicester").returncode == 0
        assert len(lavctl("endpoints").stdout.splitlines()) == 3
        audit = json.loads(lavctl("--json", "audit").stdout)
        assert [record["operatorName"] for record in audit] == ["ann"] * 3
        assert lavctl("job", "show", "nothing").returncode == 3
        assert lavctl("fly").returncode == 2
        assert lavctl("manifest", "apply").returncode == 2
        deployment.kill("entry0")
        assert lavctl("endpoints").returncode == 7


if __name__ == "__main__":
    run_cases(globals())
