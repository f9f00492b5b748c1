"""Claims of the cell by members of a group that the store lists late."""

import asyncio

import pytest

from plantainhinge.adapters.stream_http_client import HttpClient
from plantainhinge.daemons.ownership import Ownership
from plantainhinge.jobs.ownership import OwnerRecord, encode_owner
from plantainhinge.platform.store import Store
from standins.addresses import find_free_address
from standins.platform_store import StandInStore


@pytest.mark.parametrize("pause", [0.05, 0.2, 0.4])
def test_a_cell_whose_owner_is_gone_is_claimed_by_a_member_listed_late(pause):
    """The store lists a new member once others have given partitions up."""

    async def scenario():
        store = StandInStore(find_free_address())
        await store.start()
        gone = OwnerRecord(2, "i9/gone/h:1/100")
        store.put("keyed.cells", "owner", encode_owner(gone))
        claimed = asyncio.Event()

        async def note_claim(epoch):
            claimed.set()

        async def do_nothing():
            pass

        tasks = []
        for index in range(3):
            ownership = Ownership(
                log=Store(HttpClient(store.address), HttpClient(store.address), 1.0),
                member=f"i{index}/x/h:{index + 2}/100",
                on_acquired=note_claim,
                on_lost=lambda reason: None,
                before_release=do_nothing,
            )
            tasks += [
                asyncio.create_task(ownership.run()),
                asyncio.create_task(ownership.watch()),
            ]
            await asyncio.sleep(pause)
        try:
            async with asyncio.timeout(8):
                await claimed.wait()
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(scenario())
