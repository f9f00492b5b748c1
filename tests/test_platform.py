"""Messages of the platform are decoded, or rejected without unexpected errors."""

import asyncio
import json
import struct
from contextlib import asynccontextmanager

import msgspec
import pytest
from hypothesis import given, strategies as st

from plantainhinge.adapters.stream_http_client import (
    ConnectionBudget,
    HttpCall,
    HttpResponse,
)
from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from plantainhinge.adapters.stream_http_server import HttpServer
from plantainhinge.core.errors import (
    BadInputError,
    ConflictError,
    CorruptRecordError,
    NotOwnerError,
    PlantainhingeError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.resources import Resources
from plantainhinge.fleet.credentials import digest_key
from plantainhinge.fleet.handover import (
    HANDOVER_KEY,
    Handover,
    decode_handover,
    encode_handover,
)
from plantainhinge.fleet.model import (
    OrderOutcome,
    OrderResponse,
    Renewal,
    StopOrder,
    WorkerReport,
)
from plantainhinge.fleet.operator import DomainClosure, SchedulingConfiguration
from plantainhinge.fleet.protocols import Entry
from plantainhinge.jobs.records import RecordKind, decode_record
from plantainhinge.platform import ingress, operator, store, worker_reports, workers
from plantainhinge.platform.settings import read_platform_settings
from standins.addresses import find_free_address
from standins.platform_store import StandInStore

ENTRY = {
    "coldLeftMs": 1500,
    "service": "s1",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 8000, "memMb": 100, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 7,
    "seq": 4,
}
JOB = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 900},
        {"count": 2, "dependsOn": [0], "longRunning": True, "targetMs": 45},
    ],
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def encode(value):
    return json.dumps(value).encode()


def damage(original):
    """Return copies of a message with one field removed or replaced."""
    fields = st.sampled_from(sorted(original))
    return st.tuples(fields, JSON_VALUES | st.just(...)).map(
        lambda change: {
            name: (change[1] if name == change[0] else value)
            for name, value in original.items()
            if not (name == change[0] and change[1] is ...)
        }
    )


def test_a_worker_entry_is_decoded():
    entry = workers.decode_entry("i-1", encode(ENTRY))
    assert (entry.worker, entry.incarnation, entry.domain) == ("i-1", 7, "a")
    assert entry.capacity.millicores == 8000
    assert entry.warming == 1.5


@given(st.binary() | damage(ENTRY).map(encode))
def test_a_damaged_worker_entry_is_ignored_or_keeps_its_key(value):
    entry = workers.decode_entry("i-1", value)
    assert entry is None or entry.worker == "i-1"


def without(original, *names):
    return {name: value for name, value in original.items() if name not in names}


@pytest.mark.parametrize("field", sorted(without(ENTRY, "coldLeftMs", "seq")))
def test_an_entry_that_lacks_a_field_of_every_worker_names_none(field):
    assert workers.decode_entry("i-1", encode(without(ENTRY, field))) is None


@pytest.mark.parametrize(
    "change",
    [
        {"born": 2**63},
        {"born": -1},
        {"capacity": {"cpu": 2**63, "memMb": 100, "gpu": 0}},
        {"capacity": {"cpu": 8000, "memMb": 10**30, "gpu": 0}},
        {"capacity": {"cpu": 8000, "memMb": 100, "gpu": 2**64}},
    ],
)
def test_an_entry_with_an_integer_that_the_log_cannot_hold_names_no_worker(change):
    assert workers.decode_entry("i-1", encode(ENTRY | change)) is None


# another writer's entry decides neither the size of our records nor of our log lines
@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("w" * 129, {}),
        ("i-1", {"service": "s" * 129}),
        ("i-1", {"zone": "\u4e2d" * 50}),
        ("i-1", {"labels": ["x"] * 17}),
        ("i-1", {"labels": ["x" * 129]}),
        ("i-1", {"other": "x" * 20_000}),
        ("i-1", {"state": "x" * 10_000}),
        ("i-1", {"addr": "x" * 10_000 + ":80"}),
        ("i-1", {"addr": "10.0.0.1:" + "0" * 400 + "80"}),
    ],
)
def test_an_entry_larger_than_any_of_a_worker_names_none(key, change, caplog):
    assert workers.decode_entry(key, encode(ENTRY | change)) is None
    assert all(len(record.cause) <= 200 for record in caplog.records)


