#!/usr/bin/env python3
"""Compares the estimated with the actual time to the first event of requests to model engines.

Reads the log lines of one or several nodes from files or standard input. Only requests that needed
one attempt are counted. Prints the number of requests and percentiles in ms for ranges of the
estimate, of what it was computed from, and for the targets with the largest errors.
"""

import json
import sys
from collections import defaultdict

RANGES = {
    "expectedMs": [0, 10, 25, 50, 100, 150, 200, 300, 500],
    "readTokens": [0, 500, 1000, 2000, 4000, 8000, 16000, 32000],
    "aheadTokens": [0, 1, 1000, 3000, 10000, 20000, 40000],
    "running": [0, 5, 10, 20, 40, 80],
}
MAX_TARGETS = 10


def requests(stream):
    """Yields the fields of each request with an estimate."""
    for line in stream:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except json.JSONDecodeError:
            continue  # Cut off by the end of the log.
        if "expectedMs" in fields and fields["attempts"] == 1:
            yield fields


def percentile(values, percent):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def print_row(label, group):
    first = [fields["firstMs"] for fields in group]
    error = [fields["firstMs"] - fields["expectedMs"] for fields in group]
    print(f"{label:>16} {len(group):8d}"
          f" {percentile(first, 50):8.0f} {percentile(first, 95):8.0f}"
          f" {percentile(error, 50):8.0f} {percentile(error, 95):8.0f}")


def print_header(title):
    print(f"{title:>16} {'requests':>8} {'p50':>8} {'p95':>8} {'err p50':>8} {'err p95':>8}")


def main():
    files = sys.argv[1:]
    streams = [open(name, errors="replace") for name in files] if files else [sys.stdin]
    ended = [fields for stream in streams for fields in requests(stream)]
    if not ended:
        sys.exit("no request with an estimate")
    for name, bounds in RANGES.items():
        print_header(name)
        for low, high in zip(bounds, bounds[1:] + [float("inf")]):
            group = [fields for fields in ended if low <= fields[name] < high]
            if group:
                print_row(f"from {low}", group)
    by_target = defaultdict(list)
    for fields in ended:
        by_target[fields["target"]].append(fields)
    print_header("target")
    worst = sorted(by_target, reverse=True, key=lambda target: percentile(
        [fields["firstMs"] - fields["expectedMs"] for fields in by_target[target]], 95))
    for target in worst[:MAX_TARGETS]:
        print_row(target, by_target[target])
    print_header("all")
    print_row("", ended)


if __name__ == "__main__":
    main()
