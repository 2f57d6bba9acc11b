"""A job that is done is submitted again after the limits of the state service were announced to fall."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness2"))


import asyncio  # noqa: E402

from world import TROUBLE, World, rig, run_case  # noqa: E402

ZONE = "nyarugenge-hall"
TYPES = [rig(f"umurenge-16-{number:04d}", 16, 64, [ZONE]) for number in range(130)]
ALLOWED = [kind["sku"] for kind in TYPES[:125]]
JOB = "req-000001"
NEXT = {"value_kb": 2.0, "txn_ops": 5, "write_rps": 28.0}


def make_world():
    used = TYPES[1]["sku"]
    world = World(FOLDER, TYPES, {(used, ZONE, False): 4}, [(used, ZONE, False)] * 2, {"fleet-desk": 0.0},
                  state_next=NEXT if TROUBLE else None)
    # The third controller ended before and is back later.
    world.first_nodes = ["deckhand-0", "deckhand-1"]
    return world


async def play(world):
    await world.healthy(world.first_nodes)
    spec = world.job(JOB, jobclass="fare-recalc", shards=2, run_s=3.0, rigs=ALLOWED)
    status, _ = await world.submit(spec)
    if status != 201:
        return [f"the job is not accepted: {status}"]
    if await world.until_status(JOB, ("done",), 40) is None:
        return ["the job is not done"]
    world.start_node("deckhand-2")
    await world.healthy()
    await world.until("all controllers agree on the layout", lambda: "c/layout" in world.state.keys, 20)
    if TROUBLE:
        world.note("the state service lowers its limits", **NEXT)
        world.state.value_kb, world.state.txn_ops, world.state.write_rps = 2.0, 5, 28.0
    await asyncio.sleep(2.0)
    broken = []
    for node in world.node_names:
        status, answer = await world.submit(spec, node)
        if status != 200 or answer["status"] != "done":
            broken.append(f"forgotten: the job is done, {node} answers its repeated submission with {status} {answer}")
    return world.broken + broken


run_case(make_world, play)
