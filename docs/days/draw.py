#!/usr/bin/env python3
"""Draws days on which several troubles meet.

    draw.py SEED OUT_DIR [DAYS]

draw-SEED-N.toml: two or three of the troubles that the newer bench knows, an end of controllers, a pause and an
outage, within moments of each other, twice in a day; the last trouble is over by 330 s. Counts are shares where the
bench knows shares, so that a day fits a site of any size.
"""
import pathlib, random, sys

seed, out = int(sys.argv[1]), pathlib.Path(sys.argv[2])
days = int(sys.argv[3]) if len(sys.argv) > 3 else 1


def trouble(r, at):
    """One of the newer troubles, as its fields."""
    span = round(r.uniform(5.0, 45.0), 1)
    share = round(r.uniform(0.05, 0.5), 2)
    hang = round(r.uniform(1.0, 26.0), 1)
    return r.choice(
        [
            f'kind = "cancel_now", count = {r.randint(2, 12)}, hang_s = {hang}, at_s = {at}',
            f'kind = "cancel_now", count = {r.randint(2, 12)}, at_s = {at}',
            f'kind = "cancel_at_end", share = {share}, for_s = {span}, at_s = {at}',
            f'kind = "machine_mute", share = {share}, for_s = {span}, at_s = {at}',
            f'kind = "machine_deaf", share = {share}, for_s = {span}, at_s = {at}',
            f'kind = "late_writes", share = {share}, for_s = {span}, at_s = {at}',
            f'kind = "late_reports", share = {share}, for_s = {span}, at_s = {at}',
            f'kind = "odd_requests", for_s = {span}, at_s = {at}',
            f'kind = "node_cut", count = 1, busiest = true, from_state = true, from_peers = true, for_s = {span}, '
            f'mode = "{r.choice(["hold", "refuse"])}", at_s = {at}',
        ]
    )


def end(r, at):
    return r.choice(
        [
            f'kind = "node_crash", count = {r.randint(1, 3)}, busiest = {r.choice(["true", "false"])}, at_s = {at}',
            f'kind = "node_roll", every_s = {round(r.uniform(1.0, 12.0), 1)}, at_s = {at}',
        ]
    )


def pause(r, at):
    span = round(r.uniform(2.0, 35.0), 1)
    return f'kind = "node_freeze", count = 1, busiest = {r.choice(["true", "false"])}, for_s = {span}, at_s = {at}'


def away(r, at):
    span = round(r.uniform(1.0, 60.0), 1)
    return r.choice(
        [
            f'kind = "state_outage", for_s = {span}, at_s = {at}',
            f'kind = "node_cut", count = 1, busiest = true, from_state = true, for_s = {min(span, 20.0)}, mode = "refuse", at_s = {at}',
            f'kind = "state_slow", factor = {r.randint(5, 40)}, for_s = {span}, at_s = {at}',
        ]
    )


out.mkdir(parents=True, exist_ok=True)
for n in range(days):
    r = random.Random(f"{seed}-{n}")
    faults = []
    for begin in (90.0, 200.0):
        def moment():
            return round(begin + abs(r.gauss(0.0, 12.0)), 2)

        faults += [trouble(r, moment()) for _ in range(r.randint(2, 3))]
        faults += [f(r, moment()) for f in (end, pause, away)]
        if r.random() < 0.5:
            # A cancellation in the very moment of one of them.
            at = faults[-r.randint(1, 3)].rsplit("at_s = ", 1)[1]
            faults.append(f'kind = "cancel_now", count = {r.randint(2, 10)}, at_s = {float(at) + r.randint(-3, 30) / 100:.2f}')
    lines = "".join(f"  {{ {f} }},\n" for f in faults)
    name = f"draw-{seed}-{n}"
    text = f'name = "{name}"\nslot = "scale"\nlight = false\nseed = {9400 + seed % 100}\nfaults = [\n{lines}]\n'
    (out / f"{name}.toml").write_text(text)
    print(out / f"{name}.toml")
