"""Random schedules of targets and callers: what each request is sent, and what its attempts leave.

Each seed is a schedule of a few requests at a few targets, which delay, pause, break off, answer
with errors or refuse, while callers leave, read slowly or run out of time.
"""

import asyncio
import math
import random
import time
from collections import Counter
from contextlib import aclosing
from dataclasses import dataclass, field, replace

import pytest
from structlog.testing import capture_logs

from lacewinggw.decisions.dispatch import TargetPool
from lacewinggw.decisions.ejection import EjectionRules
from lacewinggw.decisions.routes import RetryPolicy, Route, ServiceShare
from lacewinggw.decisions.targetlist import TargetEntry
from lacewinggw.errors import LacewingError, RequestQuarantined, RequestRefused
from lacewinggw.frontend.admission import AdmittedRequest
from lacewinggw.frontend.attempts import RelayDependencies, RequestAttempts, StreamPart
from lacewinggw.frontend.calls import AnswerFacts, Call, CallFacts
from lacewinggw.frontend.dispatchqueue import DispatchQueue
from lacewinggw.frontend.offers import Answer, NotExecuted, OutcomeUnknown
from lacewinggw.frontend.requestplacer import RequestPlacer, RetryLimits
from lacewinggw.frontend.requeststate import RequestProgress
from lacewinggw.frontend.signal import Signal
from lacewinggw.frontend.slots import SlotAnswer
from lacewinggw.metrics import Metrics

pytestmark = pytest.mark.looptime

SERVICE = "reports"
EVENTS = 8
SEALED = {"x-response-seal": "seal"}
GAPS_S = [0.0, *[0.01] * 9, *[0.05] * 8, 0.3, 0.3, 0.7, 1.3, 2.5]  # some beyond the idle timeout
SCHEDULES = 80  # per kind of request and kind of schedule
LIMITS = RetryLimits(share=0.2, extra=2.0, window_s=1000.0)  # longer than any schedule
POLICIES = [
    pytest.param(RetryPolicy.RESUMABLE, True, id="resumable-stream"),
    pytest.param(RetryPolicy.NEVER, True, id="stream"),
    pytest.param(RetryPolicy.IDEMPOTENT, False, id="idempotent"),
    pytest.param(RetryPolicy.NEVER, False, id="once"),
]


class View:
    """No declared services; weights that become too old at a random time, if any."""

    routes = None

    def __init__(self, start_deadline: float) -> None:
        self._start_deadline = start_deadline

    def min_version(self, model, now, begin_s=0.0):
        return 0

    def start_deadline(self, target, model, held=None):
        return self._start_deadline


class Crashes:
    """Quarantines everything from a given time on."""

    def __init__(self, from_s: float) -> None:
        self._from_s = from_s

    def is_quarantined(self, admitted):
        return now() >= self._from_s

    def require_not_quarantined(self, admitted):
        if self.is_quarantined(admitted):
            raise RequestQuarantined("quarantined", retry_after_ms=1000)

    async def wait_until_settled(self, admitted):
        pass

    async def note_connection_lost(self, admitted, entry, began_at):
        await asyncio.sleep(0.03)

    def note_survived(self, admitted, entry, lasted_s, is_whole):
        pass

    def note_running(self, admitted, lasted_s):
        pass


@dataclass(eq=False)
class Run:
    """One run of a request at a target, with the version that its events carry."""

    call_id: str
    version: int
    first: int
    is_open: bool = True
    began_at: float | None = None  # its first event


