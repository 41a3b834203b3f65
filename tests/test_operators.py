"""The operators' listener of an entry: commands, queries and refusals over HTTP."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import pytest
from operator_desk import open_desk

from lacewinggw.clients.membership import MemberRole
from lacewinggw.decisions.revisions import change_of
from lacewinggw.errors import (
    AcceptanceUnknown,
    BadDeclaration,
    BadToken,
    ConfigurationConflict,
    LacewingError,
    MalformedHttp,
    UnknownName,
)
from lacewinggw.generated.messages.ttypes import Place
from lacewinggw.ids import Address
from lacewinggw.lab.memory import MemoryNetwork
from lacewinggw.operators import shell
from lacewinggw.operators.client import EntryClient
from lacewinggw.operators.declarations import read_declarations
from lacewinggw.wire.http import HttpClient, Request, Response
from lacewinggw.wire.httpserver import HttpServer
from lacewinggw.wire.problems import problem_body, problem_headers

pytestmark = pytest.mark.looptime


@dataclass(frozen=True)
class Options:
    """The shell's options, which these cases do not vary."""

    entries: tuple[Address, ...] = ()
    token: str = ""
    timeout_s: float = 10.0
    json: bool = False


OPTIONS = Options()


async def test_a_release_and_a_service_are_declared_and_shown() -> None:
    async with open_desk() as desk:
        alice = desk.clients[0]
        words = "create release market-7; create service desk release market-7 replicas 3"
        accepted = await alice.command(words, "c1", 0)
        assert accepted["revision"] == 1
        assert accepted["author"] == "alice"
        answer = await alice.query("show services name, goals, declared, placed")
        assert answer["rows"] == [["desk", "3 on market-7", 3, 0]]


async def test_a_command_given_again_at_another_entry_is_answered_with_its_revision() -> None:
    async with open_desk() as desk:
        alice, bob = desk.clients
        first = await alice.command("create release market-7", "c1", 0)
        again = await bob.command("create release market-7", "c1", 0)
        assert (first["revision"], again["revision"]) == (1, 1)
        assert again["author"] == "alice"


async def test_two_operators_at_once_are_told_both_values() -> None:
    async with open_desk() as desk:
        alice, bob = desk.clients
        words = "create release market-7; create service desk release market-7 replicas 3"
        await alice.command(words, "c1", 0)
        await desk.fleet.settle(1)
        results = await asyncio.gather(
            alice.command("set service desk replicas 4", "c2", 1),
            bob.command("set service desk replicas 5", "c3", 1),
            return_exceptions=True,
        )
        refused = next(each for each in results if isinstance(each, ConfigurationConflict))
        assert "4 on market-7" in refused.reason and "5 on market-7" in refused.reason
        assert desk.fleet.entries[0].ledger.revision == 2


async def test_commands_of_one_body_are_all_accepted_or_none() -> None:
    async with open_desk() as desk:
        words = "create release market-7; set service desk replicas 3"
        with pytest.raises(UnknownName):
            await desk.clients[0].command(words, "c1", 0)
        assert desk.fleet.entries[0].ledger.revision == 0


async def test_without_a_token_nothing_is_told() -> None:
    async with open_desk() as desk:
        stranger = EntryClient(desk.fleet.network, [desk.servers[0].address], "guess", 5.0)
        with pytest.raises(BadToken):
            await stranger.query("show services")
        await stranger.close()


async def test_a_release_that_the_origin_lacks_is_refused() -> None:
    async with open_desk() as desk:
        with pytest.raises(UnknownName, match="the origin has no release market-9"):
            await desk.clients[0].command("create release market-9", "c1", 0)


@pytest.mark.parametrize("body", [b"", b"{", b"[1]", b"[" * 100_000, b'{"words": 7}', b"\xff"])
async def test_a_body_that_is_no_question_is_refused(body: bytes) -> None:
    async with open_desk() as desk:
        client = HttpClient(desk.fleet.network)
        headers = {"authorization": "Bearer secret-a"}
        for path in ("/v1/query", "/v1/commands"):
            response = await client.request(desk.servers[0].address, "POST", path, headers, body)
            assert response.status == 400
            assert response.json()["code"] == MalformedHttp.code
        await client.close()


async def test_a_command_with_an_id_needs_its_read_revision() -> None:
    async with open_desk() as desk:
        client = HttpClient(desk.fleet.network)
        headers = {"authorization": "Bearer secret-a"}
        body = b'{"words": "create release market-7", "command_id": "c1"}'
        address = desk.servers[0].address
        response = await client.request(address, "POST", "/v1/commands", headers, body)
        assert response.status == 400
        assert response.json()["code"] == MalformedHttp.code
        await client.close()


