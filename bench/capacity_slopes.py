"""Slopes of the platform's side: membership, log, configuration, snapshots.

Everything runs in this process; draws come from a fixed seed. Bytes are those of
the encoded messages, without the framing of HTTP/2 and TCP.
"""

import importlib
import json
import random
import resource
import time
import tracemalloc

import json5
import msgspec

from plantainhinge.adapters.log_http import HttpLog
from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.adapters.peers_grpc import HEARTBEAT, Call, Peers
from plantainhinge.core.documents import (
    decode_configuration,
    encode_configuration,
    parse_configuration,
)
from plantainhinge.core.ids import (
    Epoch,
    Offset,
    Seconds,
    Sequence,
    StreamName,
    WriterId,
)
from plantainhinge.core.records import (
    RECORD_VERSION,
    AttemptPlaced,
    Batch,
    ConfigurationPublished,
    encode_batch,
)
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from standins.log import LogApplication
from standins.wsgi import serve
from tests.test_peers import Group

IP = "127.0.0.1"
SEED = 1
MILLISECONDS = 1e3
DOMAINS, TEAMS, SERVICES, KINDS = 23, 150, 150, 450
OWNERS = 55


class Slope(msgspec.Struct, frozen=True):
    """One measured figure."""

    name: str
    value: float
    unit: str


def measure_membership(members: int) -> list[Slope]:
    """Return bytes and processor time of one process among ``members``."""
    group = Group(members, seed=SEED)
    for number, member in enumerate(group.members.values()):
        if number < OWNERS:
            member.owned = {f"cell.{number}": 1}
    group.run(10)
    group.bytes = 0
    started = time.process_time()
    group.run(10)
    spent = time.process_time() - started
    each = 1 / 10 / members
    return [
        Slope(f"membership.bytes.{members}", 2 * group.bytes * each, "B/s"),
        Slope(f"membership.cpu.{members}", spent * each * MILLISECONDS, "ms/s"),
        Slope(f"membership.owner.{members}", measure_owner_spread(members), "s"),
    ]


def measure_owner_spread(members: int) -> float:
    """Return the rounds until every process knows a new owner."""
    group = Group(members, seed=SEED)
    group.run(15)
    group.members[group.listed[1]].owned = {"cell.new": 2}
    for seconds in range(1, 60):
        group.run(1)
        tables = [member.table for member in group.members.values()]
        if all(table.find_owner("cell.new", Seconds(0)) for table in tables):
            return float(seconds)
    return float("inf")


def measure_exchange() -> list[Slope]:
    """Return the processor time of one heartbeat over grpclib, both sides."""
    member = next(iter(Group(2).members.values()))
    heartbeat = member.build_heartbeat(member.address, 0, 0.0)
    peers = Peers()

    def accept(call: Call) -> None:
        call.answer.set_result(heartbeat)

    with peers.serve(IP, 17999, accept):
        address = f"{IP}:17999"
        peers.call(address, HEARTBEAT, heartbeat).result()
        started = time.process_time()
        for _ in range(300):
            peers.call(address, HEARTBEAT, heartbeat).result()
        spent = (time.process_time() - started) / 300
    return [Slope("exchange.cpu", spent * MILLISECONDS, "ms")]


def measure_log() -> list[Slope]:
    """Return the processor time of calls to the log, stand-in included."""
    slopes = []
    with serve(LogApplication(MemoryLog()), IP, 0, 4) as port:
        log = HttpLog(f"{IP}:{port}")
        stream = StreamName("config")
        for name, call in (
            ("append", lambda: log.append(stream, b"x" * 200)),
            ("read", lambda: log.read(stream, Offset(2**40), 1000)),
        ):
            call()
            started = time.process_time()
            for _ in range(300):
                call()
            spent = (time.process_time() - started) / 300
            slopes.append(Slope(f"log.{name}.cpu", spent * MILLISECONDS, "ms"))
        empty = msgspec.json.encode(log.read(stream, Offset(2**40), 1000))
    slopes.append(Slope("log.read.bytes", len(empty) + 250.0, "B"))
    return slopes


def build_document() -> str:
    """Return a configuration of the size of letter 1."""
    document = {
        "schema": 1,
        "domains": {f"d{n}": {"region": "r"} for n in range(DOMAINS)},
        "teams": {
            f"team-{n}": {"quota": {"processors": 900, "memory_gib": 4000}}
            for n in range(TEAMS)
        },
        "services": {
            f"service-{n}": {
                "team": f"team-{n % TEAMS}",
                "replicas": 80,
                "task": {"processors": 4, "memory_gib": 8},
            }
            for n in range(SERVICES)
        },
        "kinds": {
            f"kind-{n}": {
                "team": f"team-{n % TEAMS}",
                "task_class": "latency-critical",
                "service": f"service-{n % SERVICES}",
                "deadline_seconds": 1.0,
            }
            for n in range(KINDS)
        },
    }
    return json.dumps(document, indent=2)


def measure_configuration() -> list[Slope]:
    """Return what one change of configuration costs a reader."""
    text = build_document()
    started = time.process_time()
    json5.loads(text)
    parsed = time.process_time() - started
    checked = encode_configuration(parse_configuration(text))
    record = ConfigurationPublished(text, 1, "operator", checked)
    batch = Batch(RECORD_VERSION, WriterId("w"), Sequence(1), Epoch(0), [record])
    entry = encode_batch(batch)
    started = time.process_time()
    for _ in range(20):
        decode_configuration(checked)
    decoded = (time.process_time() - started) / 20
    tracemalloc.start()
    kept = decode_configuration(checked)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return [
        Slope("configuration.text", len(text), "B"),
        Slope("configuration.entry", len(entry), "B"),
        Slope("configuration.parse.cpu", parsed * MILLISECONDS, "ms"),
        Slope("configuration.decode.cpu", decoded * MILLISECONDS, "ms"),
        Slope("configuration.memory", memory, "B"),
    ]


def measure_records() -> list[Slope]:
    """Return the bytes of a placement in a batch, and of its snapshot."""
    draws = random.Random(SEED)
    records = [
        AttemptPlaced(
            f"task-{draws.getrandbits(64):x}",
            1,
            f"worker-{n % 70}",
            "audit",
            TaskClass.BATCH,
            Resources(4000, 8192, 0),
            1,
        )
        for n in range(1000)
    ]
    batch = Batch(RECORD_VERSION, WriterId("w"), Sequence(1), Epoch(1), records)
    body = msgspec.msgpack.encode(records)
    return [
        Slope("record.placed.bytes", len(body) / 1000, "B"),
        Slope("snapshot.task.bytes", len(encode_batch(batch)) / 1000, "B"),
    ]


def measure_memory() -> Slope:
    """Return the resident memory of a process that has imported the daemons."""
    importlib.import_module("plantainhinge.daemons.process")
    kilobytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return Slope("daemon.imports.memory", kilobytes / 1e3, "MB")


def measure_all() -> list[Slope]:
    """Return every slope."""
    slopes = [measure_memory()]
    for members in (16, 100, 300):
        slopes.extend(measure_membership(members))
    slopes.extend(measure_exchange())
    slopes.extend(measure_log())
    slopes.extend(measure_configuration())
    slopes.extend(measure_records())
    return slopes


if __name__ == "__main__":
    for slope in measure_all():
        print(f"{slope.name:28} {slope.value:12.3f} {slope.unit}")
