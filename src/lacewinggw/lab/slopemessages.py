"""What messages between our processes cost: bytes of a whole frame, and processor time.

A frame's time is that of encoding it once and decoding it once.
"""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lacewinggw.decisions.revisions import change_of
from lacewinggw.generated.messages import ttypes as messages
from lacewinggw.generated.messages.ttypes import FrameKind
from lacewinggw.lab.configslopes import change_entry
from lacewinggw.lab.measuring import Slope, Slopes, processor_us
from lacewinggw.wire.frames import (
    LENGTH_BYTES,
    Message,
    decode_frame,
    encode_frame,
    message_of,
)

KIB = 1024
DIGEST = "9f" * 32
REVISION = 34_000
PIECE = b'data: {"text": "lambs", "index": 17}\n\n'
CHUNK_SIZES_KIB = (16, 64, 256, 1024)


@dataclass(frozen=True)
class MessageFamily:
    """Messages of one kind that grow with a size; `per` names the size."""

    per: str
    sizes: tuple[int, ...]
    make: Callable[[int], Message]
    kind: FrameKind = FrameKind.NOTIFY


def heartbeat(reports: int = 0, number: int = 1) -> messages.Heartbeat:
    """Return the heartbeat of a target that serves, with as many reports of a spread."""
    return messages.Heartbeat(
        f"host-{number:05}",
        "lautoka-hall",
        f"{number:016x}",
        "bulletin-writer",
        "market-7",
        DIGEST,
        messages.TargetState.SERVING,
        messages.Load(6, 2, 8, 120, 14.5, 812.5, 1),
        [_spread_report() for _ in range(reports)],
        86_400,
        DIGEST,
    )


def _spread_report() -> messages.SpreadReport:
    return messages.SpreadReport(
        "market-8", DIGEST, 512, 1024, 1 << 30, 0, 8 << 30, 7 << 30, 1 << 30, 2, 0, [], 1.2e8, ""
    )


def _update(entries: int) -> messages.LogNews:
    return messages.LogNews([change_entry(REVISION + n) for n in range(entries)], REVISION)


def _wave(assignments: int) -> messages.LogNews:
    assigned = [
        messages.Assignment(f"host-{number:05}", "bulletin-writer", "market-7", "market-8")
        for number in range(assignments)
    ]
    place = change_of(messages.Place("bulletin-writer", assigned, "change over", []))
    entry = messages.LogEntry(REVISION, "c" * 24, "entry-17", 0, REVISION - 1, [place], "")
    return messages.LogNews([entry], REVISION)


def manifest_of(chunks: int) -> messages.Manifest:
    """Return a manifest of that many chunks."""
    hashes = [hashlib.sha256(str(number).encode()).digest() for number in range(chunks)]
    return messages.Manifest("market-7", DIGEST, hashes, [1 << 23] * chunks)


def _manifest_data(chunks: int) -> messages.ManifestData:
    return messages.ManifestData(manifest_of(chunks))


def _have_all(chunks: int) -> messages.Have:
    return messages.Have(DIGEST, 17, bytes(-(-chunks // 8)), [], False, 3)


def _have_delta(added: int) -> messages.Have:
    return messages.Have(DIGEST, 17, None, [7 * number for number in range(added)], False, 3)


def _chunk(size_kib: int) -> messages.ChunkData:
    return messages.ChunkData(DIGEST, 700, bytes(size_kib * KIB))


def _offer(body_bytes: int) -> messages.Offer:
    head = messages.RequestHead(
        f"{7:032x}",
        "bulletin-writer",
        "saleyard",
        deadline_ms=20_000,
        repeatable=True,
        path="/generate",
        stream=True,
        prefix_blocks=[f"{number:016x}" for number in range(8)],
    )
    return messages.Offer(head, bytes(body_bytes))


def _pieces(count: int) -> messages.Pieces:
    return messages.Pieces(700, [PIECE] * count)


def _demand(accounts: int) -> messages.Demand:
    told = [
        messages.AccountDemand(f"account-{number}", 43.5, 41.25, 17) for number in range(accounts)
    ]
    return messages.Demand("entry-0017", 86_400, told)


FAMILIES: Mapping[str, MessageFamily] = {
    "heartbeat": MessageFamily("spread report carried", (0, 1, 2), heartbeat),
    "log_news": MessageFamily("log entry", (1, 8, 32, 100), _update),
    "placement_news": MessageFamily("host placed", (1, 125, 1000), _wave),
    "manifest": MessageFamily("chunk of the manifest", (64, 512, 4096), _manifest_data),
    "have_all": MessageFamily("chunk of the manifest", (64, 512, 4096), _have_all),
    "have_delta": MessageFamily("chunk added", (1, 8, 64), _have_delta),
    "chunk": MessageFamily("KiB of a chunk", CHUNK_SIZES_KIB, _chunk, FrameKind.LAST),
    "offer": MessageFamily("byte of the request's body", (100, 1000, 10_000), _offer),
    "pieces": MessageFamily("piece in one frame", (1, 4, 16), _pieces, FrameKind.REPLY),
    "demand": MessageFamily("account", (1, 10, 100), _demand),
}


def measure_messages() -> Slopes:
    """Return bytes and microseconds of each family, as `<family>_bytes` and `<family>_us`."""
    found: Slopes = {}
    for name, family in FAMILIES.items():
        found[f"{name}_bytes"] = _slope(
            family, "bytes", lambda message, kind: len(_encode(message, kind))
        )
        found[f"{name}_us"] = _slope(family, "us", _frame_us)
    found["chunk_hash_us"] = Slope.measure("us", "KiB of a chunk", CHUNK_SIZES_KIB, _hash_us)
    return found


def _slope(family: MessageFamily, unit: str, cost: Callable[[Message, FrameKind], float]) -> Slope:
    return Slope.measure(
        unit, family.per, family.sizes, lambda size: cost(family.make(size), family.kind)
    )


def _encode(message: Message, kind: FrameKind) -> bytes:
    return encode_frame(17, kind, REVISION, message)


def _frame_us(message: Message, kind: FrameKind) -> float:
    def there_and_back() -> Message:
        return message_of(decode_frame(_encode(message, kind)[LENGTH_BYTES:]))

    return processor_us(there_and_back)


def _hash_us(size_kib: int) -> float:
    data = bytes(size_kib * KIB)
    return processor_us(lambda: hashlib.sha256(data).digest())
