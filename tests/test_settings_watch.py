"""Settings that change while a process runs."""

import asyncio

import msgspec

from plantainhinge.core.errors import BadInputError
from plantainhinge.daemons.settings_watch import SettingsWatch


class Settings(msgspec.Struct, frozen=True):
    lease: float = 6.0
    address: str = "a:1"


class Site:
    """A settings file, and what was put in force from it."""

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


def test_a_changed_file_takes_effect_without_a_signal(caplog):
    caplog.set_level("INFO")
    site = Site()
    site.found = Settings(lease=4.0)
    site.watch.reload(signalled=False)
    assert site.applied == [Settings(lease=4.0)]
    assert list_lines(caplog) == [("settings reread", ("lease",))]
    assert caplog.records[0].restart_needed == ()


def test_a_setting_that_needs_a_restart_is_named(caplog):
    caplog.set_level("INFO")
    site = Site()
    site.found = Settings(address="b:2")
    site.watch.reload(signalled=False)
    assert caplog.records[0].restart_needed == ("address",)


def test_a_file_that_did_not_change_is_told_of_only_after_a_signal(caplog):
    caplog.set_level("INFO")
    site = Site()
    site.watch.reload(signalled=False)
    assert list_lines(caplog) == []
    site.watch.reload(signalled=True)
    assert list_lines(caplog) == [("settings reread", ())]
    assert site.applied == []


def test_wrong_settings_change_nothing_and_are_told_of_once(caplog):
    site = Site()
    site.found = None
    site.watch.reload(signalled=False)
    site.watch.reload(signalled=False)
    (record,) = caplog.records
    assert "lease: 'x' is no number" in record.cause
    assert site.watch.current == Settings()


def test_a_signal_has_the_file_read_at_once():
    async def play():
        site = Site()
        loop = asyncio.create_task(site.watch.run())
        await asyncio.sleep(0)
        site.found = Settings(lease=3.0)
        site.watch.request_reload()
        for _ in range(5):
            await asyncio.sleep(0)
        loop.cancel()
        return site.applied

    assert asyncio.run(play()) == [Settings(lease=3.0)]
