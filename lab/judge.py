"""The rules, as the protocol page words them, over what the stand-ins saw. Never the forwarders' own logs. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from lab.plan import ONCE
from lab.record import Event

SLACK_S = 0.05
"""Every time limit is so much longer on sockets (PROTOCOL)."""
LOST_S = 0.3
READY_S = 1.5
"""No notice is overdue from a kill until so long after the forwarder is ready again (PROTOCOL)."""
WAIT_GRACE_S = 0.1
"""Calls that arrive so soon after a told wait are let through (PROTOCOL)."""
DRAIN_S = 0.25
BAN_S = 0.25


class Finding(msgspec.Struct, frozen=True):
    """One broken rule, with the message that shows it."""

    rule: str
    at_s: float
    id: str
    node: str
    text: str


@dataclass(slots=True)
class Fate:
    """What is known of one handing-in."""

    handed: Event
    answer: int = 0
    refused_s: float | None = None
    noticed_s: float | None = None
    answered_s: float = 0.0
    may_have_run: bool = False
    """By a call whose answer did not say that it never ran."""
    given_up: bool = False
    ended_s: float | None = None
    out: set[int] = field(default_factory=set)


class Judge:
    """Reads the events in their order; `findings` are what was broken. `late_s` is the lab's own lateness."""

    def __init__(self, late_s: float = 0.0, key_rest_s: float = 0.0) -> None:
        self.slack, self.key_rest_s = SLACK_S + late_s, key_rest_s
        self.rests: dict[tuple[str, str], tuple[float, str]] = {}
        """Of each forwarder's keys: until when they rest, and after a call with which message."""
        self.findings: list[Finding] = []
        self.fates: dict[str, Fate] = {}
        self.ran_once: dict[int, str] = {}
        self.lines: dict[tuple[str, str], list[str]] = {}
        self.waits: dict[tuple[str, int], tuple[float, float]] = {}
        self.drained: dict[tuple[str, str], float] = {}
        self.banned: dict[tuple[str, str], float] = {}
        self.spells: dict[str, list[list[float]]] = {}
        """Of each forwarder: from a kill until its next yes, and whether its folder was spoilt."""
        self.spoilt: dict[str, float] = {}
        self.doubled: list[tuple[Event, set[int]]] = []
        """Calls that came while others of their message were out, and those of them that nothing has ended since."""
        self.forgotten: list[str] = []
        """Messages that went with a folder that the schedule lost or damaged: no rule stands for them."""

    def read(self, events: Iterable[Event]) -> Judge:
        """Read all, and then look for what never came. Returns itself."""
        end = 0.0
        for event in events:
            handler: Callable[[Event], None] | None = getattr(self, f"_{event.kind}", None)
            if handler is not None:
                handler(event)
            end = event.at_s
        for fate in self.fates.values():
            self._check_end(fate, end)
        for call, out in self.doubled:
            self._check_doubled(call, out)
        return self

    def _found(self, rule: str, event: Event, text: str, ident: str | None = None) -> None:
        self.findings.append(Finding(rule, event.at_s, event.id if ident is None else ident, event.node, text))

    # Clients

    def _handed(self, e: Event) -> None:
        self.fates[e.id] = Fate(e)

    def _answer(self, e: Event) -> None:
        fate = self.fates.get(e.id)
        if fate is None:
            return
        fate.answer, fate.answered_s = e.status, e.at_s
        if e.status in (429, 503):
            fate.refused_s = e.at_s
        if e.status in (200, 202) and fate.handed.key is not None:
            self.lines.setdefault((e.node, fate.handed.key), []).append(e.id)
        elif e.status in (429, 503) and fate.may_have_run and fate.handed.state == ONCE:
            self._found("duplicate", e, "refused as harmless, though it may have run")

    def _unanswered(self, e: Event) -> None:
        if not self._down(e.node, e.at_s):
            self._found("lost", e, "the connection was ended without an answer")

    def _given_up(self, e: Event) -> None:
        if e.id in self.fates:
            self.fates[e.id].given_up = True

    # Calls

    def _call(self, e: Event) -> None:
        fate = self.fates.get(e.id)
        if fate is None:
            return  # a stranger is told by the endpoint itself
        if fate.handed.destination != e.destination:
            self._found("unknown", e, f"sent to {e.party} of destination {e.destination}")
        if fate.out:
            self.doubled.append((e, set(fate.out)))
        elif fate.may_have_run and fate.handed.state == ONCE and not fate.given_up:
            self._found("duplicate", e, f"sent again to {e.party}, though an earlier call may have run")
        if not fate.given_up:  # what comes under an id that its client has given up counts for nothing (PROTOCOL)
            self._check_order(e, fate)
            self._check_rest(e, fate)
            self._check_ended(e, fate)
        self._check_wait(e)
        for rule, since, grace in (
            ("drain", self.drained.get((e.node, e.party)), DRAIN_S),
            ("ban", self.banned.get((e.node, e.party)), BAN_S),
        ):
            if since is not None and e.first_s > since + grace + self.slack:
                self._found(rule, e, f"{e.party} was out {e.first_s - since:.3f} s before")
        fate.out.add(e.call)

    def _check_order(self, e: Event, fate: Fate) -> None:
        if fate.handed.key is None:
            return
        for earlier in self.lines.get((e.node, fate.handed.key), []):
            if earlier == e.id:
                return
            before = self.fates[earlier]
            if before.ended_s is None and not before.given_up and earlier not in self.forgotten:
                self._found("order", e, f"{earlier} of the same key was taken before and is not over")
                return

    def _check_rest(self, e: Event, fate: Fate) -> None:
        until, whose = self.rests.get((e.node, fate.handed.key or ""), (0.0, ""))
        if whose != e.id and e.first_s < until - self.slack:
            self._found("order", e, f"{until - e.first_s:.3f} s before the end of its key's rest after {whose}")

    def _check_ended(self, e: Event, fate: Fate) -> None:
        """What was refused, or has ended by a notice, may not be forwarded any more."""
        if fate.refused_s is not None and e.first_s > fate.refused_s + self.slack:
            self._found("lost", e, f"forwarded {e.first_s - fate.refused_s:.3f} s after it was refused")
        if fate.noticed_s is not None and e.first_s > fate.noticed_s + self.slack:
            self._found("lost", e, f"forwarded {e.first_s - fate.noticed_s:.3f} s after its notice")

    def _rest(self, node: str, fate: Fate, at_s: float) -> None:
        """A call with it may still run: the next of its key waits."""
        if fate.handed.key is not None and self.key_rest_s:
            self.rests[(node, fate.handed.key)] = (at_s + self.key_rest_s, fate.handed.id)

    def _check_wait(self, e: Event) -> None:
        begun, until = self.waits.get((e.node, e.destination), (0.0, 0.0))
        if begun + WAIT_GRACE_S + self.slack < e.at_s < until - self.slack:
            self._found("wait", e, f"{until - e.at_s:.3f} s before the end of a wait told {e.at_s - begun:.3f} s ago")

    def _ran(self, e: Event) -> None:
        fate = self.fates.get(e.id)
        if fate is None:
            return
        fate.may_have_run = True
        if fate.handed.state == ONCE:
            other = self.ran_once.setdefault(fate.handed.number, e.id)
            if other != e.id and not self.fates[other].given_up and other not in self.forgotten:
                self._found("duplicate", e, f"takes effect a second time: {other} had run")

    def _answered(self, e: Event) -> None:
        self._call_over(e, ran=e.status in (200, 500))
        fate = self.fates.get(e.id)
        if e.status == 200 and fate is not None and fate.ended_s is None:
            fate.ended_s = e.at_s
        if e.wait_s:
            _, until = self.waits.get((e.node, e.destination), (0.0, 0.0))
            self.waits[(e.node, e.destination)] = (e.at_s, max(until, e.at_s + e.wait_s))

    def _cut(self, e: Event) -> None:
        """The connection of a call ended before its answer: it may have run."""
        self._call_over(e, ran=True)
        if e.id in self.fates:
            self._rest(e.node, self.fates[e.id], e.at_s)
        for call, out in self.doubled:
            if call.id == e.id and e.at_s - call.at_s <= self.slack:
                out.discard(e.call)  # two sockets that were ready at once: which is looked at first is chance

    def _check_doubled(self, e: Event, out: set[int]) -> None:
        """A call that came while another was out; or just before the end of that other was seen, which may have run."""
        fate = self.fates[e.id]
        if out:
            self._found("second copy", e, f"call {e.call} to {e.party} while {sorted(out)} is out")
        elif fate.handed.state == ONCE and not fate.given_up:
            self._found("duplicate", e, f"sent again to {e.party}, though an earlier call may have run")

    def _call_over(self, e: Event, ran: bool) -> None:
        fate = self.fates.get(e.id)
        if fate is not None:
            fate.out.discard(e.call)
            fate.may_have_run |= ran

    def _stranger(self, e: Event) -> None:
        self._found("unknown", e, f"{e.party} got what no client handed in there")

    def _fell(self, e: Event) -> None:
        if e.state == "pushed":
            self._found("cold", e, f"{e.party} fell over, {e.share:.0%} of it from forwarders that had seen it fail")

    # Ends, lists, operators, processes

    def _notice(self, e: Event) -> None:
        fate = self.fates.get(e.id)
        if fate is None:
            return
        if e.state == "returned" and fate.may_have_run and fate.handed.state == ONCE and fate.ended_s is None:
            self._found("duplicate", e, "returned as harmless, though it may have run")
        if fate.ended_s is None:
            fate.ended_s = e.at_s
        if fate.noticed_s is None:
            fate.noticed_s = e.at_s

    def _told(self, e: Event) -> None:
        if e.state == "up":
            self.drained.pop((e.node, e.party), None)
        else:
            self.drained.setdefault((e.node, e.party), e.at_s)

    def _banned(self, e: Event) -> None:
        self.banned.setdefault((e.node, e.party), e.at_s)

    def _unbanned(self, e: Event) -> None:
        self.banned.pop((e.node, e.party), None)

    def _killed(self, e: Event) -> None:
        self._away(e)

    def _termed(self, e: Event) -> None:
        self._away(e)

    def _paused(self, e: Event) -> None:
        """A stopped process can end nothing; it has as long as one that starts again."""
        self.spells.setdefault(e.node, []).append([e.at_s, -1.0])

    def _resumed(self, e: Event) -> None:
        self.spells[e.node][-1][1] = e.at_s

    def _away(self, e: Event) -> None:
        spells = self.spells.setdefault(e.node, [])
        if not spells or spells[-1][1] >= 0:
            spells.append([e.at_s, -1.0])
        self._process_gone(e)

    def _ended(self, e: Event) -> None:
        if e.state == "crashed":
            self._found("crash", e, f"the process ended by itself with {e.status}")
            self._away(e)
        self._process_gone(e)

    def _process_gone(self, e: Event) -> None:
        """A restart ends the waits that its forwarder was told."""
        self.waits = {whose: wait for whose, wait in self.waits.items() if whose[0] != e.node}

    def _up(self, e: Event) -> None:
        spells = self.spells.get(e.node, [])
        if spells and spells[-1][1] < 0:
            spells[-1][1] = e.at_s

    def _folder(self, e: Event) -> None:
        """What the folder held may be gone: it is counted, and is not the program's to answer for."""
        for fate in self.fates.values():
            if fate.handed.node == e.node and fate.ended_s is None and fate.answer in (200, 202):
                self.forgotten.append(fate.handed.id)

    def _down(self, node: str, at_s: float) -> bool:
        return any(
            begin - self.slack <= at_s and (end < 0 or at_s <= end + READY_S)
            for begin, end in self.spells.get(node, [])
        )

    def _check_end(self, fate: Fate, end_s: float) -> None:
        """A message that was taken on has to be over in its time."""
        h = fate.handed
        if fate.answer not in (200, 202) or h.id in self.forgotten:
            return
        limit = h.due_s + LOST_S + self.slack
        for begin, again in self.spells.get(h.node, []):
            if begin <= limit:
                limit = max(limit, end_s + 1.0 if again < 0 else again + READY_S + self.slack)
        if (fate.ended_s is None and end_s > limit) or (fate.ended_s is not None and fate.ended_s > limit):
            when = "never" if fate.ended_s is None else f"{fate.ended_s - h.due_s:.3f} s after its time"
            self.findings.append(Finding("lost", limit, h.id, h.node, f"taken on, and its end came {when}"))
