"""Processes of the product on machines with little memory and few descriptors, over loopback.

Settings come from the templates of `deploy/`, filled in as the platform fills them in, so a machine
of these tests differs from one of a deployment in its limits only.
"""

import asyncio
import re
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from entry_processes import ROOT, launch

FILE_DESCRIPTORS = 200  # of a machine's, reserved for files; sockets share the remainder
MB = 1_000_000
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
LISTENERS = {
    "Frontend": 8005,
    "Ready": 8002,
    "Directory": 8009,
}
PEER_PORT = 7700
OPERATOR_PORT = 7715


@dataclass(frozen=True)
class MachineLimits:
    """What a process may use: resident memory, and descriptors of which some are for files."""

    memory_mb: int
    descriptors: int

    @property
    def sockets(self) -> int:
        """The descriptors that are left for sockets."""
        return self.descriptors - FILE_DESCRIPTORS


ENTRY_LIMITS = MachineLimits(memory_mb=152, descriptors=700)
AGENT_LIMITS = MachineLimits(memory_mb=168, descriptors=700)


def fill_in(template: str, fields: Mapping[str, Any]) -> str:
    """Return a template of `deploy/` with its placeholders and sections replaced."""

    def value(path: str) -> Any:
        found: Any = fields
        for name in path.split("."):
            found = found.get(name) if isinstance(found, Mapping) else found[int(name)]
            if found is None:
                return None
        return found

    def section(match: re.Match[str]) -> str:
        found = value(match[1])
        if not found:
            return ""
        if isinstance(found, Mapping):
            lines = [f"{key}:{each}" for key, each in found.items()]
            return ",".join(lines)
        return match[2]

    def placeholder(match: re.Match[str]) -> str:
        found = value(match[1])
        return "" if found is None else str(found)

    return PLACEHOLDER.sub(placeholder, SECTION.sub(section, template))


def platform_fields(ip: str, store: str, limits: MachineLimits, target: str = "") -> dict[str, Any]:
    """Return the settings that the platform gives to a process on a machine."""
    return {
        "NodeName": f"node-{ip}",
        "IpAddress": ip,
        "Zone": "hall",
        "Zones": {"hall": "north"},
        "ListenAddresses": {name: f"{ip}:{port}" for name, port in LISTENERS.items()},
        "InternalPortRange": [PEER_PORT, OPERATOR_PORT],
        "Bootstrap": "true",
        "Limits": {
            "MemoryMb": limits.memory_mb,
            "FileDescriptors": limits.descriptors,
            "LinkMbps": 1000.0,
        },
        "Platform": {"Address": store},
        "Bounds": {
            "ConfigurationApplyMs": 2000,
            "RevocationMs": 5000,
            "GracePeriodS": 8,
            "RetryBudgetRatio": 0.2,
            "BudgetExtraRetries": 104,
            "BudgetWindowS": 10,
            "version_ms": 8000,
        },
        "app": target,
        "Service": "writer",
    }


@dataclass(frozen=True)
class Usage:
    """The most resident memory that a process has had, and how many sockets it has open."""

    peak_mb: float
    sockets: int

    def __str__(self) -> str:
        return f"peak {self.peak_mb:.0f} MB, {self.sockets} sockets"


def usage_of(pid: int) -> Usage:
    """Return what a process uses."""
    status = Path(f"/proc/{pid}/status").read_text()
    peak_mb = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024 / MB
    sockets = sum(_is_socket(link) for link in Path(f"/proc/{pid}/fd").iterdir())
    return Usage(peak_mb, sockets)


def limit_descriptors(pid: int, limits: MachineLimits) -> None:
    """Have the system refuse a process more descriptors than its machine has."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limits.descriptors, limits.descriptors))


class ProductProcess:
    """One process of the product, limited to the descriptors of its machine."""

    def __init__(
        self, arguments: list[str], settings: Path, log_path: Path, limits: MachineLimits
    ) -> None:
        self.limits = limits
        self.log_path = log_path
        self._arguments = arguments
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None, "call start() first"
        return self._process.pid

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def usage(self) -> "Usage":
        """What the process uses."""
        return usage_of(self.pid)

    async def start(self) -> None:
        """Start the process."""
        self._process = await launch(self._arguments, self._settings, self.log_path)
        limit_descriptors(self.pid, self.limits)

    async def close(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def fleet_process(
    role: str, ip: str, store: str, limits: MachineLimits, folder: Path, target: str = ""
) -> ProductProcess:
    """Return an entry or an agent of a declared fleet, with the settings of `deploy/`."""
    fields = platform_fields(ip, store, limits, target)
    settings = folder / f"{role}-{ip}.ini"
    settings.write_text(fill_in((ROOT / "deploy" / f"{role}.ini").read_text(), fields))
    arguments = ["-m", "lacewinggw_platform", role]
    return ProductProcess(arguments, settings, folder / f"{role}-{ip}.log", limits)


def _is_socket(link: Path) -> bool:
    try:
        return str(link.readlink()).startswith("socket:")
    except FileNotFoundError:  # closed meanwhile
        return False
