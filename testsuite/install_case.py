"""An installed copy can be found with find_package, linked and run by another CMake project."""
import os
import subprocess
import tempfile

from case_runner import run_cases

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


def test_installed_library_is_usable(build):
    with tempfile.TemporaryDirectory() as scratch:
        prefix = os.path.join(scratch, "prefix")
        example = os.path.join(scratch, "example")
        subprocess.run(["cmake", "--install", build, "--prefix", prefix], check=True,
                       capture_output=True)
        for program in ("lavender-entry", "lavender-agent", "lavctl"):
            assert os.access(os.path.join(prefix, "bin", program), os.X_OK), program
        configured = subprocess.run(
            ["cmake", "-S", os.path.join(ROOT, "src", "embedding-example"), "-B", example,
             f"-DCMAKE_PREFIX_PATH={prefix}"], capture_output=True, text=True)
        assert configured.returncode == 0, configured.stderr
        built = subprocess.run(["cmake", "--build", example], capture_output=True, text=True)
        assert built.returncode == 0, built.stdout + built.stderr
        ran = subprocess.run([os.path.join(example, "embedding_example")], capture_output=True,
                             text=True, check=True)
        assert ran.stdout.startswith("1 endpoint"), ran.stdout


if __name__ == "__main__":
    run_cases(globals())
