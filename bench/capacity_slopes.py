"""Measures the cost per unit of load of membership, log, configuration and snapshots.

Everything runs in this process, and random numbers come from a fixed seed. Sizes are
those of the encoded messages, without the framing of HTTP/2 and TCP.
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
MS_PER_SECOND = 1e3
DOMAINS, TEAMS, SERVICES, KINDS = 23, 150, 150, 450
STREAM_OWNERS = 55


class Slope(msgspec.Struct, frozen=True):
    """The cost of one unit of load, as a row of the tables of docs/CAPACITY.md."""

    name: str
    value: float
    unit: str


def measure_membership(members: int) -> list[Slope]:
    """Measure traffic, processor time and propagation in a group of processes.

    Traffic and processor time are those of one process.
    """
    group = Group(members, seed=SEED)
    for number, member in enumerate(group.members.values()):
        if number < STREAM_OWNERS:
            member.owned = {f"cell.{number}": 1}
    group.run(10)
    group.bytes = 0
    started_at = time.process_time()
    group.run(10)
    cpu_seconds = time.process_time() - started_at
    per_member_second = 1 / 10 / members
    return [
        Slope(
            f"membership.bytes.{members}", 2 * group.bytes * per_member_second, "B/s"
        ),
        Slope(
            f"membership.cpu.{members}",
            cpu_seconds * per_member_second * MS_PER_SECOND,
            "ms/s",
        ),
        Slope(f"membership.owner.{members}", measure_owner_spread(members), "s"),
    ]


def measure_owner_spread(members: int) -> float:
    """Measure the seconds until every process knows a new owner.

    Infinity if some process doesn't know it after 59 seconds.
    """
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
    """Measure the processor time of a heartbeat call over gRPC, client and server."""
    member = next(iter(Group(2).members.values()))
    heartbeat = member.build_heartbeat(member.address, 0, 0.0)
    peers = Peers()

    def accept(call: Call) -> None:
        call.response.set_result(heartbeat)

    with peers.serve(IP, 17999, accept):
        address = f"{IP}:17999"
        peers.call(address, HEARTBEAT, heartbeat).result()
        started_at = time.process_time()
        for _ in range(300):
            peers.call(address, HEARTBEAT, heartbeat).result()
        cpu_seconds = (time.process_time() - started_at) / 300
    return [Slope("exchange.cpu", cpu_seconds * MS_PER_SECOND, "ms")]


def measure_log() -> list[Slope]:
    """Measure the processor time of log calls, that of the stand-in log included."""
    slopes = []
    with serve(LogApplication(MemoryLog()), IP, 0, 4) as port:
        log = HttpLog(f"{IP}:{port}")
        stream = StreamName("config")
        for name, call in (
            ("append", lambda: log.append(stream, b"x" * 200)),
            ("read", lambda: log.read(stream, Offset(2**40), 1000)),
        ):
            call()
            started_at = time.process_time()
            for _ in range(300):
                call()
            cpu_seconds = (time.process_time() - started_at) / 300
            slopes.append(Slope(f"log.{name}.cpu", cpu_seconds * MS_PER_SECOND, "ms"))
        empty = msgspec.json.encode(log.read(stream, Offset(2**40), 1000))
    slopes.append(Slope("log.read.bytes", len(empty) + 250.0, "B"))
    return slopes


def build_document() -> str:
    """Build a configuration of the required site size."""
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
    """Measure the sizes and times of reading one change of the configuration."""
    text = build_document()
    started_at = time.process_time()
    json5.loads(text)
    parse_seconds = time.process_time() - started_at
    encoded = encode_configuration(parse_configuration(text))
    record = ConfigurationPublished(text, 1, "operator", encoded)
    batch = Batch(RECORD_VERSION, WriterId("w"), Sequence(1), Epoch(0), [record])
    entry = encode_batch(batch)
    started_at = time.process_time()
    for _ in range(20):
        decode_configuration(encoded)
    decode_seconds = (time.process_time() - started_at) / 20
    tracemalloc.start()
    configuration = decode_configuration(encoded)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del configuration
    return [
        Slope("configuration.text", len(text), "B"),
        Slope("configuration.entry", len(entry), "B"),
        Slope("configuration.parse.cpu", parse_seconds * MS_PER_SECOND, "ms"),
        Slope("configuration.decode.cpu", decode_seconds * MS_PER_SECOND, "ms"),
        Slope("configuration.memory", memory, "B"),
    ]


def measure_records() -> list[Slope]:
    """Measure the size of a placement record, alone and in an encoded batch."""
    rng = random.Random(SEED)
    records = [
        AttemptPlaced(
            f"task-{rng.getrandbits(64):x}",
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
    """Measure the resident memory after importing the daemons.

    The imports of the benchmark itself are included.
    """
    importlib.import_module("plantainhinge.daemons.process")
    kilobytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return Slope("daemon.imports.memory", kilobytes / 1e3, "MB")


def measure_all() -> list[Slope]:
    """Measure all slopes, memory first: later measurements would add to it."""
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
