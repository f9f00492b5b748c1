"""Rewrites the tables of docs/CAPACITY.md from measured slopes.

``make bench-capacity`` measures every slope of the platform's side anew, takes the
other areas' from ``bench/capacity_given.json``, and writes what each role costs
at the size of letter 1 against its bound.
"""

import math
from pathlib import Path

import msgspec

from .capacity_slopes import Slope, measure_all

PAGE = Path("docs/CAPACITY.md")
GIVEN = Path("bench/capacity_given.json")
BEGIN, END = "<!-- table {} -->", "<!-- end {} -->"

WORKERS = 1600
JOBS_A_DAY = 17_000
STARTS_PER_SECOND = 110.0
TASKS = 22_000
DOMAINS = 23
LEDGERS = 32
CHANGES_A_DAY = 1100
DAY = 86_400
CORE_MS = 11.0
BYTES_PER_SECOND = 5000.0
APPENDS_PER_SECOND = 300.0
MEMORY_MB = 128.0
RESIDENT_MB = 60.0
SNAPSHOT_SECONDS = 1800.0
CONFIRMS_PER_SECOND = 1.0
COMMITS_PER_SECOND = 5.0
READS_PER_SECOND = 2.0
STANDBYS = 2
RENEWAL_SECONDS = 10.0
RENEWAL_BYTES = 500.0
READERS = (9, 100, 1000)
TREE_DEGREE = 4
HOP_SECONDS = 0.05


class Row(msgspec.Struct, frozen=True):
    """One figure against its bound."""

    role: str
    what: str
    reckoning: str
    value: float
    unit: str
    bound: float | None = None

    def format(self) -> str:
        """Return the row of the table."""
        bound = "" if self.bound is None else f"{self.bound:g}"
        verdict = ""
        if self.bound is not None:
            verdict = "holds" if self.value <= self.bound else "**missed**"
        cells = [self.role, self.what, self.reckoning]
        cells += [f"{self.value:.3g} {self.unit}", bound, verdict]
        return "| " + " | ".join(cells) + " |"


def build_rows(s: dict[str, float]) -> list[Row]:
    """Return what each role costs, from slopes by name."""
    return [
        *build_common(s),
        *build_cells(s),
        *build_ledgers(s),
        *build_streams(s),
        *build_command(s),
    ]


def build_common(s: dict[str, float]) -> list[Row]:
    """Return what every daemon pays: membership, configuration, polling."""
    gossip = s["membership.bytes.300"]
    changes = CHANGES_A_DAY / DAY
    entry, poll = s["configuration.entry"], s["log.read.bytes"]
    exchange = 2 * s["exchange.cpu"] + s["membership.cpu.300"]
    decode = s["configuration.decode.cpu"] * changes
    base = gossip + poll + entry * changes
    return [
        Row(
            "every daemon",
            "membership",
            "300 processes, 1 exchange/s each way",
            gossip,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "every daemon",
            "configuration polled",
            f"{poll:.0f} B x 1/s + {entry:.0f} B x {CHANGES_A_DAY}/day",
            poll + entry * changes,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "every daemon",
            "bytes in all",
            "membership + configuration",
            base,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "every daemon",
            "processor",
            f"{s['exchange.cpu']:.2f} ms x 2/s + {s['membership.cpu.300']:.2f} ms/s "
            f"+ {s['log.read.cpu']:.2f} ms x 1/s + {decode:.2f} ms/s",
            exchange + s["log.read.cpu"] + decode,
            "ms/s",
            CORE_MS,
        ),
        Row(
            "every daemon",
            "memory of the configuration",
            "one at the size of letter 1",
            s["configuration.memory"] / 1e6,
            "MB",
            8.0,
        ),
    ]


def build_cells(s: dict[str, float]) -> list[Row]:
    """Return what the owner of one cell pays on top."""
    workers, tasks = WORKERS / DOMAINS, TASKS / DOMAINS
    starts = STARTS_PER_SECOND / DOMAINS
    renewals = workers / RENEWAL_SECONDS
    job = s["job.log.bytes"] / 2
    snapshot = tasks * s["snapshot.task.bytes"] / SNAPSHOT_SECONDS
    stream = starts * job * 2 + snapshot
    renewed = renewals * RENEWAL_BYTES
    cpu = renewals * s["renewal.cpu"] + starts * s["job.cpu"] / 2
    rows = [
        Row(
            "cell",
            "state",
            f"{tasks:.0f} tasks x {s['cell.task.memory']:.0f} B + "
            f"{workers:.0f} workers x {s['cell.worker.memory']:.0f} B",
            (tasks * s["cell.task.memory"] + workers * s["cell.worker.memory"]) / 1e6,
            "MB",
            MEMORY_MB,
        ),
        Row(
            "cell",
            "its stream, even load",
            f"{starts:.1f} starts/s x {job:.0f} B x (append + read back) + snapshots",
            stream,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "cell",
            "renewals each 10 s",
            f"{renewals:.1f}/s x {RENEWAL_BYTES:.0f} B (assumed size)",
            renewed,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "cell",
            "stream + renewals",
            "sum of the two",
            stream + renewed,
            "B/s",
            BYTES_PER_SECOND - s["membership.bytes.300"],
        ),
        Row(
            "cell",
            "renewals as built, each 3 s",
            f"{workers / 3:.1f}/s x {RENEWAL_BYTES:.0f} B",
            workers / 3 * RENEWAL_BYTES,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "cell",
            "processor, even load",
            f"{renewals:.1f}/s x {s['renewal.cpu']:.3f} ms + {starts:.1f}/s x "
            f"{s['job.cpu'] / 2:.2f} ms",
            cpu,
            "ms/s",
            CORE_MS,
        ),
        Row(
            "cell",
            "all starts in one cell",
            f"{STARTS_PER_SECOND:.0f} starts/s x {job:.0f} B x 2",
            STARTS_PER_SECOND * job * 2,
            "B/s",
            BYTES_PER_SECOND,
        ),
    ]
    return rows


