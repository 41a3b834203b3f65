"""The queue of a target: which request runs next, which waits, and which is refused at once.

The owner of the queue passes two functions: one that starts a request, and one that is called with
a request that was dropped from the queue and will not run.

    queue = TargetQueue.from_config(settings, metrics, start, on_dropped)
    refused = queue.push(head, run, deadline, now)  # may start it, or drop another for it
    ...
    queue.done(run, ran_s)                          # frees its slot and starts the next one
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from lacewinggw.decisions.admission import Slots
from lacewinggw.decisions.deadlines import MS_PER_S, can_finish
from lacewinggw.decisions.fairness import FairQueue, QueueItem
from lacewinggw.errors import Refusal, RequestRefused
from lacewinggw.generated.messages.ttypes import Load, Priority, RequestHead
from lacewinggw.generated.settings.ttypes import Settings
from lacewinggw.ids import Account
from lacewinggw.metrics import Metrics

MIN_RETRY_MS = 10
PERCENT = 100.0

Payload = TypeVar("Payload")


@dataclass(frozen=True)
class QueueRefusal:
    """The reason why a request will not run, and when to retry it."""

    reason: Refusal
    retry_after_ms: int

    def error(self) -> RequestRefused:
        """Return the refusal as an error."""
        match self.reason:
            case Refusal.DEADLINE:
                text = "the request would not finish by its deadline"
            case Refusal.DRAINING:
                text = "the target is draining"
            case _:
                text = "the queue of the target is full"
        return RequestRefused.because(self.reason, text, self.retry_after_ms)


class TargetQueue(Generic[Payload]):
    """The queue and the slots of one target. Times are event loop times, in seconds."""

    def __init__(
        self,
        slots: Slots,
        length: int,
        metrics: Metrics,
        start: Callable[[Payload], None],
        on_dropped: Callable[[Payload, QueueRefusal], None],
    ) -> None:
        self._slots = slots
        self._queue: FairQueue[Payload] = FairQueue(length)
        self._start = start
        self._on_dropped = on_dropped
        self._waiting: dict[Payload, QueueItem[Payload]] = {}
        self._running: dict[Payload, Priority] = {}
        self._paused = False
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._wait_latency = metrics.latency("queue_wait")

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        metrics: Metrics,
        start: Callable[[Payload], None],
        on_dropped: Callable[[Payload, QueueRefusal], None],
    ) -> "TargetQueue[Payload]":
        """Build the queue from the [agent] and [routing] settings."""
        slots = Slots(settings.agent.concurrency, settings.routing.urgent_percent / PERCENT)
        return cls(slots, settings.agent.queue_length, metrics, start, on_dropped)

    @property
    def running(self) -> int:
        """The number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    def load(self) -> Load:
        """Return the current load."""
        return Load(
            running=len(self._running),
            queued=len(self._waiting),
            capacity=self._slots.capacity,
            age_ms=0,
            queue_delay_ms=self._slots.expected_wait(len(self._waiting)) * MS_PER_S,
            request_ms=self._slots.request_s * MS_PER_S if self._slots.has_samples else 0.0,
            urgent=self._slots.running_urgent + self._queue.length_of(Priority.URGENT),
        )

    def check(self, head: RequestHead, deadline: float, now: float) -> QueueRefusal | None:
        """Return why a request would be refused now, or None if it would be accepted."""
        item = self._make_item(head, None, deadline, now)
        ahead = self._queue.count_ahead(item)
        wait_s = 0.0 if self._can_start(item.priority, now) else self._slots.expected_wait(ahead)
        if not can_finish(deadline, now, wait_s, self._slots.min_request_s):
            return self._make_refusal(Refusal.DEADLINE)
        if not self._can_start(item.priority, now) and not self._queue.would_accept(item):
            return self._make_refusal(Refusal.OVERLOADED)
        return None

    def push(
        self, head: RequestHead, payload: Payload, deadline: float, now: float
    ) -> QueueRefusal | None:
        """Start or queue a request; return the refusal, or None if it is accepted.

        Another request may be dropped in its place, as `FairQueue` decides.
        """
        refused = self.check(head, deadline, now)
        if refused is not None:
            return refused
        item = self._make_item(head, payload, deadline, now)
        if item.priority is Priority.URGENT:
            self._slots.note_urgent(now)
        self._waiting[payload] = item
        evicted = self._queue.push(item)
        self._start_waiting(now)
        if evicted is not None:
            self._drop(evicted, Refusal.OVERLOADED)
        self._schedule_expiry(now)
        return None

    def remove(self, payload: Payload) -> bool:
        """Remove a request from the queue; return False if it does not wait there."""
        item = self._waiting.pop(payload, None)
        if item is None:
            return False
        self._queue.remove(item)
        return True

    def done(self, payload: Payload, ran_s: float | None) -> None:
        """Free the slot of a request that ended after `ran_s` seconds on the target.

        `ran_s` is None if the time says nothing about the target, as for an interrupted request.
        """
        self._slots.end(self._running.pop(payload), ran_s)
        self._start_waiting(asyncio.get_running_loop().time())

    def pause(self) -> None:
        """Stop starting requests until `resume`."""
        self._paused = True

    def resume(self) -> None:
        """Start requests again."""
        self._paused = False
        self._start_waiting(asyncio.get_running_loop().time())

    def drop_all(self, reason: Refusal) -> None:
        """Drop every waiting request."""
        for item in list(self._waiting.values()):
            self._queue.remove(item)
            self._drop(item, reason)

    def close(self) -> None:
        """Drop every waiting request, and cancel the expiry timer."""
        self._paused = True
        self.drop_all(Refusal.DRAINING)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()

    def _make_item(
        self, head: RequestHead, payload: Payload | None, deadline: float, now: float
    ) -> QueueItem[Payload]:
        weight = head.weight if head.weight and head.weight > 0 else 1.0
        priority, account = Priority(head.priority), Account(head.account or "")
        return QueueItem(payload, account, priority, weight, now, deadline)

    def _can_start(self, priority: Priority, now: float) -> bool:
        if self._paused or not self._slots.has_free_slot(priority, now):
            return False
        return not any(self._queue.length_of(each) for each in Priority if each <= priority)

    def _start_waiting(self, now: float) -> None:
        while self._waiting and not self._paused:
            lowest = (
                Priority.BULK if self._slots.has_free_slot(Priority.BULK, now) else Priority.URGENT
            )
            item = self._queue.pop(lowest) if self._slots.has_free_slot(lowest, now) else None
            if item is None:
                return
            if can_finish(item.deadline, now, 0.0, 0.0):
                self._start_item(item, now)
            else:
                self._drop(item, Refusal.DEADLINE)

    def _start_item(self, item: QueueItem[Payload], now: float) -> None:
        payload = item.require_payload()
        del self._waiting[payload]
        self._running[payload] = item.priority
        self._slots.begin(item.priority, now)
        self._wait_latency.record(now - item.arrived)
        self._start(payload)

    def _drop(self, item: QueueItem[Payload], reason: Refusal) -> None:
        payload = item.require_payload()
        del self._waiting[payload]
        self._on_dropped(payload, self._make_refusal(reason))

    def _make_refusal(self, reason: Refusal) -> QueueRefusal:
        wait_s = self._slots.expected_wait(len(self._queue))
        return QueueRefusal(reason, max(MIN_RETRY_MS, int(wait_s * MS_PER_S)))

    def _schedule_expiry(self, now: float) -> None:
        next_deadline = min((item.deadline for item in self._waiting.values()), default=None)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if next_deadline is not None:
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_at(next_deadline, self._drop_expired)

    def _drop_expired(self) -> None:
        self._expiry_timer = None
        now = asyncio.get_running_loop().time()
        for item in self._queue.remove_expired(now):
            self._drop(item, Refusal.DEADLINE)
        self._schedule_expiry(now)
