"""What the callers of a soak send, and the routes that its operators declare and change."""

import asyncio
import math
import random
from copy import deepcopy

from kept_callers import Wanted
from platform_standins import DESK, LLM, MODEL, StoreStandIn, manifest
from soak_fleet import BENCH, SCRIBE, STREAM_SERVICES

OTHER_KEY = "key-of-drivers"
IDLE_SHARE = 0.8  # of the idle limit that callers use at most
MIN_GAP_S = 2.0  # callers give a stream up after the longest of these gaps
GAP_OBJECTIVES = 4.0
GAP_PAUSES = 8.0
NO_GAP_S = 60.0  # callers wait for a plain answer as long as they have time
IN_FORCE_S = 6.0  # time after which entries have the newest routes, also beside an outage


class Declared:
    """The routes that are in force, and changes of them that leave all requests allowed."""

    def __init__(self, store: StoreStandIn, rng: random.Random, is_anonymous: bool) -> None:
        self._store = store
        self._rng = rng
        self.body = manifest(3)
        report = self.body["Routes"][0]
        self.body["Routes"].append(
            {**report, "Name": "once", "Prefix": "/report-once/", "ResumeStreams": False}
        )
        for route in self.body["Routes"]:
            route["AllowAnonymous"] = is_anonymous
            route["TimeoutMs"] = 6000 if route["Kind"] == "streaming" else 3000
        services = self.body["Services"]
        services.append({**services[0], "Name": SCRIBE})
        services.append({**services[1], "Name": BENCH})
        self.changes_timeouts = True
        self._services = list(services)
        self._published: list[tuple[float, dict]] = []

    @property
    def idle_limit_s(self) -> float:
        return self.body["Limits"]["IdleTimeoutMs"] / 1000

    def route(self, name: str) -> dict:
        return next(route for route in self.body["Routes"] if route["Name"] == name)

    @property
    def body_limit(self) -> int:
        """The largest body that all routes allow which an entry may still have."""
        return min(limits["MaxBodyBytes"] for limits in self._limits_in_force())

    @property
    def head_s(self) -> float:
        """The shortest time to send a head, by the routes which an entry may still have."""
        return min(limits["HeaderTimeoutMs"] for limits in self._limits_in_force()) / 1000

    def _limits_in_force(self) -> list[dict]:
        """Return the limits of the newest routes and of those replaced a short time ago."""
        since = _now() - IN_FORCE_S
        ends = [at for at, _ in self._published[1:]] + [math.inf]
        return [
            limits for (_, limits), end in zip(self._published, ends, strict=True) if end >= since
        ]

    def publish(self) -> None:
        self._published.append((_now(), deepcopy(self.body["Limits"])))
        self.body["Version"] += self._rng.randint(1, 3)
        self._store.put("op", "config", deepcopy(self.body))

    def change(self) -> None:
        """Change something at random and publish it."""
        changes = [
            self._move_service,
            self._change_route,
            self._change_accounts,
            self._change_limits,
            self._change_other_routes,
            self._change_services,
        ]
        self._rng.choice(changes)()
        self.publish()

    def _move_service(self) -> None:
        route = self._rng.choice(self.body["Routes"][:4])
        is_stream = route["Kind"] == "streaming"
        route["Service"] = self._rng.choice(STREAM_SERVICES if is_stream else (DESK, BENCH))
        self.body["Services"] = list(self._services)

    def _change_services(self) -> None:
        """Limit the connections of services; remove those that no route uses, or add them."""
        used = {route["Service"] for route in self.body["Routes"]} | {LLM, DESK, "ledger"}
        drop = self._rng.random() < 0.5
        for service in self._services:
            if "Origin" not in service:
                service["ConnectionLimit"] = self._rng.choice([8, 50])
        self.body["Services"] = [
            service for service in self._services if not drop or service["Name"] in used
        ]

    def _change_route(self) -> None:
        route = self._rng.choice(self.body["Routes"][:4])
        changes: list[tuple[str, tuple[int, ...]]] = [
            ("Attempts", (1, 2, 3)),
            ("TargetLatencyMs", (200, 400, 800)),
            ("Priority", (0, 1, 2)),
        ]
        if self.changes_timeouts:
            changes.append(("TimeoutMs", (2500, 4000, 6000, 9000)))
        field, values = self._rng.choice(changes)
        route[field] = self._rng.choice(values)

    def _change_accounts(self) -> None:
        tenants = self.body["Tenants"]
        tenants[0]["Priority"] = self._rng.randint(0, 2)
        del tenants[1:]
        if self._rng.random() < 0.5:
            tenants.append({"Name": "drivers", "ApiKeys": [OTHER_KEY], "Priority": 2})

    def _change_limits(self) -> None:
        limits = self.body["Limits"]
        limits["IdleTimeoutMs"] = self._rng.choice([1000, 2000, 5000])
        limits["MaxBodyBytes"] = self._rng.choice([5000, 10000, 100000])
        limits["HeaderTimeoutMs"] = self._rng.choice([500, 1000])

    def _change_other_routes(self) -> None:
        count = self._rng.choice([0, 5, 200])
        del self.body["Routes"][4:]
        for number in range(count):
            self.body["Routes"].append(
                {**self.route("tally"), "Name": f"other-{number}", "Prefix": f"/tally/{number}/"}
            )


class Requests:
    """Draws the requests of callers and the time between them."""

    def __init__(self, declared: Declared, rng: random.Random, key: str) -> None:
        self._declared = declared
        self._rng = rng
        self._key = key

    def draw(self) -> Wanted:
        name, path = self._rng.choices(
            [("report", "/report/"), ("once", "/report-once/"), ("sheet", "/sheet/")]
            + [("tally", "/tally/")],
            weights=(4, 2, 2, 2),
        )[0]
        route = self._declared.route(name)
        is_stream = route["Kind"] == "streaming"
        gap_s = max(
            MIN_GAP_S,
            GAP_OBJECTIVES * route["TargetLatencyMs"] / 1000,
            GAP_PAUSES * route.get("TargetGapMs", 0) / 1000,
        )
        left_s = self._rng.choice([4.0, 6.0, 8.0] if is_stream else [1.5, 3.0, 6.0])
        headers = {"X-Model": MODEL, "X-Token-Counts": "200,48"} if is_stream else {}
        if self._key:
            headers["X-Key"] = self._key
        path += str(self._rng.randrange(300))
        length = self._rng.choice([0, 0, round(0.9 * self._declared.body_limit)])
        send_s = self._rng.choice([0.0, 0.0, 0.0, 0.5 * self._declared.head_s])
        gap_s = gap_s if is_stream else NO_GAP_S
        return Wanted("POST", path, left_s, gap_s, headers, length, send_s)

    def pause(self) -> float:
        if self._rng.random() < 0.9:
            return self._rng.uniform(0.0, 0.3)
        return self._rng.uniform(0.0, IDLE_SHARE * self._declared.idle_limit_s)


def _now() -> float:
    return asyncio.get_running_loop().time()