async def test_apply_makes_one_revision_and_a_second_apply_none(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "market-7.ini").write_text("[release]\nname = market-7\n")
    desk_file = tmp_path / "desk.ini"
    desk_file.write_text("[service]\nname = desk\nreplicas = 3 on market-7\nfloor = 75%\n")
    async with open_desk() as desk:
        alice = desk.clients[0]
        assert await shell.plan(alice, OPTIONS, tmp_path, check=True) == 1
        assert await shell.apply(alice, OPTIONS, tmp_path, None) == 0
        assert await shell.apply(alice, OPTIONS, tmp_path, None) == 0
        assert await shell.plan(alice, OPTIONS, tmp_path, check=True) == 0
        assert desk.fleet.entries[0].ledger.revision == 1
        out = capsys.readouterr().out
        assert "create service desk release market-7 replicas 3 prefer time floor 75%" in out
        await alice.command("set service desk replicas 5", "c9", 1)
        desk_file.write_text("[service]\nname = desk\nreplicas = 4 on market-7\nfloor = 75%\n")
        with pytest.raises(ConfigurationConflict, match="5 on market-7"):
            await shell.apply(alice, OPTIONS, tmp_path, 1)


@pytest.mark.parametrize(
    ("text", "met"),
    [
        ("[service]\nname = desk\n", "replicas: the value is missing"),
        ("[service]\nreplicas = six on m\n", "'six on m' cannot be read"),
        ("[service]\nreplicas = 1 on m\nfloor = 50\n", "'50' is not a share"),
        ("[service]\nreplicas = 1 on m\ncolour = red\n", "colour: there is no such key"),
        ("[host]\nname = h\n", "[release] or [service]"),
    ],
)
def test_a_declaration_that_cannot_be_used_names_file_key_and_remedy(
    tmp_path: Path, text: str, met: str
) -> None:
    (tmp_path / "desk.ini").write_text(text)
    with pytest.raises(BadDeclaration) as caught:
        read_declarations(tmp_path)
    assert met in caught.value.reason
    assert "desk.ini" in caught.value.reason


async def test_explain_names_who_drained_a_host_not_who_moved_its_replicas() -> None:
    async with open_desk() as desk:
        alice = desk.clients[0]
        members = desk.fleet.members
        host = next(each.host for each in members if each.role is MemberRole.AGENT)
        words = "create release market-7; create service desk release market-7 replicas 1"
        await alice.command(words, "c0", 0)
        await alice.command(f"drain host {host}", "c1", 1)
        [ledger, *_] = [entry.ledger for entry in desk.fleet.entries]
        moved = Place("desk", [], f"replaces {host}", [])
        await ledger.accept(
            [change_of(moved)],
            words=f"place desk: nothing without {host} (replaces {host})",
            author="entry entry-1",
            read_revision=2,
            command_id="c2",
        )
        answer = await alice.query(f"explain host {host}")
        assert any("drained by alice at revision 2" in line for line in answer["lines"])


async def test_a_question_about_the_fleet_is_answered_with_what_other_entries_hear() -> None:
    async with open_desk(placing=True) as desk:
        alice = desk.clients[0]
        words = "create release market-7; create service desk release market-7 replicas 3"
        await alice.command(words, "c1", 0)
        await asyncio.sleep(10)
        desk.stop_serving()
        desk.views[0].beats.clear()
        answer = await alice.query("show services name, serving")
        assert answer["rows"] == [["desk", 3]]
        assert (await alice.query("wait service desk"))["done"]
        gauges = desk.fleet.entries[1].metrics.snapshot().gauges
        assert gauges['service_replicas{kind="serving",service="desk"}'] == 3


async def test_a_refusal_after_a_doubt_leaves_the_doubt() -> None:
    network = MemoryNetwork()
    answers = [AcceptanceUnknown("no answer"), UnknownName("there is no release m")]
    servers = []
    for number, error in enumerate(answers):

        async def answer(_: Request, error: LacewingError = error) -> Response:
            return Response(error.http_status, problem_headers(error), problem_body(error))

        servers.append(HttpServer(network, f"10.0.0.{number + 1}:0", answer))
        await servers[-1].start()
    client = EntryClient(network, [server.address for server in servers], "token", 5.0)
    with pytest.raises(AcceptanceUnknown):
        await client.command("set service desk release m", "c1", 5)
    await client.close()
    for server in servers:
        await server.close()
