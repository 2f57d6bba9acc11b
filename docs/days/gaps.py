#!/usr/bin/env python3
"""Writes days on which the state service refuses one controller and then everybody.

    gaps.py SITE.toml OUT_DIR

The outage lasts 1.2 times the site's `cancel_s`, or twice as long. gap-2 to gap-45: the busiest one refused
alone for so many seconds before; gap-owner: another than the busiest; gap-ends, gap-back: others end in the
outage (`restart_delay_s` of the site says whether they are back in it); gap-peers: controllers refuse each
other; gap-one: the service is back for one controller only.
"""
import pathlib, re, sys

site, out = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
cancel = float(re.search(r"^cancel_s = ([0-9.]+)", site.read_text(), re.M)[1])
BEGIN = 150.0


def refused(at, span, count=1, busiest="true"):
    return f'kind = "node_cut", count = {count}, busiest = {busiest}, from_state = true, for_s = {span}, mode = "refuse", at_s = {at}'


def outage(at, times):
    return f'kind = "state_outage", for_s = {cancel * times:.1f}, at_s = {at}'


days = {}
for gap in (2.25, 5.0, 20.0, 45.0):
    days[f"gap-{int(gap)}"] = [refused(BEGIN, gap), outage(BEGIN + gap, 1.2)]
days["gap-twice"] = [refused(BEGIN, 2.25), outage(BEGIN + 2.25, 2.0)]
days["gap-owner"] = [refused(BEGIN, 2.25, busiest="false"), outage(BEGIN + 2.25, 1.2)]
days["gap-ends"] = [refused(BEGIN, 2.25), outage(BEGIN + 2.25, 1.2), 'kind = "node_crash", count = 1, busiest = false, at_s = 160.0']
days["gap-all-end"] = [refused(BEGIN, 2.25), outage(BEGIN + 2.25, 1.2), 'kind = "node_crash", count = 2, busiest = false, at_s = 153.0']
days["gap-peers"] = [refused(BEGIN, 2.25), outage(BEGIN + 2.25, 1.2), f'kind = "peers_refuse", for_s = 40.0, at_s = {BEGIN}']
days["gap-one"] = [
    refused(BEGIN, 2.25),
    outage(BEGIN + 2.25, 1.2),
    refused(BEGIN + cancel, cancel, count=2),
]
out.mkdir(parents=True, exist_ok=True)
for name, faults in days.items():
    lines = "".join(f"  {{ {f} }},\n" for f in faults)
    text = f'name = "{name}"\nslot = "scale"\nlight = false\nseed = 9100\nfaults = [\n{lines}]\n'
    (out / f"{name}.toml").write_text(text)
    print(out / f"{name}.toml")
