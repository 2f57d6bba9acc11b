#!/usr/bin/env python3
"""Writes a variant of a site file in which no task ends within the day and many jobs are cancelled.

    long.py SITE.toml OUT_DIR [CANCELLED]

NAME-long.toml: arrays and gangs run for longer than a day lasts, services as before (each ends by a
cancellation of its user), and of the jobs of every other class the share CANCELLED (0.5) is cancelled.
Copies of what the bench wants near it are laid beside.
"""
import pathlib, re, shutil, sys

site, out = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
share = float(sys.argv[3]) if len(sys.argv) > 3 else 0.5
LONG = "run_s = { median = 900.0, p95 = 1000.0, max = 1200.0 }"


def long(part):
    if not part.startswith("[[jobs]]") or 'kind = "service"' in part:
        return part
    part = re.sub(r"^run_s = .*$", LONG, part, flags=re.M)
    part = re.sub(r"^cancelled = .*\n", "", part, flags=re.M)
    return re.sub(r"^(estimate_error = .*)$", rf"\1\ncancelled = {share}", part, count=1, flags=re.M)


parts = re.split(r"(?=^\[)", site.read_text(), flags=re.M)
name = f"{site.stem}-long"
text = "".join(long(p) for p in parts).replace(f'name = "{site.stem}"', f'name = "{name}"', 1)
out.mkdir(parents=True, exist_ok=True)
(out / f"{name}.toml").write_text(text)
shutil.copy(site.parent / "wire.json", out / "wire.json")
print(out / f"{name}.toml")
