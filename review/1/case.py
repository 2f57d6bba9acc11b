"""Users submit arrays of the largest size several times as often; the platform ends a controller over its memory."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standin.machines import Cloud  # noqa: E402
from standin.state import StateService  # noqa: E402
from standin.world import NotRun, job, kayal, rig, run_case  # noqa: E402

LARGEST_ARRAY = 100_000  # PROTOCOL: "number of tasks, at most 100,000"
USUAL_ARRAYS = 5
FACTOR = 4  # the largest factor with which a class comes more often in the site files
BACK_S = 8.0  # "back about 8 s after an end"
UNANSWERED_S = 75.0  # "a job about which no question is answered for 75 s counts as forgotten"


def memory_mb(process):
    """What the process holds itself: its private memory, without the pages of its program file."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def platform(world):
    """Ends a controller that is over its memory and starts it again, as DEPLOY says."""
    limit = world.settings["machine_limits"]["ram_mb"]

    async def start_again(name):
        await asyncio.sleep(BACK_S)
        world.spawn(name)

    while True:
        for name, process in list(world.processes.items()):
            try:
                held = memory_mb(process)
            except OSError:
                continue
            if held > limit:
                world.note("over the memory limit", node=name, held_mb=round(held), limit_mb=limit)
                world.ends += 1
                world.end(name)
                asyncio.ensure_future(start_again(name))
        await asyncio.sleep(0.1)


async def case(world, trouble):
    cloud = Cloud(world, {"chembu-4": rig("chembu-4", 4.0, 32.0, ["kakkanad-rack"])},
                  {("chembu-4", "kakkanad-rack", False): 20})
    await world.begin(StateService(), cloud, [("chembu-4", "kakkanad-rack", 9)])
    world.ends = 0
    asyncio.ensure_future(platform(world))
    accepted = []
    status, _ = await world.submit(job(1, "standing", tasks=3, rank="critical"), for_s=15.0)
    if status not in (200, 201):
        raise NotRun("the first job was not accepted")
    accepted.append("req-000001")
    for number in range(USUAL_ARRAYS * (FACTOR if trouble else 1)):
        array = job(100 + number, tasks=LARGEST_ARRAY, jobclass="deed-scan", rank="idle", expected_s=5.0)
        status, _ = await world.submit(array, run_s=5.0, for_s=0.0)
        if status in (200, 201):
            accepted.append(array["id"])
        await asyncio.sleep(0.4)
    world.note("burst over", accepted=len(accepted))

    over_at = time.monotonic()
    last_answer = {name: over_at for name in accepted}
    longest = 0.0

    async def user(name):
        nonlocal longest
        while True:
            began = time.monotonic()
            status, _ = await world.poll(name)
            now = time.monotonic()
            longest = max(longest, now - last_answer[name])
            if status in (200, 404):
                last_answer[name] = now
            await asyncio.sleep(max(0.0, began + 5.0 - time.monotonic()))

    for name in accepted:
        asyncio.ensure_future(user(name))
    while time.monotonic() - over_at < UNANSWERED_S + 12.0:
        await asyncio.sleep(1.0)
        now = time.monotonic()
        forgotten = [n for n, at in last_answer.items() if now - at >= UNANSWERED_S]
        if forgotten:
            return (f"forgotten: no question about {len(forgotten)} of {len(accepted)} accepted jobs was "
                    f"answered for {UNANSWERED_S:.0f} s; controllers ended {world.ends} times for memory")
    world.note("longest time without an answer", seconds=round(longest, 1), ends=world.ends)
    return None


run_case(HERE, kayal(), case)
