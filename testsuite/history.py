"""Checks on the executions recorded by the minions of lavender-standin."""
from collections import Counter
from typing import Dict, List


def count_by_field(executions: List[dict], field: str) -> Counter:
    return Counter(execution[field] for execution in executions if execution[field])


def check_outcomes(executions: List[dict], outcomes: Dict[str, str]) -> None:
    """How often each request ran matches the outcome that its caller saw.

    `outcomes` maps request ids to answered | not-run | unknown.
    """
    ran = count_by_field(executions, "request")
    for request_id, outcome in outcomes.items():
        count = ran[request_id]
        if outcome == "answered":
            assert count == 1, f"{request_id} was answered but ran {count} times"
        elif outcome == "not-run":
            assert count == 0, f"{request_id} was reported as not run but ran {count} times"
        else:
            assert count <= 1, f"{request_id} ran {count} times"


def check_keys(executions: List[dict]) -> None:
    """No idempotency key ran twice."""
    duplicates = {key: count for key, count in count_by_field(executions, "key").items()
                  if count > 1}
    assert not duplicates, f"keys that ran more than once: {duplicates}"


def check_deadlines(executions: List[dict]) -> None:
    """No request started after its deadline."""
    late = [execution for execution in executions
            if execution["deadline"] and execution["startedAt"] > execution["deadline"]]
    assert not late, f"started after the deadline: {late[:3]}"