# a call to such a worker raised an error, which ended the whole ownership
@pytest.mark.parametrize(
    "key", ["", "w-\ufffd", "w 1", "w\r\nX-Other: y", "w-\u4e2d", "\x00", "w\x7f"]
)
def test_an_entry_under_a_key_that_no_header_holds_names_no_worker(key):
    assert workers.decode_entry(key, encode(ENTRY)) is None


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:70000",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:\u0661",
        "127.0.0.1:",
        "127.0.0.1",
        "127.0.0:80",
        "..:80",
        "\u4e2d:80",
        "a" * 70 + ":80",
    ],
)
def test_an_entry_with_an_impossible_address_names_no_worker(address):
    assert workers.decode_entry("i-1", encode(ENTRY | {"addr": address})) is None


@given(st.text(), st.text(max_size=80) | st.from_regex(r"[0-9.]{1,20}:[0-9]{1,6}"))
def test_each_worker_of_the_directory_can_be_called(key, address):
    entry = workers.decode_entry(key, encode(ENTRY | {"addr": address}))
    if entry is not None:
        call = HttpCall(
            method="POST", path="/", headers=(("X-Expect-Instance", entry.worker),)
        )
        assert call.encode(entry.address).count(b"\r\n") == 5
        assert 0 < int(entry.address.rpartition(":")[2]) < 2**16


# one key of another writer hid the whole directory from a new owner
@pytest.mark.parametrize("key", [b"w-\xf3", b"w-\\udcf3"])
def test_a_page_of_newest_records_holds_those_beside_an_unreadable_key(key):
    rows = b'[{"key":"a","value":"MQ=="},{"key":"%s","value":"Mg=="}]' % key
    body = b'{"items":%s,"more":true,"endOffset":2}' % rows
    page = read_newest(HttpResponse(200, {}, body))
    assert [entry.value for entry in page.entries] == [b"1", b"2"]
    assert page.next_key == "a"
    assert workers.decode_entry(page.entries[1].key, encode(ENTRY)) is None


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[]", b'{"items":[1]}', b'{"items":3}']
)
def test_a_malformed_page_of_newest_records_raises_an_error_with_a_code(body):
    with pytest.raises(UncertainError):
        read_newest(HttpResponse(200, {}, body))


def make_log(response):
    class Answering:
        address = "store:1"

        async def call(self, *args, **kwargs):
            return response

    return store.Store(Answering(), Answering(), member_seconds=1.0)


def read_newest(response):
    return asyncio.run(make_log(response).read_newest("workers"))


@pytest.mark.parametrize(("partitions", "is_complete"), [(3, True), (2, False)])
def test_a_list_of_members_is_complete_if_one_holds_several_partitions(
    partitions, is_complete
):
    rows = [["members-0", part, "ab"[part % 2], 0] for part in range(partitions)]
    log = make_log(HttpResponse(200, {}, encode({"parts": rows})))
    group = asyncio.run(log.list_members())
    assert group == ({"a", "b"}, is_complete)


def test_the_largest_integers_of_an_entry_fit_into_the_handover():
    largest = 2**63 - 1
    capacity = {"cpu": largest, "memMb": largest, "gpu": largest}
    value = encode(ENTRY | {"born": largest, "capacity": capacity})
    handover = Handover(workers=(workers.decode_entry("i-1", value),))
    records = encode_handover(handover, record_bytes_max=1000)
    assert decode_handover(records[HANDOVER_KEY]) == handover


TENANT = {
    "name": "a",
    "apiKeys": ["k1", "k2"],
    "weight": 2,
    "cap": {"cpu": 3000, "memMb": 0, "gpu": 0},
}


def decode_tenants(*tenants):
    config = {"version": 1, "routes": [], "tenants": list(tenants)}
    return operator.decode_operator_record("config", encode(config))


def test_a_workspace_is_decoded_with_digests_in_place_of_its_keys():
    (workspace,) = decode_tenants(TENANT).workspaces
    assert (workspace.name, workspace.weight) == ("a", 2.0)
    assert workspace.key_digests == (digest_key("k1"), digest_key("k2"))
    assert workspace.cap == Resources(3000, 2**63 - 1, 2**63 - 1)


def test_a_configuration_without_the_field_has_no_workspaces():
    config = encode({"version": 1, "routes": []})
    assert operator.decode_operator_record("config", config).workspaces is None
    assert decode_tenants().workspaces == ()


