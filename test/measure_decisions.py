#!/usr/bin/env python3
"""Runs the decision modules' measurements as parallel processes, one JSON line per figure.

  measure_decisions.py BUILD histories COUNT SEED   COUNT histories from SEED in slices
  measure_decisions.py BUILD load SEED...           worst and median over the seeds
"""

import json
import os
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

SLICES = 10
SUMS = [
    "histories",
    "flows",
    "broken",
    "refused",
    "broken_newest_list_only",
    "broken_with_one_earlier_list",
    "packets",
]


def run(arguments):
    """Returns the JSON lines that the program prints."""
    text = subprocess.run(arguments, stdout=subprocess.PIPE, check=True).stdout
    return [json.loads(line) for line in text.splitlines()]


def run_all(commands):
    with ThreadPoolExecutor(max_workers=min(SLICES, os.cpu_count())) as pool:
        return list(pool.map(run, commands))


def histories(build, count, seed):
    program = os.path.join(build, "measure_histories")
    slices = min(SLICES, count)
    commands = []
    for i in range(slices):
        first = count * i // slices
        size = count * (i + 1) // slices - first
        commands.append([program, str(size), str(seed + first)])
    lines = [lines[0] for lines in run_all(commands)]
    result = {"figure": "broken_flows", "seed": seed, "slices": slices}
    for name in SUMS:
        result[name] = sum(line[name] for line in lines)
    visits = sum(line["members_visited_mean"] * line["packets"] for line in lines)
    result["members_visited_mean"] = round(visits / max(result["packets"], 1), 3)
    result["members_visited_max"] = max(line["members_visited_max"] for line in lines)
    result["bound"] = 0
    result["reached"] = result["broken"] == 0
    print(json.dumps(result), flush=True)


def summarize(lines):
    """Merges one figure's lines: median and worst value of each number, sum of counts."""
    result = {"figure": lines[0]["figure"], "seeds": [line["seed"] for line in lines]}
    for name, value in lines[0].items():
        values = [line[name] for line in lines]
        if name in ("figure", "seed", "reached"):
            continue
        if isinstance(value, list):
            result[name] = [sum(column) for column in zip(*values)]
        elif isinstance(value, int):
            result[name] = sum(values)
        elif len(set(values)) == 1:
            result[name] = value
        else:
            result[name] = {
                "median": round(statistics.median(values), 3),
                "worst": min(values) if name == "bound" else max(values),
            }
    result["seeds_reached"] = sum(line["reached"] for line in lines)
    result["reached"] = result["seeds_reached"] == len(lines)
    return result


def load(build, seeds):
    program = os.path.join(build, "measure_load")
    by_seed = run_all([[program, str(seed)] for seed in seeds])
    for lines in zip(*by_seed):
        print(json.dumps(summarize(lines)), flush=True)


def main():
    build, kind, *numbers = sys.argv[1:]
    numbers = [int(number) for number in numbers]
    if kind == "histories":
        histories(build, *numbers)
    else:
        load(build, numbers)


main()
