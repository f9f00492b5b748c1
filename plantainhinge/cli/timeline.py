"""The ``timeline`` command: events of all processes in order of time."""

import argparse

import msgspec

from ..adapters.peers_grpc import QUERY_EVENTS
from ..core.errors import BadInputError
from ..core.events import Event
from ..core.messages import QueryEvents
from ..core.settings import Settings
from .arguments import add_settings, read_settings
from .log_lines import LogLine, read_lines, select_lines
from .output import format_time
from .processes import query_processes
from .registry import command

RELATED_MAX = 20
NAME_WIDTH = 22
PROCESS_WIDTH = 20


class Timeline(msgspec.Struct, frozen=True):
    """Events of all processes, ordered by their stamps.

    Parameters
    ----------
    silent : list of str
        Processes that did not respond, so that their events are missing.
    """

    subject: str
    events: list[Event]
    silent: list[str]

    def format_text(self) -> str:
        """Return one line per event."""
        lines = [format_event(event) for event in self.events]
        lines.extend(
            f"no answer from {name}: its events are missing" for name in self.silent
        )
        return "\n".join(lines) or f"no event about {self.subject or 'anything'}"


class LoggedTimeline(msgspec.Struct, frozen=True):
    """Log lines that explain a subject, in order of time."""

    subject: str
    lines: list[LogLine]

    def format_text(self) -> str:
        """Return one line per log line."""
        lines = [format_line(line, self.subject) for line in self.lines]
        return "\n".join(lines) or f"no line about {self.subject}"


def collect_events(settings: Settings, subject: str) -> Timeline:
    """Query the events of a subject and of requests with it as idempotency key."""
    first = _query(settings, [subject])
    related = find_related(first.events, subject)
    if not related:
        return first
    more = _query(settings, related)
    return Timeline(subject, merge_events([*first.events, *more.events]), first.silent)


def find_related(events: list[Event], subject: str) -> list[str]:
    """Return up to ``RELATED_MAX`` requests whose idempotency key is the subject."""
    requests = dict.fromkeys(
        event.subject
        for event in events
        if subject and event.detail.get("key") == subject and event.subject != subject
    )
    return list(requests)[:RELATED_MAX]


def merge_events(events: list[Event]) -> list[Event]:
    """Return events in the order of their stamps, without duplicates."""
    return sorted({e.stamp: e for e in events}.values(), key=lambda e: e.stamp)


def format_event(event: Event) -> str:
    """Format an event as one line of text."""
    detail = " ".join(f"{key}={value}" for key, value in event.detail.items() if value)
    process = event.stamp.process.rpartition("/")[0] or event.stamp.process
    return (
        f"{format_time(event.stamp.wall)} {process:<{PROCESS_WIDTH}} "
        f"{event.name:<{NAME_WIDTH}} {event.subject} {detail}"
    ).rstrip()


def format_line(line: LogLine, subject: str) -> str:
    """Format a log line as text, without the fields that repeat the subject."""
    detail = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if value not in ("", subject) and name != "domain"
    )
    at = line.at.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
    name = f"{line.message:<{NAME_WIDTH}}"
    return f"{at} {line.instance:<{PROCESS_WIDTH}} {name} {detail}".rstrip()


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _query(settings: Settings, subjects: list[str]) -> Timeline:
    requests = [QueryEvents(subject=subject) for subject in subjects]
    replies = query_processes(settings, QUERY_EVENTS, requests)
    events = [event for r in replies if r.response for event in r.response.events]
    unreachable = sorted(
        {f"{r.endpoint.instance}/{r.endpoint.role.value}" for r in replies if r.error}
    )
    return Timeline(subjects[0], merge_events(events), unreachable)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "subject",
        nargs="?",
        default="",
        help="a request, job, idempotency key, task, worker, failure domain or stream",
    )
    parser.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="read events from log files of entry instances (- for standard input)",
    )
    add_settings(parser, required=False)


@command(
    "timeline",
    summary="show the events of all processes in order of time",
    example="plantainhinge timeline audit-1 --settings /etc/plantainhinge.jsonc",
    arguments=_add_arguments,
)
def show_timeline(options: argparse.Namespace) -> Timeline | LoggedTimeline:
    """Query the events of every process, or read them from logs."""
    if options.logs:
        if not options.subject:
            raise BadInputError("a subject is needed with --logs", step="timeline")
        lines = select_lines(read_lines(options.logs), options.subject)
        return LoggedTimeline(options.subject, lines)
    if options.settings is None:
        raise BadInputError("one of --settings and --logs is needed", step="timeline")
    return collect_events(read_settings(options), options.subject)