@pytest.mark.parametrize(
    "tenants",
    [
        [TENANT, TENANT | {"apiKeys": ["k3"]}],
        [TENANT, TENANT | {"name": "b", "apiKeys": ["k2"]}],
        [TENANT | {"weight": -1}],
        [TENANT | {"weight": 1e300}],
        [TENANT | {"weight": "2"}],
        [TENANT | {"apiKeys": [""]}],
        [TENANT | {"apiKeys": ["x" * 300]}],
        [TENANT | {"apiKeys": "k1"}],
        [TENANT | {"cap": {"cpu": -1}}],
        [TENANT | {"cap": {"cpu": 2**64}}],
        [TENANT | {"name": 7}],
    ],
)
def test_a_configuration_with_an_invalid_workspace_is_rejected_whole(tenants, caplog):
    assert decode_tenants(*tenants) is None
    (line,) = caplog.records
    assert "k2" not in line.cause
    assert "k3" not in line.cause


def test_ten_thousand_workspaces_are_decoded():
    tenants = [
        TENANT | {"name": f"t{index}", "apiKeys": [f"key-{index}"]}
        for index in range(10_000)
    ]
    assert len(decode_tenants(*tenants).workspaces) == 10_000


DEEPLY_NESTED = b'{"x":' + b"[" * 100_000


def test_a_deeply_nested_entry_names_no_worker():
    assert workers.decode_entry("i-1", DEEPLY_NESTED) is None


def test_a_deeply_nested_configuration_is_ignored():
    assert operator.decode_operator_record("config", DEEPLY_NESTED) is None


@pytest.mark.parametrize(
    "body",
    [DEEPLY_NESTED, encode({"spec": "", "steps": [{"cpu": 2**64}]})],
    ids=["nested", "huge number"],
)
def test_a_job_that_no_record_can_hold_is_refused(body):
    with pytest.raises(BadInputError):
        ingress.decode_spec(body)


@pytest.mark.parametrize("kind", RecordKind)
def test_a_deeply_nested_record_of_a_job_is_reported_as_corrupt(kind):
    with pytest.raises(CorruptRecordError):
        decode_record(kind.value + "j", b"\x81\xa1x" + b"\x91" * 100_000)


@pytest.mark.parametrize("status", [200, 503])
def test_a_deeply_nested_answer_to_a_renewal_ends_no_loop(status):
    response = renew_once(HttpResponse(status, {}, DEEPLY_NESTED))
    assert isinstance(response, OrderResponse)


@pytest.mark.parametrize("status", [200, 503])
def test_a_deeply_nested_answer_to_an_order_ends_no_loop(monkeypatch, status):
    async def answer(*args):
        return HttpResponse(status, {}, DEEPLY_NESTED)

    monkeypatch.setattr(workers.PlatformWorkerClient, "_call", answer)
    client = workers.PlatformWorkerClient()
    entry = workers.decode_entry("i-1", encode(ENTRY))
    order = StopOrder(task=worker_reports.parse_task("j.0.0.0"), attempt=1, epoch=1)
    assert isinstance(asyncio.run(client.stop(entry, order)), OrderResponse)


@pytest.mark.parametrize("born", [2**63, -1])
def test_a_report_of_an_incarnation_that_the_log_cannot_hold_is_malformed(born):
    report = encode({"clockMs": 1, "running": [], "ended": [], "born": born})
    with pytest.raises(msgspec.MsgspecError):
        msgspec.json.decode(report, type=worker_reports.Report)


def test_a_job_is_decoded():
    spec = ingress.decode_spec(encode(JOB))
    assert [step.count for step in spec.steps] == [4, 2]
    assert spec.steps[0].estimate == 0.9
    assert spec.steps[1].depends_on == (0,)
    assert spec.steps[1].target_seconds == 0.045


@given(st.binary() | damage(JOB).map(encode))
def test_a_malformed_job_is_refused_with_a_code(body):
    try:
        spec = ingress.decode_spec(body)
    except BadInputError as error:
        assert error.code == "bad-input"
    else:
        assert spec.steps


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [{"count": 0}],
        [{"count": 10**9}],
        [{"count": 20_000}, {"count": 1}],
        [{"dependsOn": [0]}],
        [{}, {"dependsOn": [2]}],
        [{"dependsOn": [-1]}],
        [{"cpu": -5}],
    ],
)
def test_inconsistent_steps_are_refused(steps):
    with pytest.raises(BadInputError):
        ingress.decode_spec(encode({"spec": "", "steps": steps}))


