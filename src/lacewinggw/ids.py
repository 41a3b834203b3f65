"""Identifiers: one `NewType` each, so that mypy distinguishes a host from a place."""

import random
from ipaddress import ip_address
from typing import NewType

HostId = NewType("HostId", str)
Place = NewType("Place", str)
Region = NewType("Region", str)  # groups places
Address = NewType("Address", str)  # "ip:port"
ServiceName = NewType("ServiceName", str)
ReleaseName = NewType("ReleaseName", str)
Digest = NewType("Digest", str)  # lower-case hexadecimal SHA-256
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
ContentId = NewType("ContentId", str)  # of what may crash targets: a request or a prompt part
SuspectGroup = NewType("SuspectGroup", str)  # of requests with the same suspected contents
RequestDigest = NewType("RequestDigest", ContentId)  # the same for each attempt of a request
PromptPartId = NewType("PromptPartId", str)  # as callers send it; the same in all prompts
Account = NewType("Account", str)
CommandId = NewType("CommandId", str)
RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)
TargetName = NewType("TargetName", str)  # as operators list it; may stay the same across a restart
TargetId = NewType("TargetId", str)  # of one incarnation of a target; changes with each restart
Revision = NewType("Revision", int)
Nonce = NewType("Nonce", bytes)
LeaseId = NewType("LeaseId", int)  # of a slot at one target, numbered by the target's agent

MAX_PORT = 65535
ID_BITS = 96
NONCE_BYTES = 16


def _hex_id(source: random.Random) -> str:
    return f"{source.getrandbits(ID_BITS):0{ID_BITS // 4}x}"


def new_incarnation(source: random.Random) -> Incarnation:
    """Return a new incarnation; each process generates one when it starts."""
    return Incarnation(_hex_id(source))


def new_request_id(source: random.Random) -> RequestId:
    """Return a new request id."""
    return RequestId(_hex_id(source))


def new_command_id(source: random.Random) -> CommandId:
    """Return a new command id, used to look up the outcome when a reply is lost."""
    return CommandId(_hex_id(source))


def new_nonce(source: random.Random) -> Nonce:
    """Return a new nonce. In production the source must be `random.SystemRandom()`."""
    return Nonce(source.randbytes(NONCE_BYTES))


def new_nonce_text(source: random.Random) -> str:
    """Return a new nonce as hexadecimal text, for reservations and tickets."""
    return new_nonce(source).hex()


def split_address(address: Address | str) -> tuple[str, int]:
    """Split "ip:port" into its parts.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)

    An IPv6 address is enclosed in brackets. Raise `ValueError` when there is no port number, or one
    that does not exist. Port 0 is for listeners, and lets the system choose one.
    """
    host, separator, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not separator or not is_number or int(port) > MAX_PORT:
        raise ValueError(f"{address!r} is not an address; write ip:port, as in 127.0.0.1:8080")
    return host.removeprefix("[").removesuffix("]"), int(port)


def parse_ip_address(address: Address | str) -> tuple[str, int]:
    """Split an address that can be connected to: a numeric IP address, and a port above 0.

    Raise `ValueError` for any other address. Names are not looked up.
    """
    host, port = split_address(address)
    if not port:
        raise ValueError(f"{address!r} has no port to connect to")
    ip_address(host)
    return host, port


def join_address(host: str, port: int) -> Address:
    """Join an IP address and a port into "ip:port"."""
    return Address(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
