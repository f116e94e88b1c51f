"""Runs the test_* functions of an end-to-end test file and prints the result of each."""
import sys
import traceback


def run_cases(namespace: dict) -> None:
    """Calls the test_* functions with the build directory as argument.

    Command line: BUILD_DIRECTORY [TEST ...]; without names all tests run. Exits 1 if a test fails.
    """
    build = sys.argv[1]
    selected = sys.argv[2:]
    failed = 0
    for name, function in list(namespace.items()):
        if not name.startswith("test_") or (selected and name not in selected):
            continue
        try:
            function(build)
            print(f"passed {name}", flush=True)
        except Exception:  # the remaining tests run after a failure
            traceback.print_exc()
            print(f"FAILED {name}", flush=True)
            failed += 1
    sys.exit(1 if failed else 0)
