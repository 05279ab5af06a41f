#!/usr/bin/env python3
"""Prints the windows in which a workspace was served least, from the WorkspaceTally lines (event 5010) of a fleet's log.

Usage: fair_margin.py LOG... [--window SECONDS]

Reads lines of the form `SECONDS NODE JSON`. For each window, and each workspace that had requests refused or late in every
second of it, prints what began as a fraction of what the workspace requested or what the best served workspace got,
whichever is less, second by second.
"""
import argparse
import json
import re
from collections import Counter, defaultdict

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
MAX_ROWS = 6


class Second:
    """What all nodes reported of one second, by workspace."""

    def __init__(self):
        self.requested, self.begun, self.waiting = Counter(), Counter(), Counter()
        self.reasons = defaultdict(Counter)
        self.nodes = defaultdict(set)

    def add(self, node, workspace, tally):
        refused, turned_away = sum(tally["refused"].values()), tally["turnedAway"]
        read = tally["requests"]
        # Requests that were turned away before they were read are taken to be as large as the others.
        tokens = tally["askedTokens"] * (read + turned_away) / read if read else 0
        self.requested[workspace] += tokens
        self.begun[workspace] += tally["begunTokens"]
        self.waiting[workspace] += refused + turned_away + tally["late"]
        self.reasons[workspace].update(tally["refused"])
        self.reasons[workspace]["turned away"] += turned_away
        self.nodes[workspace].add(node)


def read_seconds(path):
    seconds = defaultdict(Second)
    with open(path, errors="replace") as log:
        for line in log:
            match = LINE.match(line) if '"WorkspaceTally"' in line else None
            if not match:
                continue
            for workspace, tally in json.loads(match[3]).get("workspaces", {}).items():
                if workspace:
                    seconds[int(float(match[1]))].add(match[2], workspace, tally)
    return seconds


def windows(seconds, length):
    """Yields (fraction, end, workspace, entitled, begun, best) of each waiting workspace."""
    for end in range(min(seconds, default=0) + length, max(seconds, default=0) + 2):
        span = [seconds[second] for second in range(end - length, end)]
        begun = sum((each.begun for each in span), Counter())
        if not begun:
            continue
        best = max(begun, key=begun.get)
        for workspace in set().union(*(each.requested for each in span)) - {best}:
            if not all(each.waiting[workspace] for each in span):
                continue
            entitled = sum(min(each.requested[workspace], each.begun[best]) for each in span)
            if entitled:
                yield begun[workspace] / entitled, end, workspace, entitled, begun[workspace], best


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--window", type=int, default=6, metavar="SECONDS")
    args = parser.parse_args()
    for path in args.logs:
        seconds = read_seconds(path)
        lowest = {}
        rows = sorted(windows(seconds, args.window))
        for row in rows:
            lowest.setdefault(row[2], row)
        print(f"{path}: {sum(row[0] < 0.5 for row in rows)} windows under a half")
        for fraction, end, workspace, entitled, begun, best in list(lowest.values())[:MAX_ROWS]:
            span = [seconds[second] for second in range(end - args.window, end)]
            reasons = sum((each.reasons[workspace] for each in span), Counter())
            nodes = set().union(*(each.nodes[workspace] for each in span))
            told = ", ".join(f"{name} {count}" for name, count in reasons.most_common() if count)
            print(f"  {fraction:.2f} to {end} s {workspace}: {begun / 1e6:.2f} of {entitled / 1e6:.2f} M tokens at {len(nodes)} "
                  f"nodes, best {best}; {told}")


if __name__ == "__main__":
    main()
