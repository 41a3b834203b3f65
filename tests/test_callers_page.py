"""Every example of docs/CALLERS.md, run against a fleet."""

import argparse
import json
import re
import shlex
import string
from dataclasses import dataclass
from pathlib import Path

from request_fleet import TOKEN, RequestFleet, request_fleet
from virtual import run_virtual

from lacewinggw.wire.http import HttpClient, Response

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CALLERS.md"
EXAMPLE = re.compile(r"```sh\n(.*?)```\n\n```http\n(.*?)```", re.DOTALL)


@dataclass(frozen=True)
class Example:
    """A curl command of the page, and the response that the page shows."""

    command: str
    status: int
    lines: list[str]


def read_examples() -> list[Example]:
    found = EXAMPLE.findall(PAGE.read_text())
    examples = [(command, *shown.splitlines()) for command, shown in found]
    return [Example(command, int(status), lines) for command, status, *lines in examples]


async def run_curl(client: HttpClient, command: str, values: dict[str, str]) -> Response:
    parser = argparse.ArgumentParser()
    for flag in ("-s", "-i", "-N"):
        parser.add_argument(flag, action="store_true")
    parser.add_argument("-X")
    parser.add_argument("-H", action="append", default=[])
    parser.add_argument("-d", default="")
    parser.add_argument("url")
    filled = string.Template(command).substitute(values)
    args = parser.parse_args(shlex.split(filled.replace("\\\n", ""))[1:])
    address, _, path = args.url.removeprefix("http://").partition("/")
    headers = dict(header.split(": ", 1) for header in args.H)
    method = args.X or ("POST" if args.d else "GET")
    return await client.request(address, method, f"/{path}", headers, args.d.encode())


def check(example: Example, response: Response) -> None:
    assert response.status == example.status, (example.command, response)
    for line in example.lines:
        if line.startswith("{"):
            assert response.json().keys() == json.loads(line).keys()
        elif line.startswith("event: "):
            assert line in response.content.decode().splitlines()
        else:
            name, value = line.split(": ", 1)
            assert response.headers[name] == value


async def run_page(fleet: RequestFleet) -> int:
    entry = fleet.entries[0]
    client = HttpClient(fleet.network.view("10.8.0.1"))
    values = {"ENTRY": entry.caller_address, "TOKEN": TOKEN, "REQUEST_ID": "", "TICKET": ""}
    examples = read_examples()
    for example in examples:
        response = await run_curl(client, example.command, values)
        check(example, response)
        if response.headers.get("outcome") == "answered":
            values["REQUEST_ID"] = response.headers["request-id"]
        if response.status == 201:
            values["TICKET"] = response.json()["ticket"]
    await client.close()
    return len(examples)


def test_every_example_matches_its_response() -> None:
    async def body() -> int:
        async with request_fleet(engines=1, plains=1) as fleet:
            return await run_page(fleet)

    assert run_virtual(body()) == PAGE.read_text().count("```sh")