def build_ledgers(s: dict[str, float]) -> list[Row]:
    """Return what the owner of one ledger partition pays on top."""
    starts = STARTS_PER_SECOND / LEDGERS
    job = s["job.log.bytes"] / 2
    return [
        Row(
            "ledger",
            "its stream",
            f"{starts:.1f} starts/s x {job:.0f} B x (append + read back)",
            starts * job * 2,
            "B/s",
            BYTES_PER_SECOND,
        ),
        Row(
            "ledger",
            "processor",
            f"{starts:.1f}/s x {s['job.cpu'] / 2:.2f} ms",
            starts * s["job.cpu"] / 2,
            "ms/s",
            CORE_MS,
        ),
        Row(
            "ledger",
            "state",
            f"{JOBS_A_DAY}/day, kept 1 day, x 1 kB (assumed)",
            JOBS_A_DAY / LEDGERS * 1e3 / 1e6,
            "MB",
            MEMORY_MB,
        ),
    ]


def build_streams(s: dict[str, float]) -> list[Row]:
    """Return what the platform's log carries for the whole site."""
    streams = DOMAINS + LEDGERS
    idle = streams * CONFIRMS_PER_SECOND
    starts = STARTS_PER_SECOND
    busy = streams * COMMITS_PER_SECOND * (1 - math.exp(-1.0))
    instances = count_instances()
    polls = 2 * instances
    reads = streams * READS_PER_SECOND * (1 + STANDBYS) + polls
    return [
        Row(
            "log",
            "appends, idle",
            f"{streams} streams x {CONFIRMS_PER_SECOND:g}/s",
            idle,
            "/s",
            APPENDS_PER_SECOND,
        ),
        Row(
            "log",
            "appends, peak",
            f"{streams} streams x {COMMITS_PER_SECOND:g} "
            "commits/s, 63% of them used (assumed)",
            busy,
            "/s",
            APPENDS_PER_SECOND,
        ),
        Row(
            "log",
            "appends without group commit (not built so)",
            f"{starts:g} starts/s x 5 records",
            starts * 5,
            "/s",
            APPENDS_PER_SECOND,
        ),
        Row(
            "log",
            "reads",
            f"{streams} x {READS_PER_SECOND:g}/s x "
            f"{1 + STANDBYS} readers + {polls} polls/s",
            reads,
            "/s",
        ),
        Row(
            "log",
            "snapshots",
            f"{TASKS} tasks x {s['snapshot.task.bytes']:.0f} B / "
            f"{SNAPSHOT_SECONDS:.0f} s",
            TASKS * s["snapshot.task.bytes"] / SNAPSHOT_SECONDS,
            "B/s",
        ),
    ]


def build_command(s: dict[str, float]) -> list[Row]:
    """Return what the operators' command costs."""
    return [
        Row(
            "command",
            "apply",
            "two parses of the text (pure Python)",
            2 * s["configuration.parse.cpu"] / 1e3,
            "s",
            6.0,
        ),
        Row(
            "command",
            "worst time until in force",
            "commit 0.2 s + poll 1 s + call 2 s (its timeout) + decode",
            3.2 + s["configuration.decode.cpu"] / 1e3,
            "s",
            6.0,
        ),
    ]


def count_instances() -> int:
    """Return the instances that cells and ledgers need at one cell each."""
    return DOMAINS + math.ceil(LEDGERS / 2)


def build_dissemination(s: dict[str, float]) -> list[str]:
    """Return the comparison of direct tailing with a dissemination tree."""
    lines = [
        "| readers | way | log reads/s | bytes a daemon (B/s) | most loaded (B/s) "
        "| worst time until in force (s) |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    entry, poll = s["configuration.entry"], s["log.read.bytes"]
    change = entry * CHANGES_A_DAY / DAY
    keep = s["membership.bytes.16"] / 6
    for readers in READERS:
        depth = math.ceil(math.log(readers, TREE_DEGREE))
        direct = poll + change
        tree = change + keep
        busiest = poll + change * (1 + TREE_DEGREE) + keep * (1 + TREE_DEGREE)
        lines.append(
            f"| {readers} | direct | {readers} | {direct:.0f} | {direct:.0f} | 1.2 |"
        )
        lines.append(
            f"| {readers} | tree | 1 | {tree:.0f} | {busiest:.0f} "
            f"| {1.2 + depth * HOP_SECONDS:.2f}; +3 for each hop that died |"
        )
    return lines


def replace_table(text: str, name: str, lines: list[str]) -> str:
    """Return the page with one marked table replaced."""
    begin, end = BEGIN.format(name), END.format(name)
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    body = "\n".join(lines)
    return f"{head}{begin}\n{body}\n{end}{tail}"


def main() -> None:
    """Measure and rewrite the page."""
    measured = measure_all()
    given = msgspec.json.decode(GIVEN.read_bytes(), type=list[Slope])
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
    text = PAGE.read_text(encoding="utf-8")
    text = replace_table(text, "roles", table)
    text = replace_table(text, "slopes", listed)
    text = replace_table(text, "dissemination", build_dissemination(slopes))
    PAGE.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
