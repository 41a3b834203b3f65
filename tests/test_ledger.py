"""The configuration log: acceptance, following, snapshots and recovery, under virtual time."""

import pytest
from config_fleet import release, running

pytestmark = pytest.mark.looptime


async def test_an_accepted_command_is_in_force_everywhere() -> None:
    async with running(entries=8, agents=8) as fleet:
        entry = await fleet.entries[0].accept(release("m1"), command="one")
        assert entry.revision == 1
        assert await fleet.settle(1) < 2.0
        assert all("m1" in node.config.state.releases for node in fleet.nodes())


async def test_a_repeated_command_is_answered_with_its_revision() -> None:
    async with running(entries=3) as fleet:
        first = await fleet.entries[0].accept(release("m1"), command="one")
        await fleet.settle(1)
        again = await fleet.entries[1].accept(release("m1"), command="one", read=0)
        assert again.revision == first.revision
        assert fleet.entries[1].ledger.revision == 1
