"""What operators may ask of a running forwarder, and what they are answered (docs/operating.md)."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from forwarder.admin.server import CommandRefusedError, CommandTable, without_arguments
from forwarder.decisions.events import EndpointDisabled, EndpointEnabled
from forwarder.runtime.reason_counts import Subject

if TYPE_CHECKING:
    from forwarder.runtime.engine import Engine

SECOND = 1_000_000
log = logging.getLogger("forwarder.operators")


class AdminCommands:
    """The calls of one engine. Each returns what to tell, or raises Refused."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def calls(self) -> CommandTable:
        """By their words, those of the parts that are on among them."""
        own: CommandTable = {
            "HEALTH": without_arguments(self.health),
            "LEAVE": without_arguments(self.leave),
            "JOIN": without_arguments(self.join),
            "OFFLINE": self.offline,
            "ONLINE": self.online,
            "WHY": self.why,
            "PHASE": without_arguments(self.phase),
            "JOURNAL": without_arguments(self.journal),
            "RULES": without_arguments(self.rules),
        }
        return {**own, **{word: call for part in self.engine.parts for word, call in part.calls.items()}}

    def health(self) -> str:
        """Whether it serves."""
        if self.engine.leaving_s:
            raise CommandRefusedError("stopping")
        return "serving"

    def offline(self, name: str) -> str:
        """Leave an endpoint out from now on: when this returns, nothing more can leave for it."""
        self._check_listed(name)
        if name not in self.engine.store.disabled_endpoints:
            self.engine.store.disable_endpoint(name, self.engine.clock())
            self.engine.carry_out(
                EndpointDisabled(self.engine.number(name), self.engine.store.disabled_endpoints[name])
            )
            log.info("maintenance: %s is left out", name)
        return f"{name} is left out"

    def online(self, name: str) -> str:
        """Use an endpoint again that was left out."""
        self._check_listed(name)
        if name in self.engine.store.disabled_endpoints:
            self.engine.store.enable_endpoint(name)
            self.engine.carry_out(EndpointEnabled(self.engine.number(name)))
            log.info("maintenance: %s is used again", name)
        return f"{name} is used"

    def _check_listed(self, name: str) -> None:
        if name not in self.engine.store.known_endpoints and name not in self.engine.store.disabled_endpoints:
            raise CommandRefusedError("no endpoint of that id was ever listed")

    def journal(self) -> str:
        """How the journal was found, and how it stands."""
        kept, who = self.engine.store, self.engine.identity
        return "; ".join(
            text
            for text in (
                "sound" if not kept.recovered.is_damaged else kept.describe_damage(),
                f"{kept.recovered.torn_bytes} bytes of a torn tail cut",
                f"start {who.start_count} of {who.folder_id}: {self.engine.start.value}" if who else "",
                f"{kept.recovery_bytes} bytes",
                f"{kept.set_aside_bytes} bytes of damaged files set aside",
                "cannot be written" if kept.write_failed else "",
            )
            if text
        )

    def rules(self) -> str:
        """What was held back, what should never have been tried, and what has failed."""
        return (
            f"violations: {self.engine.reasons.summary(Subject.VIOLATION)}; held back: "
            f"{self.engine.reasons.summary(Subject.HELD_BACK)}; failures: {self.engine.supervisor.summary()}; "
            f"journal: {'cannot be written' if self.engine.store.write_failed else 'written'}, "
            f"{self.engine.store.write_failures} failures"
        )

    def phase(self) -> str:
        """How far the start has come."""
        return self.engine.life.tell(self.engine.clock())

    def why(self, rest: str) -> str:
        """What holds messages back, and for how long: of all, of one destination, or one message."""
        word, _, value = rest.partition("=")
        try:
            if not rest:
                rows = self.engine.dispatcher.hold_times.totals()
            elif rest == "json":
                return self.why_as_json()
            elif word == "dest":
                rows = self.engine.dispatcher.hold_times.totals(int(value))
            elif word == "id":
                rows = self.engine.dispatcher.hold_times_of(value)
            else:
                raise CommandRefusedError("WHY stands alone, or with json, dest=N or id=X")
        except ValueError:
            raise CommandRefusedError("a destination is a number") from None
        except KeyError:
            raise CommandRefusedError("no message of that id is held") from None
        return "; ".join(f"{gate.value} {us / SECOND:.3f} s" for gate, us in rows) or "nothing was held"

    def why_as_json(self) -> str:
        """`WHY json`: rows of destination, class, gate and microseconds held since the start, what is held now among
        them; and of destination, class, gate and messages that were refused by it.
        """
        held = {
            (*whose, gate): us
            for whose, book in self.engine.dispatcher.hold_times.sums_us.items()
            for gate, us in book.items()
        }
        now = self.engine.clock()
        for m in self.engine.dispatcher.messages.values():
            if m.hold_reason is not None:
                key = (m.destination, m.message_class.name, m.hold_reason)
                held[key] = held.get(key, 0) + now - m.held_since_us
        return json.dumps(
            {
                "held": [[d, cls, gate.value, us] for (d, cls, gate), us in held.items()],
                "refused": [[*key, n] for key, n in self.engine.effects.refused_by.items()],
            },
            separators=(",", ":"),
        )

    def leave(self) -> str:
        """Send clients away; messages that were taken on go on."""
        log.info("drain: clients are sent away")
        self.engine.send_away()
        return "leaving"

    def join(self) -> str:
        """Take clients again."""
        if self.engine.leaving_s:
            raise CommandRefusedError("stopping")
        log.info("drain: back to work")
        self.engine.drain.join()
        for part in self.engine.parts:
            part.join()
        return "joined"
