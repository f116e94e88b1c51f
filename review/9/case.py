"""A route that the operator has dropped comes back, and the jobs accepted before go on waiting."""
import asyncio
import os

from deployment import SERVICE, Deployment, config, route, run_case

MINIONS = [{} for _ in range(3)]
OTHER = "kefo38c"
MARKS, ROSTERS = "/mark/", "/roster/"
MARK_ROUTE = route("r-mark", MARKS, priority=2, attempts=3)
ROSTER_ROUTE = route("r-roster", ROSTERS, attempts=4)
OTHER_ROUTE = route("r-other", "/other/", service=OTHER)
SERVICES = [SERVICE, OTHER]
CONTACT_S = 4.0
FINISH_S = 14.0
IDLE_S = 3.0

MARK = {"spec": "ms=4000 cpu=3500", "steps": [
    {"count": 4, "cpu": 3500, "memMb": 6400, "estimateMs": 4000},
    {"count": 4, "cpu": 3500, "memMb": 6400, "estimateMs": 4000, "after": [0]}]}


async def case(deployment: Deployment):
    await deployment.start(config(3, [MARK_ROUTE, OTHER_ROUTE], SERVICES))
    jobs = [f"{0xe000000000000000 + number:016x}" for number in range(3)]
    for job in jobs:
        if not await deployment.submit(MARKS + job, MARK):
            return "a job was not accepted"

    async def all_have_started() -> bool:
        return all(deployment.runs(job, 0) for job in jobs)

    await deployment.wait_for(all_have_started, 10.0, "the first steps to start")
    await asyncio.sleep(1.0)
    if deployment.trouble:
        await deployment.set_config(config(5, [OTHER_ROUTE], SERVICES))
    await asyncio.sleep(6.0)
    if deployment.trouble:
        await deployment.set_config(config(8, [MARK_ROUTE, OTHER_ROUTE], SERVICES))
    deployment.note("no client sends a job from here on")
    await asyncio.sleep(CONTACT_S + FINISH_S)
    idle_from = deployment.now()
    while deployment.now() < idle_from + IDLE_S:
        if any(minion.running for minion in deployment.minions):
            idle_from = deployment.now()
            if all([await deployment.state(MARKS + job) == "done" for job in jobs]):
                break
        await asyncio.sleep(0.1)
    states = {job: await deployment.state(MARKS + job) for job in jobs}
    stuck = [job for job, state in states.items()
             if state == "running" and all(run.how == "done" for run in deployment.runs(job, 0))
             and not deployment.runs(job, 1)]
    for line in deployment.log_lines("configuration applied"):
        deployment.note(line[:200])
    if stuck:
        return (f"LOST: {len(stuck)} accepted jobs have had nothing running for {IDLE_S:.0f} s: "
                f"their second step waits, and no minion has a task")
    if set(states.values()) != {"done"}:
        return f"LOST: states {states}"
    return None


run_case(case, os.path.dirname(os.path.abspath(__file__)), entries=3, minions=MINIONS)
