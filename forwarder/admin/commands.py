"""The commands of the admin interface: what operators may ask of a running forwarder (docs/operating.md)."""

from __future__ import annotations

import json
import logging

from forwarder.admin.server import Command, CommandRefusedError, CommandTable, without_arguments
from forwarder.decisions.events import EndpointDisabled, EndpointEnabled
from forwarder.decisions.hold_reason import HoldReason
from forwarder.runtime.context import Runtime
from forwarder.runtime.reason_counts import Subject
from forwarder.units import SECOND_US

log = logging.getLogger("forwarder.operators")


class AdminCommands:
    """The commands of one forwarder. Each returns its answer, or raises CommandRefusedError."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    def table(self) -> CommandTable:
        """Returns all commands by their words, those of the extensions among them."""
        commands: dict[str, Command] = {
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
        for extension in self.runtime.extensions:
            commands.update(extension.commands)
        return commands

    def health(self) -> str:
        """`HEALTH`: whether the forwarder serves."""
        self._check_not_stopping()
        return "serving"

    def _check_not_stopping(self) -> None:
        if self.runtime.run_state.is_stopping:
            raise CommandRefusedError("stopping")

    def offline(self, name: str) -> str:
        """`OFFLINE ID`: disables an endpoint. Once this returns, nothing more can leave for it."""
        self._check_listed(name)
        store = self.runtime.store
        if name not in store.disabled_endpoints:
            store.disable_endpoint(name, self.runtime.clock())
            self.runtime.apply_command(
                EndpointDisabled(self.runtime.endpoint_number(name), store.disabled_endpoints[name])
            )
            log.info("maintenance: %s is left out", name)
        return f"{name} is left out"

    def online(self, name: str) -> str:
        """`ONLINE ID`: enables an endpoint again that was disabled."""
        self._check_listed(name)
        store = self.runtime.store
        if name in store.disabled_endpoints:
            store.enable_endpoint(name)
            self.runtime.apply_command(EndpointEnabled(self.runtime.endpoint_number(name)))
            log.info("maintenance: %s is used again", name)
        return f"{name} is used"

    def _check_listed(self, name: str) -> None:
        if name not in self.runtime.store.known_endpoints and name not in self.runtime.store.disabled_endpoints:
            raise CommandRefusedError("no endpoint of that id was ever listed")

    def journal(self) -> str:
        """`JOURNAL`: how the journal was found, and how it stands."""
        store = self.runtime.store
        identity = self.runtime.identity
        start = (
            f"start {identity.start_count} of {identity.folder_id}: {self.runtime.start_kind.value}" if identity else ""
        )
        facts = (
            store.describe_damage() if store.recovered.is_damaged else "sound",
            f"{store.recovered.torn_bytes} bytes of a torn tail cut",
            start,
            f"{store.recovery_bytes} bytes",
            f"{store.set_aside_bytes} bytes of damaged files set aside",
            "cannot be written" if store.write_failed else "",
            "" if self.runtime.ownership.has_lock else "the lock is missing",
        )
        return "; ".join(fact for fact in facts if fact)

    def rules(self) -> str:
        """`RULES`: what was held back, which invariants were violated, and what has failed."""
        runtime = self.runtime
        journal = "cannot be written" if runtime.store.write_failed else "written"
        return (
            f"violations: {runtime.reasons.summary(Subject.VIOLATION)}; held back: "
            f"{runtime.reasons.summary(Subject.HELD_BACK)}; failures: {runtime.supervisor.summary()}; "
            f"journal: {journal}, {runtime.store.write_failures} failures"
        )

    def phase(self) -> str:
        """`PHASE`: how far the start has come."""
        return self.runtime.startup_progress.describe(self.runtime.clock())

    def why(self, scope: str) -> str:
        """`WHY [json | dest=N | id=X]`: what holds messages back, and for how long.

        Of all messages, of one destination, or of one message.
        """
        if scope == "json":
            return self._hold_times_as_json()
        try:
            hold_times = self._hold_times(scope)
        except ValueError:
            raise CommandRefusedError("a destination is a number") from None
        except KeyError:
            raise CommandRefusedError("no message of that id is held") from None
        times = [f"{reason.value} {held_us / SECOND_US:.3f} s" for reason, held_us in hold_times]
        return "; ".join(times) or "nothing was held"

    def _hold_times(self, scope: str) -> list[tuple[HoldReason, int]]:
        """Returns the reasons of a scope with the microseconds held by each.

        Raises:
            ValueError: the destination is no number.
            KeyError: the message is not held.
        """
        dispatcher = self.runtime.dispatcher
        kind, _, value = scope.partition("=")
        if not scope:
            return dispatcher.hold_times.totals()
        if kind == "dest":
            return dispatcher.hold_times.totals(int(value))
        if kind == "id":
            return dispatcher.hold_times_of(value)
        raise CommandRefusedError("WHY stands alone, or with json, dest=N or id=X")

    def _hold_times_as_json(self) -> str:
        """Returns two lists of rows, `held` and `refused`, each row with destination, class and hold reason.

        The rows of `held` end with the microseconds since the start, what is held now among them; those of `refused`
        with the number of messages that were rejected for it.
        """
        dispatcher = self.runtime.dispatcher
        held_us = {
            (destination, class_name, reason): sum_us
            for (destination, class_name), sums_us in dispatcher.hold_times.sums_us.items()
            for reason, sum_us in sums_us.items()
        }
        now_us = self.runtime.clock()
        for message in dispatcher.messages.values():
            if message.hold_reason is not None:
                key = (message.destination, message.message_class.name, message.hold_reason)
                held_us[key] = held_us.get(key, 0) + now_us - message.held_since_us
        rows = {
            "held": [
                [destination, class_name, reason.value, sum_us]
                for (destination, class_name, reason), sum_us in held_us.items()
            ],
            "refused": [[*key, count] for key, count in self.runtime.effects.rejected_by.items()],
        }
        return json.dumps(rows, separators=(",", ":"))

    def leave(self) -> str:
        """`LEAVE`: sends clients away; what was accepted goes on."""
        log.info("drain: clients are sent away")
        self.runtime.start_draining()
        return "leaving"

    def join(self) -> str:
        """`JOIN`: ends the drain."""
        self._check_not_stopping()
        log.info("drain: back to work")
        self.runtime.drain.stop()
        for extension in self.runtime.extensions:
            extension.stop_draining()
        return "joined"
