"""A lasting job and a short one keep each other from a minion that has room for either."""
import asyncio
import os

from deployment import Deployment, config, route, run_case

# Only the first minion is of the kind that the jobs require.
MINIONS = [{"labels": ["b", "r1-1"]}, {}, {}]
DRILLS, ROSTERS, MARKS = "/drill/", "/roster/", "/mark/"
ROUTES = [route("r-drill", DRILLS, priority=0), route("r-roster", ROSTERS, priority=0, attempts=4),
          route("r-mark", MARKS, priority=2, attempts=3)]
CALM_S = 4.0
IDLE_S = 3.0
FINISH_S = 14.0
WATCH_S = 30.0


def roster(count: int, cpu: int) -> dict:
    return {"spec": f"lasts=1 cpu={cpu}", "steps": [
        {"count": count, "cpu": cpu, "memMb": 20000, "estimateMs": 400, "longRunning": True,
         "requires": "b"}]}


def short(cpu: int, memory: int, work_ms: int) -> dict:
    return {"spec": f"ms={work_ms} cpu={cpu}", "steps": [
        {"count": 1, "cpu": cpu, "memMb": memory, "estimateMs": work_ms, "requires": "b"}]}


async def case(deployment: Deployment):
    await deployment.start(config(3, ROUTES))
    minion = deployment.minions[0]
    first, mark, large, drill = ("aa" * 8, "bb" * 8, "cc" * 8, "dd" * 8)

    async def hand_in(path: str, document: dict) -> None:
        if not await deployment.submit(path, document):
            raise RuntimeError(f"{path} was not accepted")

    def runs_now(job: str) -> bool:
        return any(run.ended is None for run in deployment.runs(job))

    async def both_run() -> bool:
        return runs_now(first) and runs_now(mark)

    await hand_in(ROSTERS + first, roster(3, 7000))
    await hand_in(MARKS + mark, short(7000, 13000, 6800))
    await deployment.wait_for(both_run, 10.0, "the first jobs to run")
    if deployment.trouble:
        await hand_in(ROSTERS + large, roster(1, 10000))
    await asyncio.sleep(1.0)
    await hand_in(DRILLS + drill, short(1400, 1900, 800))
    deployment.note("the traffic ends")

    async def mark_is_done() -> bool:
        return not runs_now(mark)

    await deployment.wait_for(mark_is_done, 15.0, "the mark to end")
    await asyncio.sleep(max(CALM_S, FINISH_S))
    began = deployment.now()
    waited_from = {drill: began, large: began}
    longest = {drill: 0.0, large: 0.0}
    demand = {drill: 1400, large: 10000}
    while deployment.now() < began + WATCH_S:
        free = minion.capacity["cpu"] - minion.used()
        used = sum(each.used() for each in deployment.minions)
        total = sum(each.capacity["cpu"] for each in deployment.minions)
        for job in waited_from:
            finished = any(run.how == "done" for run in deployment.runs(job))
            excused = free < 2 * demand[job] or used * 2 >= total
            # There is room for one more lasting task only, so that it waits with an excuse.
            if finished or runs_now(job) or (job == drill and excused):
                waited_from[job] = deployment.now()
            longest[job] = max(longest[job], deployment.now() - waited_from[job])
        await asyncio.sleep(0.1)
    states = [f"{path + job} is {await deployment.state(path + job)}"
              for path, job in ((DRILLS, drill), (ROSTERS, large))]
    deployment.note("; ".join(states) + f"; {minion.used()} of {minion.capacity['cpu']} "
                    "thousandths of a core of the required minion in use")
    deployment.note(f"nothing running on end: the short job {longest[drill]:.1f} s, the "
                    f"lasting one {longest[large]:.1f} s")
    if longest[drill] > IDLE_S:
        return (f"LOST: an accepted job had nothing running for {longest[drill]:.1f} s, with "
                f"room for {(minion.capacity['cpu'] - minion.used()) // 1400} such tasks")
    return None


run_case(case, os.path.dirname(os.path.abspath(__file__)), entries=3, minions=MINIONS)