# jobs with specs of 250 kB filled the memory of every owner that read them
def test_a_spec_over_the_limit_of_the_page_is_refused():
    for spec, size in (("x" * 4000, 4000), ("ü" * 2000, 4000)):
        body = encode({"spec": spec, "steps": [{}]})
        assert len(ingress.decode_spec(body).payload.encode()) == size
    for spec in ("x" * 4001, "ü" * 2001):
        with pytest.raises(BadInputError, match="at most 4000"):
            ingress.decode_spec(encode({"spec": spec, "steps": [{}]}))


# a hundred such bodies stopped an instance for seconds
def test_too_many_steps_are_refused_without_decoding_them(monkeypatch):
    monkeypatch.setattr(ingress, "_Job", None)
    body = b'{"spec":"","steps":[' + b"{}," * 86_999 + b"{}]}"
    with pytest.raises(BadInputError, match="too many steps"):
        ingress.decode_spec(body)


@given(st.text(), st.binary())
def test_any_operator_record_is_decoded_or_ignored(key, value):
    record = operator.decode_operator_record(key, value)
    assert record is None or isinstance(record, DomainClosure | SchedulingConfiguration)


def test_a_configuration_is_decoded():
    value = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h.example",
                "pathPrefix": "/p/",
                "service": "s",
                "priority": 2,
                "attempts": 3,
                "slackFactor": 2.0,
                "targetLatencyMs": 250,
            }
        ],
        "services": [
            {"name": "s", "enforceCapacity": True},
            {"name": "t", "enforceCapacity": False},
            {"name": "u"},
        ],
        "limits": {"maxBodyBytes": 100},
    }
    config = operator.decode_operator_record("config", encode(value))
    assert config.revision == 7
    assert config.find_route("h.example", "/p/1").policy.target_latency == 0.25
    assert config.find_route("h.example", "/q/1") is None
    assert config.guarded_services == {"s"}


def frame(*entries):
    return struct.pack(">QQ", 9, 0) + b"".join(
        store._encode_record(entry) for entry in entries
    )


@given(st.lists(st.tuples(st.text(max_size=20), st.binary())))
def test_records_are_the_same_after_encoding_and_parsing(pairs):
    entries = tuple(Entry(key, value) for key, value in pairs)
    page = store._parse_records(frame(*entries), 3, "peer")
    assert page.entries == entries
    assert page.end == 3 + len(entries)


@given(st.binary())
def test_malformed_records_raise_an_error_with_a_code(body):
    try:
        store._parse_records(body, 0, "peer")
    except CorruptRecordError as error:
        assert error.peer == "peer"


def test_a_truncated_record_raises_an_error():
    whole = frame(Entry("key", b"value"))
    with pytest.raises(CorruptRecordError):
        store._parse_records(whole[:-1], 0, "peer")


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (503, b"", UnavailableError),
        (429, b"{}", UnavailableError),
        (412, b'{"endOffset":4}', ConflictError),
        (409, b'{"reason":"fenced"}', NotOwnerError),
        (409, b'{"reason":"seq"}', ConflictError),
        (410, b'{"startOffset":9}', TrimmedError),
        (413, b"", TooLargeError),
        (507, b"", UnavailableError),
        (500, b"\xff", PlantainhingeError),
    ],
)
def test_statuses_of_the_store_map_to_errors(status, body, error):
    with pytest.raises(error) as caught:
        store._check_status(HttpResponse(status, {}, body), "store.append", "peer")
    assert caught.value.step == "store.append"


@pytest.mark.parametrize(
    ("status", "reason", "outcome"),
    [
        (200, "", OrderOutcome.ACCEPTED),
        (409, "fence", OrderOutcome.FENCED),
        (409, "old", OrderOutcome.SUPERSEDED),
        (409, "late", OrderOutcome.TOO_LATE),
        (409, "room", OrderOutcome.NO_CAPACITY),
        (409, "other", OrderOutcome.REFUSED),
        (421, "", OrderOutcome.OTHER_INCARNATION),
        (429, "", OrderOutcome.REFUSED),
        (500, "", OrderOutcome.UNKNOWN),
    ],
)
def test_responses_of_workers_map_to_outcomes(status, reason, outcome):
    body = encode({"clockMs": 1500, "reason": reason})
    answer = workers._decode_order_response(HttpResponse(status, {}, body))
    assert answer.outcome is outcome
    assert answer.clock == 1.5


RUNNING = ["0123456789abcdef.0.0.0", 1, "", 40]
ENDED = [1, "0123456789abcdef.0.0.0", 1, "done", ""]


