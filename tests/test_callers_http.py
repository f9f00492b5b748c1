"""The WSGI application for callers: any request gets a status and an outcome."""

import io

import msgspec
import pytest
from hypothesis import given, strategies as st

from plantainhinge.adapters.callers_http import CallersApplication
from plantainhinge.core.calls import CallerResponse
from plantainhinge.core.errors import (
    BadInputError,
    ConflictError,
    NotOwnerError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.ids import KindId, TaskId, TeamId
from plantainhinge.core.messages import JobStatus
from plantainhinge.core.states import Outcome, TaskState

PATHS = st.sampled_from(
    ["/", "/jobs", "/jobs/", "/jobs/a", "/jobs/a/b", "/readyz", "*", "http://a/b", "/ "]
)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "BREW"])
HEADERS = st.dictionaries(
    st.sampled_from(
        [
            "HTTP_PLANTAINHINGE_KIND",
            "HTTP_IDEMPOTENCY_KEY",
            "HTTP_PLANTAINHINGE_DEADLINE_MS",
            "CONTENT_TYPE",
            "QUERY_STRING",
        ]
    ),
    st.text(st.characters(max_codepoint=255), max_size=300)
    | st.sampled_from(["lookup", "1000", "-1", "0", "1e9", "9" * 400, "\u00b2"]),
)
BODIES = st.binary(max_size=200) | st.sampled_from(
    [
        b'{"id":"a","kind":"k"}',
        b'{"id":"","kind":"k"}',
        b'{"id":"a","kind":"k","run_seconds":-1}',
        b'{"id":"a","kind":"k","run_seconds":1e400}',
        b'{"id":"' + b"x" * 5000 + b'","kind":"k"}',
        b"[" * 3000,
    ]
)


class Gateway:
    """Records the parsed requests and jobs; responds, or raises the given error."""

    def __init__(self, error=None):
        self.error = error
        self.jobs = []
        self.requests = []

    def handle(self, request):
        self.requests.append(request)
        return self._respond(
            CallerResponse(status=200, outcome=Outcome.DONE, body=b"{}")
        )

    def submit(self, job):
        self.jobs.append(job)
        return self._respond(self._build_status(job.id))

    def query(self, task):
        return self._respond(self._build_status(task))

    cancel = query

    def is_ready(self):
        return True

    def _respond(self, response):
        if self.error is not None:
            raise self.error
        return response

    def _build_status(self, task):
        return JobStatus(
            task=TaskId(task),
            team=TeamId("t"),
            kind=KindId("k"),
            state=TaskState.WAITING,
            attempts=0,
        )


def call(gateway, method="GET", path="/x", body=b"", **headers):
    """Send one request and return the status code, headers and body."""
    response = {}

    def start_response(status, lines):
        response.update(status=int(status.split()[0]), headers=dict(lines))

    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "REQUEST_URI": path,
        "wsgi.input": io.BytesIO(body),
        **headers,
    }
    content = b"".join(CallersApplication(gateway)(environ, start_response))
    return response["status"], response["headers"], content


@given(PATHS, METHODS, HEADERS, BODIES)
def test_any_request_is_answered_with_a_code(path, method, headers, body):
    gateway = Gateway()
    status, lines, content = call(gateway, method, path, body, **headers)
    assert 200 <= status < 500
    assert lines["Plantainhinge-Outcome"] in {o.value for o in Outcome}
    assert int(lines["Content-Length"]) == len(content)
    if status >= 400:
        assert msgspec.json.decode(content)["code"]
    for job in gateway.jobs:
        assert 0 < len(job.id) <= 128
        assert 0 <= job.run_seconds < float("inf")
    for request in gateway.requests:
        assert request.deadline_ms is None or 0 < request.deadline_ms <= 86_400_000
        assert request.key is None or len(request.key) <= 128


def test_a_path_is_forwarded_as_the_caller_encoded_it():
    gateway = Gateway()
    path = "/formulas/a%20b%2Fc?q=%C5%82"
    assert call(gateway, path=path, HTTP_PLANTAINHINGE_KIND="lookup")[0] == 200
    assert gateway.requests[0].path == path


@pytest.mark.parametrize(
    ("error", "status", "outcome", "retry"),
    [
        (BadInputError("m", step="s"), 400, "not-run", False),
        (UnavailableError("m", step="s", retry_after=2.2), 503, "not-run", True),
        (UncertainError("m", step="s"), 502, "unknown", False),
        (NotOwnerError("m", step="s"), 502, "unknown", False),
        (ConflictError("m", step="s"), 502, "unknown", False),
        (ValueError("a fault of ours"), 500, "unknown", False),
    ],
)
def test_an_error_response_has_its_code_and_outcome(error, status, outcome, retry):
    found, lines, content = call(Gateway(error), HTTP_PLANTAINHINGE_KIND="lookup")
    assert (found, lines["Plantainhinge-Outcome"]) == (status, outcome)
    assert ("Retry-After" in lines) == retry
    assert msgspec.json.decode(content)["code"]
