"""Validation of configurations, their differences and edits of their text."""

import json

import pytest

from plantainhinge.core.differences import edit_domain_state, find_differences
from plantainhinge.core.documents import (
    decode_configuration,
    encode_configuration,
    parse_configuration,
)
from plantainhinge.core.errors import BadInputError, UnknownVersionError
from plantainhinge.core.rules import find_transition_faults
from plantainhinge.core.states import DomainState

TEXT = """
// Three domains.
{
  "schema": 1,
  "domains": {
    "a": { "region": "r", "state": "in" },  // first
    "b": { "region": "r" },
    'c': {
      /* quoted otherwise */ region: "r",
      state: 'out',
    },
  },
  "teams": {
    "t": { "quota": { "processors": 8, "memory_gib": 8 } }, "u": { "quota": {} },
  },
  "services": {
    "s": { "team": "t", "replicas": 2, "task": { "processors": 4, "memory_gib": 4 } },
  },
  "kinds": {
    "k": { "team": "t", "task_class": "latency-critical", "service": "s" },
    "p": { "team": "t", "task_class": "latency-critical", "service": "s",
           "idempotent": false },
    "j": { "team": "u", "task_class": "batch" },
  },
}
"""


def make_document():
    configuration = parse_configuration(TEXT)
    return json.loads(encode_configuration(configuration))


def make_changed_document(path, value):
    document = make_document()
    parent = document
    *parents, last = path.split(".")
    for key in parents:
        parent = parent[key]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return document


FAULTS = [
    ("services.s.replicas", "four", ["services.s.replicas: 'four' is wrong", "int"]),
    ("services.s.replicas", -1, ["services.s.replicas: -1 is wrong", ">= 0"]),
    ("services.s.slots", 0, ["services.s.slots: 0 is wrong"]),
    ("services.s.team", "x", ["services.s.team: 'x' is unknown; valid: ['t', 'u']"]),
    ("services.s.task.processors", 9, ["services.s.task: one replica is more"]),
    ("domains.a.state", "off", ["domains.a.state: 'off'", "valid: ['in', 'out']"]),
    ("domains.a.region", None, ["domains.a.region: is missing"]),
    ("domains.a/b", {"region": "r"}, ["'a/b' is not a valid name"]),
    ("domains", [], ["domains: [] is not an object"]),
    ("kinds.k.servise", "s", ["kinds.k.servise: is unknown; valid: ['deadline"]),
    ("kinds.k.service", "x", ["kinds.k.service: 'x' is unknown; valid: ['s']"]),
    ("kinds.k.service", None, ["kinds.k.service: a latency-critical kind needs"]),
    ("kinds.j.service", "s", ["kinds.j.service: a batch kind has none"]),
    ("kinds.j.team", "x", ["kinds.j.team: 'x' is unknown"]),
    ("kinds.k.task_class", "fast", ["valid: ['latency-critical', 'batch']"]),
    ("schema", "1", ["schema: '1' is wrong"]),
    ("schema", None, ["schema: is missing"]),
]


@pytest.mark.parametrize(("path", "value", "expected"), FAULTS)
def test_a_fault_is_reported_with_path_value_and_valid_values(path, value, expected):
    with pytest.raises(BadInputError) as caught:
        parse_configuration(json.dumps(make_changed_document(path, value)))
    for part in expected:
        assert part in caught.value.message


def test_one_error_reports_all_faults_of_a_document():
    document = make_changed_document("services.s.replicas", "four")
    document["teams"]["t"]["quota"]["processors"] = -1
    document["extra"] = 1
    text = json.dumps(document).replace('"teams": {', '"teams": {"t": 1, ')
    with pytest.raises(BadInputError) as caught:
        parse_configuration(text, source="site.jsonc")
    for path in (
        "extra",
        "services.s.replicas",
        "teams.t.quota.processors",
        "teams.t: is given more than once",
    ):
        assert path in caught.value.message
    assert "4 faults" in caught.value.message
    assert caught.value.peer == "site.jsonc"


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ('{"schema": 1,\n "domains": }', "line 2 Unexpected"),
        ('{"schema": 1', "line 1 Unexpected end of input"),
        ("", "Empty"),
        ("[" * 5000, ""),
        ("[]", "document: [] is not an object"),
        ("3", "document: 3 is not an object"),
    ],
)
def test_invalid_text_is_reported_with_its_position(text, where):
    with pytest.raises(BadInputError) as caught:
        parse_configuration(text)
    assert where in caught.value.message


def test_a_newer_schema_raises_unknown_version():
    with pytest.raises(UnknownVersionError) as caught:
        parse_configuration('{"schema": 7, "other": {}}')
    assert "schema 7 is newer than 1" in caught.value.message


def test_an_encoded_configuration_decodes_to_the_same():
    configuration = parse_configuration(TEXT)
    assert decode_configuration(encode_configuration(configuration)) == configuration


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("domains.a.region", "q", "domains.a.region: must stay 'r'"),
        ("domains.a", None, 'domains.a: must be "out" before it is removed'),
        ("domains.c", None, ""),
        ("limits.ledger_partitions", 9, "limits.ledger_partitions: must stay 4"),
        ("kinds.p.team", "u", "kinds.p.team: must stay 't'"),
        ("kinds.p", None, ""),
        ("kinds.k.team", "u", ""),
        ("services.s.replicas", 1, ""),
    ],
)
def test_forbidden_changes_between_revisions_are_reported(path, value, expected):
    before = parse_configuration(TEXT)
    after = parse_configuration(json.dumps(make_changed_document(path, value)))
    assert "".join(map(str, find_transition_faults(before, after))) == expected


def test_differences_list_only_what_changed():
    before = parse_configuration(TEXT)
    document = make_changed_document("services.s.replicas", 1)
    document["domains"]["d"] = {"region": "r"}
    after = parse_configuration(json.dumps(document))
    assert list(map(str, find_differences(before, after))) == [
        'domains.d.region: none -> "r"',
        'domains.d.state: none -> "in"',
        "services.s.replicas: 2 -> 1",
    ]


@pytest.mark.parametrize("domain", ["a", "b", "c"])
@pytest.mark.parametrize("state", list(DomainState))
def test_editing_a_domain_state_keeps_everything_else(domain, state):
    edited = edit_domain_state(TEXT, domain, state)
    before = parse_configuration(TEXT)
    after = parse_configuration(edited)
    assert after.domains[domain].state is state
    changed = [d.path for d in find_differences(before, after)]
    assert changed in ([], [f"domains.{domain}.state"])
    for comment in ("// Three domains.", "// first", "/* quoted otherwise */"):
        assert comment in edited


def test_an_ambiguous_edit_is_refused():
    text = TEXT.replace('"a": {', '"a": { /* } "state": "in" */')
    with pytest.raises(BadInputError, match=r"domains\.a: write the state by hand"):
        edit_domain_state(text, "a", DomainState.OUT)
    with pytest.raises(BadInputError, match="valid"):
        edit_domain_state(TEXT, "z", DomainState.OUT)