def renew_once(response):
    """Return what a worker client makes of a response to a renewal."""

    class Answering:
        peer_incarnation = None

        @asynccontextmanager
        async def borrow(self, **kwargs):
            yield self

        async def call(self, *args, **kwargs):
            return response

    client = workers.PlatformWorkerClient()
    entry = workers.decode_entry("i-1", encode(ENTRY))
    client._clients[entry.address] = Answering()
    renewal = Renewal(epoch=1, incarnation=1, acknowledged=0, wait=0.0, lease_end=None)
    return asyncio.run(client.renew(entry, renewal))


def read_report(running, ended):
    """Return a worker client's outcome of a renewal, or the report."""
    body = encode({"clockMs": 1, "running": [running], "ended": [ended], "born": 1})

    answer = renew_once(HttpResponse(200, {}, body))
    return answer if isinstance(answer, WorkerReport) else answer.outcome


# such values went into progress, which then couldn't be written or read any more
@pytest.mark.parametrize("value", [2**64, -1, "1", None, [], {}, 1e300])
@pytest.mark.parametrize("column", ["running", "ended", "sequence", "checkpoint"])
def test_a_report_with_a_value_that_no_progress_can_hold_is_malformed(column, value):
    running, ended = list(RUNNING), list(ENDED)
    match column:
        case "running":
            running[1] = value
        case "ended":
            ended[2] = value
        case "sequence":
            ended[0] = value
        case "checkpoint":
            running[2] = 5 if isinstance(value, str) else value
    assert read_report(running, ended) is OrderOutcome.UNKNOWN


def test_a_report_with_more_rows_than_a_worker_can_have_is_malformed():
    rows = {"running": [RUNNING] * 5001, "ended": []}
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(encode({"clockMs": 1} | rows), type=worker_reports.Report)


def test_a_checkpoint_that_is_too_long_to_keep_counts_as_none():
    report = read_report(
        [*RUNNING[:2], "x" * 1025, 40.5, 3.5], [*ENDED[:4], "y" * 1024]
    )
    assert report.running[0].checkpoint == ""
    assert report.ended[0].checkpoint == "y" * 1024


@given(JSON_VALUES)
def test_a_malformed_report_raises_only_what_the_caller_handles(value):
    try:
        report = msgspec.json.decode(encode(value), type=worker_reports.Report)
        worker_reports.decode_report(report)
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError):
        pass


def test_errors_in_settings_name_the_file_or_the_field(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text('{"instance": "i"}')
    with pytest.raises(BadInputError, match="domain"):
        read_platform_settings(path)
    with pytest.raises(BadInputError, match="missing"):
        read_platform_settings(tmp_path / "missing")


@pytest.mark.parametrize(
    ("running", "ended", "limit", "open_"),
    [([], [], 0, 0), ([], [], 1, 1), ([RUNNING], [], 0, 1), ([], [ENDED], 0, 1)],
    ids=["idle", "within the budget", "busy", "with an end to acknowledge"],
)
def test_connections_to_idle_workers_are_closed_beyond_the_budget(
    running, ended, limit, open_
):
    body = encode({"clockMs": 1, "running": running, "ended": ended})

    async def answer(request):
        return HttpReply(status=200, body=body)

    async def scenario():
        server = HttpServer(find_free_address(), answer)
        await server.start()
        budget = ConnectionBudget(limit)
        client = workers.PlatformWorkerClient(budget=budget)
        value = encode(ENTRY | {"addr": server.address})
        entry = workers.decode_entry("i-1", value)
        renewal = Renewal(
            epoch=1, incarnation=1, acknowledged=0, wait=0.0, lease_end=None
        )
        await client.renew(entry, renewal)
        found = budget.open
        client.close_connections(entry)
        await server.drain(timeout=0.1)
        return found

    assert asyncio.run(scenario()) == open_


@pytest.mark.parametrize(
    ("sizes", "status"),
    [((90,), 200), ((91,), 413), ((90, 90), 200), ((90, 90, 1), 413)],
)
def test_the_stand_in_store_keeps_the_limits_of_a_record_and_of_a_call(sizes, status):
    stand_in = StandInStore("h:1", record_bytes_max=100, append_bytes_max=200)
    entries = [Entry("k" * 9, b"x" * size) for size in sizes]
    body = b"".join(store._encode_record(entry) for entry in entries)
    path = "/-/log-append?topic=keyed.jobs&part=0"
    call = HttpRequest(method="POST", path=path, headers={}, body=body)
    reply = asyncio.run(stand_in.handle(call))
    kept = len(stand_in.topics["keyed.jobs"].records)
    assert (reply.status, kept) == (status, len(sizes) if status == 200 else 0)
