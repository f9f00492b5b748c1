"""Rewrites the tables of docs/CAPACITY.md from measured slopes.

A slope is the cost of one unit of load, such as the bytes per record. ``make
bench-capacity`` measures the slopes of ``bench/capacity_slopes.py`` again, reads those
of cells and jobs from ``bench/capacity_given.json``, and writes what each role costs
at the required site size beside its upper bound.
"""

import math
from pathlib import Path

import msgspec

from .capacity_slopes import Slope, measure_all

PAGE_PATH = Path("docs/CAPACITY.md")
GIVEN_SLOPES_PATH = Path("bench/capacity_given.json")
TABLE_BEGIN, TABLE_END = "<!-- table {} -->", "<!-- end {} -->"

WORKERS = 1600
JOBS_PER_DAY = 17_000
STARTS_PER_SECOND = 110.0
TASKS = 22_000
DOMAINS = 23
LEDGERS = 32
CHANGES_PER_DAY = 1100
DAY_SECONDS = 86_400
CPU_MS_PER_SECOND_MAX = 11.0
BYTES_PER_SECOND_MAX = 5000.0
APPENDS_PER_SECOND_MAX = 300.0
MEMORY_MB_MAX = 128.0
SNAPSHOT_INTERVAL_SECONDS = 1800.0
CONFIRMATIONS_PER_SECOND = 1.0
COMMITS_PER_SECOND = 5.0
READS_PER_SECOND = 2.0
STANDBYS = 2
RENEWAL_INTERVAL_SECONDS = 10.0
RENEWAL_BYTES = 500.0
READER_COUNTS = (9, 100, 1000)
TREE_DEGREE = 4
HOP_SECONDS = 0.05


class CapacityRow(msgspec.Struct, frozen=True):
    """A table row: one figure, the formula behind it and its upper bound, if any."""

    role: str
    quantity: str
    formula: str
    value: float
    unit: str
    bound: float | None = None

    def format(self) -> str:
        """Format as a row of a Markdown table."""
        bound = "" if self.bound is None else f"{self.bound:g}"
        result = ""
        if self.bound is not None:
            result = "holds" if self.value <= self.bound else "**missed**"
        cells = [self.role, self.quantity, self.formula]
        cells += [f"{self.value:.3g} {self.unit}", bound, result]
        return "| " + " | ".join(cells) + " |"


def build_rows(slopes: dict[str, float]) -> list[CapacityRow]:
    """Compute the costs of all roles from the slopes' values by name."""
    return [
        *build_common(slopes),
        *build_cells(slopes),
        *build_ledgers(slopes),
        *build_streams(slopes),
        *build_command(slopes),
    ]


def build_common(slopes: dict[str, float]) -> list[CapacityRow]:
    """Compute what every daemon spends on membership, configuration and polling."""
    gossip = slopes["membership.bytes.300"]
    changes = CHANGES_PER_DAY / DAY_SECONDS
    entry, poll = slopes["configuration.entry"], slopes["log.read.bytes"]
    exchange = 2 * slopes["exchange.cpu"] + slopes["membership.cpu.300"]
    decode = slopes["configuration.decode.cpu"] * changes
    base = gossip + poll + entry * changes
    return [
        CapacityRow(
            "every daemon",
            "membership",
            "300 processes, 1 exchange/s each way",
            gossip,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "every daemon",
            "configuration polled",
            f"{poll:.0f} B x 1/s + {entry:.0f} B x {CHANGES_PER_DAY}/day",
            poll + entry * changes,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "every daemon",
            "bytes in all",
            "membership + configuration",
            base,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "every daemon",
            "processor",
            f"{slopes['exchange.cpu']:.2f} ms x 2/s + "
            f"{slopes['membership.cpu.300']:.2f} ms/s + "
            f"{slopes['log.read.cpu']:.2f} ms x 1/s + {decode:.2f} ms/s",
            exchange + slopes["log.read.cpu"] + decode,
            "ms/s",
            CPU_MS_PER_SECOND_MAX,
        ),
        CapacityRow(
            "every daemon",
            "memory without load",
            f"{slopes['daemon.imports.memory']:.0f} MB of imports (the bench's too) + "
            f"{slopes['configuration.memory'] / 1e6:.2f} MB of configuration",
            slopes["daemon.imports.memory"] + slopes["configuration.memory"] / 1e6,
            "MB",
            MEMORY_MB_MAX,
        ),
    ]


