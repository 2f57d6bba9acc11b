#!/usr/bin/env python3
"""Writes variants of a site file with several zones in which zones matter to jobs.

    bound.py SITE.toml OUT_DIR

NAME-bound.toml: half of the jobs of each class may run in one zone only. NAME-spread.toml: at most half of a service's
tasks may be in one zone.
"""
import pathlib, re, sys

site, out = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
parts = re.split(r"(?=^\[)", site.read_text(), flags=re.M)


def bound(part):
    return re.sub(r"^(estimate_error = .*)$", r"\1\npinned = 0.5", part, count=1, flags=re.M)


def spread(part):
    return part.replace("spread = false", "spread = true") if 'kind = "service"' in part else part


out.mkdir(parents=True, exist_ok=True)
for suffix, change in {"bound": bound, "spread": spread}.items():
    name = f"{site.stem}-{suffix}"
    text = "".join(change(p) if p.startswith("[[jobs]]") else p for p in parts)
    (out / f"{name}.toml").write_text(text.replace(f'name = "{site.stem}"', f'name = "{name}"', 1))
    wire = out / "wire.json"
    if not wire.exists():
        wire.write_bytes((site.parent / "wire.json").read_bytes())
    print(out / f"{name}.toml")
