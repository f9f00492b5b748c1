"""Diffs of two configurations, and edits of their text that keep comments."""

import re
from collections.abc import Iterator

import msgspec

from .configuration import Configuration
from .documents import parse_configuration
from .errors import BadInputError
from .ids import DomainId
from .states import DomainState

STEP = "configuration.edit"
MISSING = object()


class Difference(msgspec.Struct, frozen=True):
    """One changed value; None stands for a value that is absent."""

    path: str
    before: object
    after: object

    def __str__(self) -> str:
        return (
            f"{self.path}: {_format_value(self.before)} -> {_format_value(self.after)}"
        )


def find_differences(
    before: Configuration | None, after: Configuration
) -> list[Difference]:
    """Return the values that differ, sorted by path.

    Without a ``before``, every value of ``after`` counts as changed.
    """
    old = dict(_flatten(msgspec.to_builtins(before), "")) if before else {}
    new = dict(_flatten(msgspec.to_builtins(after), ""))
    return [
        Difference(path, old.get(path), new.get(path))
        for path in sorted({*old, *new})
        if old.get(path, MISSING) != new.get(path, MISSING)
    ]


def edit_domain_state(text: str, domain: DomainId, state: DomainState) -> str:
    """Return the document with the state of one domain changed and its comments kept.

    Each candidate edit is parsed again and taken only if the result differs from the
    original in this state alone.

    Raises
    ------
    BadInputError
        If the domain is unknown, or no candidate edit changes its state and
        nothing else.
    """
    before = parse_configuration(text)
    if domain not in before.domains:
        raise BadInputError(
            f"domain {domain!r} is unknown; valid: {sorted(before.domains)}",
            step=STEP,
        )
    if before.domains[domain].state is state:
        return text
    changed = msgspec.structs.replace(before.domains[domain], state=state)
    expected = msgspec.structs.replace(
        before, domains={**before.domains, domain: changed}
    )
    for candidate in _generate_edits(text, domain, state):
        if _parses_to(candidate, expected):
            return candidate
    raise BadInputError(
        f"domains.{domain}: write the state by hand, as in "
        f'"{domain}": {{ "region": "...", "state": "{state.value}" }}',
        step=STEP,
    )


def _generate_edits(text: str, domain: DomainId, state: DomainState) -> Iterator[str]:
    """Yield the text with the state set at each place that may define the domain."""
    pattern = rf"""(["']?){re.escape(domain)}\1\s*:\s*\{{"""
    for match in re.finditer(pattern, text):
        start = match.end()
        stop = text.find("}", start)
        body, count = re.subn(
            r"""((["']?)state\2\s*:\s*)(["'])\w+\3""",
            rf"\g<1>\g<3>{state.value}\g<3>",
            text[start:stop],
            count=1,
        )
        if not count:
            body = f' "state": "{state.value}",{text[start:stop]}'
        yield text[:start] + body + text[stop:]


def _parses_to(text: str, expected: Configuration) -> bool:
    try:
        return parse_configuration(text) == expected
    except BadInputError:
        return False


def _flatten(value: object, path: str) -> Iterator[tuple[str, object]]:
    if not isinstance(value, dict):
        yield path, value
        return
    if not value:
        yield path, "{}"
    for key, item in value.items():
        yield from _flatten(item, f"{path}.{key}" if path else key)


def _format_value(value: object) -> str:
    return "none" if value is None else msgspec.json.encode(value).decode()