def build_cells(slopes: dict[str, float]) -> list[CapacityRow]:
    """Compute the additional cost of owning one cell."""
    workers, tasks = WORKERS / DOMAINS, TASKS / DOMAINS
    starts = STARTS_PER_SECOND / DOMAINS
    renewals = workers / RENEWAL_INTERVAL_SECONDS
    job = slopes["job.log.bytes"] / 2
    snapshot = tasks * slopes["snapshot.task.bytes"] / SNAPSHOT_INTERVAL_SECONDS
    stream = starts * job * 2 + snapshot
    renewed = renewals * RENEWAL_BYTES
    cpu = renewals * slopes["renewal.cpu"] + starts * slopes["job.cpu"] / 2
    rows = [
        CapacityRow(
            "cell",
            "state",
            f"{tasks:.0f} tasks x {slopes['cell.task.memory']:.0f} B + "
            f"{workers:.0f} workers x {slopes['cell.worker.memory']:.0f} B",
            (
                tasks * slopes["cell.task.memory"]
                + workers * slopes["cell.worker.memory"]
            )
            / 1e6,
            "MB",
            MEMORY_MB_MAX,
        ),
        CapacityRow(
            "cell",
            "its stream, even load",
            f"{starts:.1f} starts/s x {job:.0f} B x (append + read back) + snapshots",
            stream,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "cell",
            "renewals each 10 s",
            f"{renewals:.1f}/s x {RENEWAL_BYTES:.0f} B (assumed size)",
            renewed,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "cell",
            "stream + renewals",
            "sum of the two",
            stream + renewed,
            "B/s",
            BYTES_PER_SECOND_MAX - slopes["membership.bytes.300"],
        ),
        CapacityRow(
            "cell",
            "renewals as built, each 3 s",
            f"{workers / 3:.1f}/s x {RENEWAL_BYTES:.0f} B",
            workers / 3 * RENEWAL_BYTES,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "cell",
            "processor, even load",
            f"{renewals:.1f}/s x {slopes['renewal.cpu']:.3f} ms + {starts:.1f}/s x "
            f"{slopes['job.cpu'] / 2:.2f} ms",
            cpu,
            "ms/s",
            CPU_MS_PER_SECOND_MAX,
        ),
        CapacityRow(
            "cell",
            "all starts in one cell",
            f"{STARTS_PER_SECOND:.0f} starts/s x {job:.0f} B x 2",
            STARTS_PER_SECOND * job * 2,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
    ]
    return rows


def build_ledgers(slopes: dict[str, float]) -> list[CapacityRow]:
    """Compute the additional cost of owning one ledger partition."""
    starts = STARTS_PER_SECOND / LEDGERS
    job = slopes["job.log.bytes"] / 2
    return [
        CapacityRow(
            "ledger",
            "its stream",
            f"{starts:.1f} starts/s x {job:.0f} B x (append + read back)",
            starts * job * 2,
            "B/s",
            BYTES_PER_SECOND_MAX,
        ),
        CapacityRow(
            "ledger",
            "processor",
            f"{starts:.1f}/s x {slopes['job.cpu'] / 2:.2f} ms",
            starts * slopes["job.cpu"] / 2,
            "ms/s",
            CPU_MS_PER_SECOND_MAX,
        ),
        CapacityRow(
            "ledger",
            "state",
            f"{JOBS_PER_DAY}/day, kept 1 day, x 1 kB (assumed)",
            JOBS_PER_DAY / LEDGERS * 1e3 / 1e6,
            "MB",
            MEMORY_MB_MAX,
        ),
    ]


def build_streams(slopes: dict[str, float]) -> list[CapacityRow]:
    """Compute the load of the whole site on the platform's log."""
    streams = DOMAINS + LEDGERS
    idle = streams * CONFIRMATIONS_PER_SECOND
    starts = STARTS_PER_SECOND
    busy = streams * COMMITS_PER_SECOND * (1 - math.exp(-1.0))
    instances = count_instances()
    polls = 2 * instances
    reads = streams * READS_PER_SECOND * (1 + STANDBYS) + polls
    return [
        CapacityRow(
            "log",
            "appends, idle",
            f"{streams} streams x {CONFIRMATIONS_PER_SECOND:g}/s",
            idle,
            "/s",
            APPENDS_PER_SECOND_MAX,
        ),
        CapacityRow(
            "log",
            "appends, peak",
            f"{streams} streams x {COMMITS_PER_SECOND:g} "
            "commits/s, 63% of them used (assumed)",
            busy,
            "/s",
            APPENDS_PER_SECOND_MAX,
        ),
        CapacityRow(
            "log",
            "appends without group commit (not built so)",
            f"{starts:g} starts/s x 5 records",
            starts * 5,
            "/s",
            APPENDS_PER_SECOND_MAX,
        ),
        CapacityRow(
            "log",
            "reads",
            f"{streams} x {READS_PER_SECOND:g}/s x "
            f"{1 + STANDBYS} readers + {polls} polls/s",
            reads,
            "/s",
        ),
        CapacityRow(
            "log",
            "snapshots",
            f"{TASKS} tasks x {slopes['snapshot.task.bytes']:.0f} B / "
            f"{SNAPSHOT_INTERVAL_SECONDS:.0f} s",
            TASKS * slopes["snapshot.task.bytes"] / SNAPSHOT_INTERVAL_SECONDS,
            "B/s",
        ),
    ]


def build_command(slopes: dict[str, float]) -> list[CapacityRow]:
    """Compute the duration of the operators' ``apply`` command."""
    return [
        CapacityRow(
            "command",
            "apply",
            "two parses of the text (pure Python)",
            2 * slopes["configuration.parse.cpu"] / 1e3,
            "s",
            6.0,
        ),
        CapacityRow(
            "command",
            "worst time until in force",
            "commit 0.2 s + poll 1 s + call 2 s (its timeout) + decode",
            3.2 + slopes["configuration.decode.cpu"] / 1e3,
            "s",
            6.0,
        ),
    ]


def count_instances() -> int:
    """Count the instances needed if each owns one cell or two ledger partitions."""
    return DOMAINS + math.ceil(LEDGERS / 2)


def build_dissemination(slopes: dict[str, float]) -> list[str]:
    """Compare tailing the log directly with a dissemination tree, as table lines."""
    lines = [
        "| readers | way | log reads/s | bytes a daemon (B/s) | most loaded (B/s) "
        "| worst time until in force (s) |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    entry, poll = slopes["configuration.entry"], slopes["log.read.bytes"]
    change = entry * CHANGES_PER_DAY / DAY_SECONDS
    keepalive = slopes["membership.bytes.16"] / 6
    for readers in READER_COUNTS:
        depth = math.ceil(math.log(readers, TREE_DEGREE))
        direct = poll + change
        tree = change + keepalive
        busiest = poll + change * (1 + TREE_DEGREE) + keepalive * (1 + TREE_DEGREE)
        lines.append(
            f"| {readers} | direct | {readers} | {direct:.0f} | {direct:.0f} | 1.2 |"
        )
        lines.append(
            f"| {readers} | tree | 1 | {tree:.0f} | {busiest:.0f} "
            f"| {1.2 + depth * HOP_SECONDS:.2f}; +3 for each hop that died |"
        )
    return lines


def replace_table(text: str, name: str, lines: list[str]) -> str:
    """Return the page with the lines between one table's markers replaced."""
    begin, end = TABLE_BEGIN.format(name), TABLE_END.format(name)
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    body = "\n".join(lines)
    return f"{head}{begin}\n{body}\n{end}{tail}"


def main() -> None:
    """Measure all slopes and rewrite the tables of the page."""
    measured = measure_all()
    given = msgspec.json.decode(GIVEN_SLOPES_PATH.read_bytes(), type=list[Slope])
    slopes = {slope.name: slope.value for slope in [*measured, *given]}
    table = [
        "| role | what | measured slope x count | figure | bound | |",
        "| --- | --- | --- | --- | --- | --- |",
        *(row.format() for row in build_rows(slopes)),
    ]
    listed = [
        "| slope | value |",
        "| --- | --- |",
        *(f"| {s.name} | {s.value:.4g} {s.unit} |" for s in [*measured, *given]),
    ]
    text = PAGE_PATH.read_text(encoding="utf-8")
    text = replace_table(text, "roles", table)
    text = replace_table(text, "slopes", listed)
    text = replace_table(text, "dissemination", build_dissemination(slopes))
    PAGE_PATH.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