class Slot:
    """A request for a slot at an agent that lets it wait, and grants or declines it."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._answers = [SlotAnswer.GRANTED if rng.random() < 0.8 else SlotAnswer.DECLINED]
        if rng.random() < 0.5:
            self._answers.insert(0, SlotAnswer.QUEUED)
        self.is_open = True

    async def answer(self) -> SlotAnswer:
        await asyncio.sleep(self._rng.choice([0.001, 0.02, 0.2, 0.6]))
        answer = self._answers.pop(0)
        self.is_open &= answer is not SlotAnswer.DECLINED
        return answer

    def end(self) -> None:
        self.is_open = False


@dataclass
class Schedule:
    """Draws what targets do, and records what they were sent."""

    rng: random.Random
    is_sound: bool
    streams: bool
    runs: list[Run] = field(default_factory=list)
    arrivals: Counter = field(default_factory=Counter)
    received: Counter = field(default_factory=Counter)  # the last event of each caller

    async def send(self, admitted, load, options, timeout_s):
        rng, call_id = self.rng, admitted.facts.call_id
        assert (options.resume_after or 0) == self.received[call_id]
        await asyncio.sleep(rng.choice([0.0, 0.002, 0.05]))
        if now() > options.send_by:
            return NotExecuted("it would begin too late", has_reached_target=False, is_closed=True)
        if not self.is_sound and rng.random() < 0.05:
            return NotExecuted("cannot connect", has_reached_target=False)
        options.on_send()
        self.arrivals[call_id] += 1
        if rng.random() < (0.02 if self.is_sound else 0.15):
            await asyncio.sleep(rng.choice([0.0, 0.01, 1.5]))
            return NotExecuted("the target answered 503", is_full=True)
        run = Run(call_id, rng.choice([1, 2]) if options.version is None else options.version, 1)
        run.first = (options.resume_after or 0) + 1
        self.runs.append(run)
        try:
            wait_s = self._gap()
            await asyncio.sleep(min(wait_s, timeout_s))
            if wait_s > timeout_s:
                run.is_open = False
                return OutcomeUnknown("no answer in time", has_timed_out=True)
            if not self.is_sound and rng.random() < 0.1:
                run.is_open = False
                return OutcomeUnknown("no answer: reset")
        except asyncio.CancelledError:
            run.is_open = False
            raise
        return self._answer(admitted, run, timeout_s)

    def _answer(self, admitted, run, idle_s):
        is_failed = not self.is_sound and self.rng.random() < 0.15
        is_sealed = self.is_sound or self.rng.random() < 0.95
        facts = AnswerFacts(run.call_id, not_run=False, sealed=is_sealed, version=run.version)
        response = Response(self, run, idle_s, self.streams, is_failed)
        return Answer(500 if is_failed else 200, {"version": str(run.version)}, facts, response)

    def _gap(self) -> float:
        return self.rng.choice(GAPS_S)

    def breaks(self) -> bool:
        return not self.is_sound and self.rng.random() < 0.04


class Response:
    """The body of an answer: events with the version of the weights, or a whole body."""

    ends_with_connection = False

    def __init__(
        self, schedule: Schedule, run: Run, idle_s: float, streams: bool, is_failed: bool
    ) -> None:
        self._schedule, self._run, self._idle_s = schedule, run, idle_s
        self._streams, self._is_failed = streams and not is_failed, is_failed

    async def pieces(self, limit_bytes=None):
        if not self._streams:
            yield await self._read_whole()
            return
        rng = self._schedule.rng
        numbers = list(range(self._run.first, EVENTS + 1))
        while numbers:
            await self._wait()
            if self._run.began_at is None:
                self._run.began_at = now()
            count = rng.choice([1, 1, 2, 3])
            sent, numbers = numbers[:count], numbers[count:]
            if len(numbers) > 1 and self._schedule.breaks():  # a faulty target omits an event
                sent, numbers = [*sent, *numbers[1:2]], numbers[2:]
            data = b"".join(event(number, self._run.version) for number in sent)
            if self._schedule.breaks():
                yield data[:-3]
                raise ConnectionResetError("reset")
            yield data
        await self._wait()
        self._run.is_open = False

    async def _read_whole(self):
        await self._wait()
        if not self._is_failed:  # else it ran before its head came
            self._run.began_at = now()
        if self._schedule.breaks():
            raise ConnectionResetError("reset")
        self._run.is_open = False
        return b"whole"

    async def aclose(self):
        self._run.is_open = False

    async def _wait(self):
        gap_s = self._schedule._gap()
        async with asyncio.timeout(self._idle_s):
            await asyncio.sleep(gap_s)


def event(number: int, version: int) -> bytes:
    return f"id: {number}\nversion: {version}\n\n".encode()


WHOLE_STREAM = b"".join(event(number, 1) for number in range(1, EVENTS + 1))


@dataclass
class Outcome:
    """What a caller received, and how its request ended."""

    call_id: str
    status: int = 0
    version: str = ""
    body: bytes = b""
    is_whole: bool = False
    error: LacewingError | None = None
    has_left: bool = False
    is_out_of_time: bool = False


class World:
    """The components of an entry around the attempts, with stand-ins for targets."""

    def __init__(self, seed: int, policy: RetryPolicy, streams: bool, is_sound: bool) -> None:
        rng = self.rng = random.Random(seed)
        self.schedule = Schedule(rng, is_sound, streams)
        self.attempts = rng.choice([1, 2, 2, 3])
        self.is_sound = is_sound
        self.route = Route(
            "route", "notes", "/", policy, streams, 6.0, 0.4, (ServiceShare(SERVICE, 1.0),),
            attempts=self.attempts,
        )  # fmt: skip
        rules = EjectionRules(after_failures=rng.choice([1, 5]), ejection_s=0.5)
        self.pool = TargetPool("hall", rules, rng)
        slots = rng.choice([1, 2, 8])
        entries = [
            TargetEntry(f"i-{n}", SERVICE, f"10.0.0.{n}:1", "hall", slots=slots)
            for n in range(rng.choice([2, 4, 6]))
        ]
        self.pool.sync({each.target: each for each in entries})
        self.slots: list[Slot] = []
        if rng.random() < 0.5:
            for load in self.pool.loads.values():
                load.reported_at = math.inf  # its agent is asked for slots
        metrics = Metrics()
        self.queue = DispatchQueue(self.pool, metrics, self._ask_slot, rng)
        old_at = now() + rng.choice([1e9, 1e9, 0.5, 2.0]) if not is_sound else 1e9
        self.start_deadline = old_at
        view = View(old_at)
        self.placer = RequestPlacer(view, self.queue, now, lambda: LIMITS, lambda: 1, -math.inf)
        is_clear = is_sound or rng.random() < 0.7
        crashes = Crashes(now() + (1e9 if is_clear else rng.choice([0.01, 0.1, 0.6, 1.5])))
        self.deps = RelayDependencies(
            codec=None, knowledge=view, pool=self.pool, queue=self.queue, placer=self.placer,
            offers=self.schedule, crashes=crashes, clock=now, metrics=metrics, rng=rng,
            leaving_targets=None, report_gap=lambda load, gap_s, declared_s: None,
            routes_changed=Signal(),
        )  # fmt: skip

    def _ask_slot(self, load, request) -> Slot:
        self.slots.append(Slot(self.rng))
        return self.slots[-1]

    async def play(self) -> list[Outcome]:
        await self.queue.start()
        try:
            outcomes = await asyncio.gather(
                *(self._request(number) for number in range(self.rng.choice([1, 3, 8, 20])))
            )
            await asyncio.sleep(0.01)
        finally:
            await self.queue.close()
        return outcomes

    async def _request(self, number: int) -> Outcome:
        rng = self.rng
        await asyncio.sleep(rng.choice([0.0, 0.0, 0.01, 0.5, rng.random()]))
        call = Call("POST", f"/{number}", "notes", [], b"", now())
        facts = CallFacts(f"call-{number}", 6.0, model="market")
        time_left_s = 6.0 if self.is_sound else rng.choice([6.0, 6.0, 1.5, 0.3])
        admitted = AdmittedRequest(call, facts, self.route, SERVICE, None, 3, now() + time_left_s)
        outcome = Outcome(facts.call_id)
        reading = asyncio.create_task(self._read(RequestProgress(admitted), outcome))
        if rng.random() < 0.1:
            for _ in range(rng.choice([1, 2, 3])):  # as its first attempt begins
                await asyncio.sleep(0)
            outcome.has_left = not reading.done()
            reading.cancel()
        elif rng.random() < 0.25:
            await asyncio.wait((reading,), timeout=rng.choice([0.0, 0.01, 1.2, 2 * rng.random()]))
            outcome.has_left = not reading.done()
            reading.cancel()
            if rng.random() < 0.3:  # an entry that closes cancels again
                await asyncio.sleep(0)
                reading.cancel()
        await asyncio.wait((reading,))
        if not reading.cancelled():
            reading.result()
        return outcome

    async def _read(self, progress: RequestProgress, outcome: Outcome) -> None:
        pauses = self.rng.choice([[0.0], [0.0], [0.0, 0.02, 1.5]])
        try:
            async with (
                asyncio.timeout_at(progress.admitted.deadline),
                aclosing(RequestAttempts(self.deps, progress).parts()) as parts,
            ):
                async for part in parts:
                    if not outcome.status:
                        outcome.status, outcome.version = part.status, part.headers["version"]
                    is_stream = isinstance(part, StreamPart)
                    outcome.body += part.data if is_stream else part.body
                    outcome.is_whole = not is_stream or part.is_last
                    self.schedule.received[outcome.call_id] = outcome.body.count(b"id:")
                    await asyncio.sleep(self.rng.choice(pauses))
        except TimeoutError:
            outcome.is_out_of_time = True
        except LacewingError as error:
            outcome.error = error


def check_answer(world: World, outcome: Outcome) -> None:
    runs = [each for each in world.schedule.runs if each.call_id == outcome.call_id]
    assert len(runs) <= world.attempts
    assert world.route.retry_policy is not RetryPolicy.NEVER or len(runs) <= 1
    if isinstance(outcome.error, RequestRefused):
        assert not runs, "refused as not run, and it ran"
    if not outcome.status or outcome.status >= 500:
        return
    if not world.route.streams:
        assert outcome.body == b"whole"
        return
    events = [event(number, int(outcome.version)) for number in range(1, EVENTS + 1)]
    whole = b"".join(events)
    assert whole.startswith(outcome.body), "events are missing, repeated or of another version"
    assert not outcome.is_whole or outcome.body == whole


def check_starts(world: World) -> None:
    """Check that no run began on weights that are too old, up to the resolution of timers."""
    began = [each.began_at for each in world.schedule.runs if each.began_at is not None]
    assert all(each <= world.start_deadline + 0.01 for each in began), world.start_deadline


def check_nothing_is_left(world: World) -> None:
    assert all(not each.is_open for each in world.schedule.runs), "a run goes on"
    for load in world.pool.loads.values():
        assert load.in_flight == 0 and load.prefill_s == pytest.approx(0.0)
        assert not load.health.trial_running
    assert not any(slot.is_open for slot in world.slots)
    assert not world.queue._waiting_requests and not world.queue._leases


def check_budget(world: World, requests: int) -> None:
    arrivals = world.schedule.arrivals
    retries = sum(arrivals.values()) - len(arrivals)
    assert retries <= LIMITS.share * requests + LIMITS.extra
    assert not any(budget._reserved for budget in world.placer._budgets.values())


async def play(seed: int, policy: RetryPolicy, streams: bool, is_sound: bool) -> Counter:
    others = asyncio.all_tasks()
    world = World(seed, policy, streams, is_sound)
    outcomes = await world.play()
    for outcome in outcomes:
        check_answer(world, outcome)
        if is_sound and not outcome.has_left and not outcome.is_out_of_time:
            is_refused = isinstance(outcome.error, RequestRefused)
            assert outcome.is_whole or is_refused, outcome
    check_starts(world)
    check_nothing_is_left(world)
    check_budget(world, len(outcomes))
    assert asyncio.all_tasks() <= others, "a task is left"
    return Counter(
        "whole" if each.is_whole else type(each.error).__name__ if each.error else "ended"
        for each in outcomes
    )


@pytest.mark.parametrize("is_sound", [True, False], ids=["sound", "failing"])
@pytest.mark.parametrize(("policy", "streams"), POLICIES)
async def test_attempts_end_cleanly_in_random_schedules(policy, streams, is_sound):
    for seed in range(SCHEDULES):
        try:
            await play(seed, policy, streams, is_sound)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}") from error


class FaultyBackup:
    """A first target that pauses in the middle, and a second one that omits an event."""

    def __init__(self) -> None:
        self.offers = 0

    async def send(self, admitted, load, options, timeout_s):
        options.on_send()
        self.offers += 1
        facts = AnswerFacts(admitted.facts.call_id, not_run=False, sealed=True, version=1)
        return Answer(200, {"version": "1"}, facts, ScriptedBody(self.offers == 1))


class SteadyTarget:
    """A target that sends an event every 0.05 s."""

    async def send(self, admitted, load, options, timeout_s):
        options.on_send()
        facts = AnswerFacts(admitted.facts.call_id, not_run=False, sealed=True, version=1)
        return Answer(200, {"version": "1"}, facts, SteadyBody())


class SteadyBody:
    ends_with_connection = False

    async def pieces(self, limit_bytes=None):
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(0.05)
            yield event(number, 1)

    async def aclose(self):
        pass


class ScriptedBody:
    ends_with_connection = False

    def __init__(self, is_sound: bool) -> None:
        self._is_sound = is_sound

    async def pieces(self, limit_bytes=None):
        if not self._is_sound:
            yield event(5, 1)
            return
        for number in range(1, EVENTS + 1):
            yield event(number, 1)
            await asyncio.sleep(2.0 if number == 2 else 0.01)

    async def aclose(self):
        pass


# Guards against a sound attempt that is closed for a backup whose events do not continue it.
async def test_a_faulty_backup_does_not_end_a_sound_attempt():
    offers = FaultyBackup()
    assert await read_stream(offers) == WHOLE_STREAM
    assert offers.offers == 2


# Guards against a sound target that counts as silent because the entry itself stood still.
@pytest.mark.looptime(False)  # the event loop has to be blocked
async def test_a_target_is_not_silent_while_the_entry_stands_still():
    asyncio.get_running_loop().call_later(0.1, time.sleep, 0.9)
    with capture_logs() as logs:
        assert await read_stream(SteadyTarget()) == WHOLE_STREAM
    assert not logs


async def read_stream(offers) -> bytes:
    """Return the answer to a stream that may be resumed once."""
    world = World(0, RetryPolicy.RESUMABLE, streams=True, is_sound=True)
    route = replace(world.route, attempts=2, objective_s=0.1)
    facts = CallFacts("call", 6.0, model="market")
    call = Call("POST", "/1", "notes", [], b"", now())
    admitted = AdmittedRequest(call, facts, route, SERVICE, None, 3, now() + 6.0)
    deps = replace(world.deps, offers=offers)
    async with aclosing(RequestAttempts(deps, RequestProgress(admitted)).parts()) as parts:
        return b"".join([part.data async for part in parts])


def now() -> float:
    return asyncio.get_running_loop().time()
