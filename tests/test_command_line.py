"""The command line: exit codes, help texts, settings and their overrides."""

import json

import pytest

from plantainhinge.cli.arguments import name_variable
from plantainhinge.cli.main import build_parser, main
from plantainhinge.cli.registry import COMMANDS
from plantainhinge.cli.timeline import find_related, merge_events
from plantainhinge.core.errors import PlantainhingeError
from plantainhinge.core.events import Event, Stamp
from plantainhinge.core.settings import OVERRIDES

SETTINGS = {
    "instance": "entry-1",
    "address": "127.0.0.1",
    "domain": "scot-a",
    "region": "scotland",
    "log_address": "127.0.0.1:1",
    "instance_list_address": "127.0.0.1:1",
}


def write(path, **changes):
    text = json.dumps({**SETTINGS, **changes})
    path.write_text(f"// one instance\n{text}")
    return str(path)


def test_every_error_has_an_exit_code_of_its_own():
    errors = [PlantainhingeError, *PlantainhingeError.__subclasses__()]
    codes = {error.exit_code for error in errors}
    names = {error.code for error in errors}
    assert len(codes) == len(names) == len(errors)
    assert 0 not in codes


@pytest.mark.parametrize("name", list(COMMANDS))
def test_each_command_shows_an_example_that_parses(name, capsys):
    with pytest.raises(SystemExit):
        main([name, "--help"])
    assert COMMANDS.find(name).example in capsys.readouterr().out
    words = COMMANDS.find(name).example.split()[1:]
    assert build_parser().parse_args(words).command == name


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["check", "{folder}/missing.jsonc"], 2),
        (["check", "{folder}/wrong.jsonc"], 2),
        (["check", "{folder}"], 2),
        (["gateway", "--check-settings", "--settings", "{folder}/missing"], 2),
        (["scheduler", "--check-settings", "--settings", "{folder}/wrong.jsonc"], 2),
        (["gateway", "--check-settings", "--settings", "{folder}/right.jsonc"], 0),
        (["status", "--settings", "{folder}/right.jsonc"], 4),
        (["jobs", "audit", "--settings", "{folder}/right.jsonc"], 4),
        (["timeline", "x", "--settings", "{folder}/right.jsonc"], 4),
        (["apply", "{folder}/wrong.jsonc", "--settings", "{folder}/right.jsonc"], 2),
    ],
)
def test_each_failure_has_its_exit_code_and_a_message(
    tmp_path, capsys, arguments, code
):
    write(tmp_path / "right.jsonc")
    (tmp_path / "wrong.jsonc").write_text("{ schema: [ }")
    found = main([word.format(folder=tmp_path) for word in arguments])
    assert found == code
    error = capsys.readouterr().err
    assert "Traceback" not in error
    assert bool(error) == bool(code)


def test_settings_errors_list_every_fault_with_path_value_and_valid_values(
    tmp_path, capsys
):
    path = write(
        tmp_path / "s.jsonc",
        address="localhost",
        log_address="1.2.3.4",
        log_level="LOUD",
        ports={"callers": 0, "gateway": 1},
        surplus=1,
    )
    assert main(["gateway", "--check-settings", "--settings", path]) == 2
    error = capsys.readouterr().err
    for part in (
        "address: 'localhost'",
        "log_address: '1.2.3.4'",
        "log_level: 'LOUD'",
        "ports.callers: 0",
        "ports.gateway:",
        "surplus:",
        "valid:",
    ):
        assert part in error


@pytest.mark.parametrize("name", list(OVERRIDES))
def test_a_flag_overrides_the_environment_which_overrides_the_file(
    tmp_path, capsys, monkeypatch, name
):
    path = write(tmp_path / "s.jsonc")
    given = {
        "address": ("127.0.0.7", "127.0.0.8"),
        "domain": ("scot-b", "scot-c"),
        "instance": ("entry-7", "entry-8"),
    }
    first, second = given.get(name, ("7001", "7002"))
    command = ["gateway", "--check-settings", "--settings", path, "--output", "json"]

    def read():
        assert main(command) == 0
        found = json.loads(capsys.readouterr().out)["settings"]
        for key in OVERRIDES[name]:
            found = found[key]
        return str(found)

    monkeypatch.setenv(name_variable(name), first)
    assert read() == first
    command.extend([f"--{name}", second])
    assert read() == second


def test_a_key_finds_the_events_of_its_requests_once_and_in_order():
    def build(wall, subject, **detail):
        return Event(
            stamp=Stamp(wall, 0, "p"), name="n", subject=subject, detail=detail
        )

    about_key = [build(2.0, "r1", key="k"), build(1.0, "r2", key="k"), build(3.0, "k")]
    assert find_related(about_key, "k") == ["r1", "r2"]
    merged = merge_events([*about_key, *about_key])
    assert [event.stamp.wall for event in merged] == [1.0, 2.0, 3.0]
