"""Closed-loop load on a local deployment that records the outcome of every request."""
import random
import threading
from collections import Counter
from typing import Callable, Dict, Optional

from local_deployment import Deployment, Response


def outcome_of(response: Response) -> str:
    """Outcome of a request as its caller sees it: answered | not-run | unknown."""
    if response.status == 0:
        return "unknown"
    if not response.kind:
        return "answered"
    return response.outcome


class Load:
    """Sends requests from several threads until stopped.

    `outcomes` maps request ids to outcomes; with idempotency keys it maps each key to the outcome
    of its last attempt. `wrong_responses` counts responses that belong to another request.
    """

    def __init__(self, deployment: Deployment, threads: int, path: str = "/check?ms=3",
                 seed: int = 1, timeout_ms: int = 3000, with_keys: bool = False,
                 key_retries: int = 0, method: str = "POST"):
        self.deployment = deployment
        self.path = path
        self.method = method
        self.timeout_ms = timeout_ms
        self.with_keys = with_keys
        self.key_retries = key_retries
        self.outcomes: Dict[str, str] = {}
        self.kinds: Counter = Counter()
        self.wrong_responses = 0
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(seed * 1000 + index,))
                        for index in range(threads)]

    def start(self) -> "Load":
        for thread in self.threads:
            thread.start()
        return self

    def stop(self) -> Dict[str, str]:
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.outcomes

    def _run(self, seed: int) -> None:
        rng = random.Random(seed)
        number = 0
        while not self.stopping.is_set():
            number += 1
            self._request(f"r{seed}-{number}", rng)

    def _request(self, request_id: str, rng: random.Random) -> None:
        headers = {"Lavender-Timeout-Ms": str(self.timeout_ms)}
        if self.with_keys:
            headers["Idempotency-Key"] = f"key-{request_id}"
        outcome = "not-run"
        for attempt in range(1 + self.key_retries):
            attempt_id = f"{request_id}-{attempt}"
            entry = rng.randrange(len(self.deployment.entry_ports))
            response = self.deployment.call(
                entry, self.path, self.method, request_id.encode() if self.method == "POST" else b"",
                dict(headers, **{"Lavender-Request-Id": attempt_id}),
                timeout=self.timeout_ms / 1000 + 3)
            outcome = outcome_of(response)
            with self.lock:
                self.kinds[response.kind or str(response.status)] += 1
                if outcome == "answered" and not self._is_expected(response, request_id):
                    self.wrong_responses += 1
                if not self.with_keys:
                    self.outcomes[attempt_id] = outcome
            if not self.with_keys or outcome == "answered":
                break
        if self.with_keys:
            with self.lock:
                self.outcomes[f"key-{request_id}"] = outcome

    def _is_expected(self, response: Response, request_id: str) -> bool:
        if response.status != 200:
            return True
        response_body = response.json()
        return response_body["request"].startswith(request_id + "-") and \
            (self.method != "POST" or response_body["echo"] == request_id)


def run_load_during(deployment: Deployment, action: Callable[[], Optional[object]], **options):
    """Runs `action` while requests are sent and returns the stopped load."""
    load = Load(deployment, **options).start()
    try:
        action()
    finally:
        load.stop()
    return load
