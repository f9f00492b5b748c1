"""Tests of reloading the settings of a running process."""

import asyncio

import msgspec

from plantainhinge.core.errors import BadInputError
from plantainhinge.daemons.settings_watch import SettingsWatch


class Settings(msgspec.Struct, frozen=True):
    lease: float = 6.0
    address: str = "a:1"


class SettingsFile:
    """A fake settings file, and the settings applied from it."""

    def __init__(self):
        self.found = Settings()
        self.applied = []
        self.watch = SettingsWatch(
            current=self.found,
            read=self.read,
            apply=self.applied.append,
            reloadable=frozenset({"lease"}),
        )

    def read(self):
        if self.found is None:
            raise BadInputError("lease: 'x' is no number", step="settings.read")
        return self.found


def list_lines(caplog):
    return [
        (record.message, getattr(record, "changed", None)) for record in caplog.records
    ]


def test_a_changed_file_is_applied_without_a_signal(caplog):
    caplog.set_level("INFO")
    file = SettingsFile()
    file.found = Settings(lease=4.0)
    file.watch.reload(signalled=False)
    assert file.applied == [Settings(lease=4.0)]
    assert list_lines(caplog) == [("settings reread", ("lease",))]
    assert caplog.records[0].restart_needed == ()


def test_settings_that_need_a_restart_are_logged(caplog):
    caplog.set_level("INFO")
    file = SettingsFile()
    file.found = Settings(address="b:2")
    file.watch.reload(signalled=False)
    assert caplog.records[0].restart_needed == ("address",)


def test_an_unchanged_file_is_logged_only_after_a_signal(caplog):
    caplog.set_level("INFO")
    file = SettingsFile()
    file.watch.reload(signalled=False)
    assert list_lines(caplog) == []
    file.watch.reload(signalled=True)
    assert list_lines(caplog) == [("settings reread", ())]
    assert file.applied == []


def test_invalid_settings_are_logged_once_and_not_applied(caplog):
    file = SettingsFile()
    file.found = None
    file.watch.reload(signalled=False)
    file.watch.reload(signalled=False)
    (record,) = caplog.records
    assert "lease: 'x' is no number" in record.cause
    assert file.watch.current == Settings()


def test_a_signal_reloads_the_file_at_once():
    async def play():
        file = SettingsFile()
        loop = asyncio.create_task(file.watch.run())
        await asyncio.sleep(0)
        file.found = Settings(lease=3.0)
        file.watch.request_reload()
        for _ in range(5):
            await asyncio.sleep(0)
        loop.cancel()
        return file.applied

    assert asyncio.run(play()) == [Settings(lease=3.0)]
