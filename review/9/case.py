"""A large job that waits for room keeps a lasting job from the room that is there for it."""
import asyncio
import os

from deployment import Deployment, config, route, run_case

MINIONS = [{} for _ in range(3)]
MARKS, ROSTERS = "/mark/", "/roster/"
ROUTES = [route("r-mark", MARKS, priority=2, attempts=3),
          route("r-roster", ROSTERS, priority=0, attempts=4)]
CALM_S = 4.0
IDLE_S = 3.0
WATCH_S = 40.0

# Three tasks fit on a minion of 32 cores and leave 4.1 of them.
LARGE_ROSTER = {"spec": "lasts=1 cpu=9300", "steps": [
    {"count": 9, "cpu": 9300, "memMb": 13000, "estimateMs": 400, "longRunning": True}]}
SMALL_ROSTER = {"spec": "lasts=1 cpu=3000", "steps": [
    {"count": 1, "cpu": 3000, "memMb": 4000, "estimateMs": 400, "longRunning": True}]}
MARK = {"spec": "ms=2700 cpu=7000", "steps": [
    {"count": 2, "cpu": 7000, "memMb": 13000, "estimateMs": 2700}]}


async def case(deployment: Deployment):
    await deployment.start(config(3, ROUTES))
    large, small, mark = "aa" * 8, "bb" * 8, "cc" * 8
    if not await deployment.submit(ROSTERS + large, LARGE_ROSTER):
        return "a job was not accepted"

    async def large_runs() -> bool:
        return sum(run.percent == 100 for run in deployment.runs(large)) == 9

    await deployment.wait_for(large_runs, 10.0, "the large roster to run")
    if deployment.trouble and not await deployment.submit(MARKS + mark, MARK):
        return "a job was not accepted"
    await asyncio.sleep(2.0)
    if not await deployment.submit(ROSTERS + small, SMALL_ROSTER):
        return "a job was not accepted"
    await asyncio.sleep(CALM_S)
    waited_from, longest, roomy = deployment.now(), 0.0, 0
    demand = SMALL_ROSTER["steps"][0]["cpu"]
    until = deployment.now() + WATCH_S
    while deployment.now() < until:
        free = [minion.capacity["cpu"] - minion.used() for minion in deployment.minions]
        roomy = sum(room // demand for room in free)
        if any(run.ended is None for run in deployment.runs(small)) or roomy < 2:
            waited_from = deployment.now()
        longest = max(longest, deployment.now() - waited_from)
        await asyncio.sleep(0.1)
    state = await deployment.state(ROSTERS + small)
    deployment.note(f"the small roster is {state}; it has had nothing running for {longest:.1f} s "
                    f"on end with room for {roomy} such tasks; its runs: "
                    f"{len(deployment.runs(small))}")
    if longest > IDLE_S:
        return f"LOST: a lasting task had nothing running for {longest:.1f} s, with room for {roomy}"
    return None


run_case(case, os.path.dirname(os.path.abspath(__file__)), entries=3, minions=MINIONS)
