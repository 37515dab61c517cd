#!/usr/bin/env python3
"""Plays days of deployments with several seeds, and prints the means and their spread.

    deploy/plays.py --bench FLEETBENCH --site FILE... [--days NAME...] [--seeds 11-16] [--jobs 4]
        [--out FILE] [--against FILE] --why TEXT

A difference between two builds is judged by pairs: plays of the same day and seed. `--out` keeps the
figures, and `--against` compares with figures that were kept. No processor time is charged, so a play
mostly repeats.
"""

import argparse
import json
import math
import re
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

REFUSED_AGAIN = "worth refused again"


def seeds(text):
    """Parses `11-16` or `11,13`."""
    first, dash, last = text.partition("-")
    return list(range(int(first), int(last) + 1)) if dash else [int(seed) for seed in text.split(",")]


def troubled_days(site):
    """Returns the names of a deployment's days with trouble."""
    days = site.read_text().split("[[day]]")[1:]
    names = [re.search(r'^name = "(.*)"', day, re.M).group(1) for day in days]
    return [name for name in names if not name.startswith("quiet")]


def figures(report):
    """Returns the figures of a report that are compared."""
    rows = {"worth": report["G"], "served": report["served"]}
    for row in report["classes"]:
        rows[row["name"]] = row["worth"] or 0.0
        rows[f"{row['name']} in time"] = row["in_aim"] / max(1, row["n"] - row["not_owed"])
        rows[f"{row['name']} refused"] = row["refused"]
    rows["worst domain"] = min(row["worth"] for row in report["zones"] if row["worth"] is not None)
    rows["prices"] = sum(price[2] for price in report["prices"])
    rows["refused again"] = sum(price[2] for price in report["prices"] if price[0] == REFUSED_AGAIN)
    return rows


def play(bench, site, day, seed, why):
    """Plays one day and returns its figures, or an empty table if the bench gave it up."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "report.json"
        arguments = [bench, "run", site, day, "--no-cpu", "--seed", str(seed), "--report", path, "--why", why]
        result = subprocess.run(arguments, capture_output=True, text=True, check=False)
        if not path.exists():
            print(result.stdout[-2_000:], result.stderr[-2_000:], file=sys.stderr)
            return {}
        report = json.loads(path.read_text())
    for broken in [*report["breaks"].items(), *([report["fault"]] if report["fault"] else [])]:
        print(f"BROKEN {site.stem} {day} seed {seed}: {broken}")
    return figures(report)


def line(name, values, before):
    """Returns a row: the mean, the spread, and the mean difference of pairs with its error."""
    text = f"{name:32}{statistics.fmean(values):9.4f} {statistics.pstdev(values):8.4f}"
    if before:
        pairs = [new - old for new, old in zip(values, before, strict=True)]
        error = statistics.stdev(pairs) / math.sqrt(len(pairs)) if len(pairs) > 1 else 0.0
        text += f"  {statistics.fmean(pairs):+8.4f} +- {error:.4f}"
    return text


def summarize(site, plays, before):
    """Prints the table of one deployment."""
    keys = [key for key, values in plays.items() if values and (not before or before.get(key))]
    print(f"\n{site}: {len(keys)} plays\n{'':32}{'mean':>9} {'spread':>8}  {'change' if before else ''}")
    for name in plays[keys[0]]:
        print(line(name, [plays[key][name] for key in keys], [before[key][name] for key in keys] if before else []))
    for day in sorted({key.split()[0] for key in keys}):
        of_day = [key for key in keys if key.split()[0] == day]
        values = [plays[key]["worth"] for key in of_day]
        print(line(f"worth of {day}", values, [before[key]["worth"] for key in of_day] if before else []))


def main():
    """Reads the command line, plays the days and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", type=Path, nargs="+", required=True)
    parser.add_argument("--days", nargs="*", help="names or files; default: the days with trouble")
    parser.add_argument("--seeds", type=seeds, default=seeds("11-16"))
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--why", required=True)
    options = parser.parse_args()
    before = json.loads(options.against.read_text()) if options.against else {}
    results = {}
    with ThreadPoolExecutor(options.jobs) as pool:
        pending = {
            (site.stem, day, seed): pool.submit(play, options.bench, site, day, seed, options.why)
            for site in options.site
            for day in options.days or troubled_days(site)
            for seed in options.seeds
        }
        for (site, day, seed), result in pending.items():
            results.setdefault(site, {})[f"{Path(day).stem} {seed}"] = result.result()
    for site, plays in results.items():
        summarize(site, plays, before.get(site, {}))
    if options.out:
        options.out.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
