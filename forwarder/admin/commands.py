"""The commands of the admin interface, by which operators control a running forwarder (docs/operating.md)."""

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
    """The commands of one forwarder. Each returns its answer or raises CommandRefusedError."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    def table(self) -> CommandTable:
        """Returns all commands by name, including those of the extensions."""
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
        """`HEALTH`: reports whether the forwarder serves."""
        self._check_not_stopping()
        return "serving"

    def _check_not_stopping(self) -> None:
        if self.runtime.run_state.is_stopping:
            raise CommandRefusedError("stopping")

    def offline(self, name: str) -> str:
        """`OFFLINE ID`: disables an endpoint. After this returns, nothing more is sent to it."""
        self._check_listed(name)
        store = self.runtime.store
        if name not in store.disabled_endpoints:
            store.disable_endpoint(name, self.runtime.clock())
            self.runtime.apply_command(
                EndpointDisabled(self.runtime.endpoint_number(name), store.disabled_endpoints[name])
            )
            log.info("maintenance: endpoint %s is disabled", name)
        return f"{name} is left out"

    def online(self, name: str) -> str:
        """`ONLINE ID`: enables a disabled endpoint again."""
        self._check_listed(name)
        store = self.runtime.store
        if name in store.disabled_endpoints:
            store.enable_endpoint(name)
            self.runtime.apply_command(EndpointEnabled(self.runtime.endpoint_number(name)))
            log.info("maintenance: endpoint %s is enabled again", name)
        return f"{name} is used"

    def _check_listed(self, name: str) -> None:
        if name not in self.runtime.store.known_endpoints and name not in self.runtime.store.disabled_endpoints:
            raise CommandRefusedError("no endpoint of that id was ever listed")

    def journal(self) -> str:
        """`JOURNAL`: the state in which the journal was recovered, and its current state."""
        store = self.runtime.store
        identity = self.runtime.identity
        start = (
            f"start {identity.start_count} of {identity.folder_id}: {self.runtime.start_kind.value}" if identity else ""
        )
        details = (
            store.describe_damage() if store.recovered.is_damaged else "sound",
            f"{store.recovered.torn_bytes} bytes of a torn tail cut",
            start,
            f"{store.recovery_bytes} bytes",
            f"{store.set_aside_bytes} bytes of damaged files set aside",
            "cannot be written" if store.write_failed else "",
            "" if self.runtime.ownership.has_lock else "the lock is missing",
        )
        return "; ".join(detail for detail in details if detail)

    def rules(self) -> str:
        """`RULES`: counts of violated invariants, attempts held back, and failures, and what new messages depend on."""
        runtime = self.runtime
        journal = "cannot be written" if runtime.store.write_failed else "written"
        platform = "reached" if runtime.notices.is_reachable() else "cannot be reached"
        refusal = runtime.reloader.refusal
        configuration = f"left as it was: {refusal}" if refusal else "the newest file holds"
        return (
            f"violations: {runtime.reasons.summary(Subject.VIOLATION)}; held back: "
            f"{runtime.reasons.summary(Subject.HELD_BACK)}; failures: {runtime.supervisor.summary()}; "
            f"journal: {journal}, {runtime.store.write_failures} failures; platform: {platform}; "
            f"configuration: {configuration}"
        )

    def phase(self) -> str:
        """`PHASE`: the current phase of the start."""
        return self.runtime.startup_progress.describe(self.runtime.clock())

    def why(self, scope: str) -> str:
        """`WHY [json | dest=N | id=X]`: the hold reasons of messages, and the time held for each.

        The scope is all messages, one destination or one message.
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
        """Returns the hold reasons within a scope, each with its time held in microseconds.

        Raises:
            ValueError: the destination is not a number.
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
        """Returns two lists of rows, `held` and `refused`; each row has a destination, a class and a hold reason.

        The last column of `held` is the time held since the start in microseconds, including messages held now; that
        of `refused` is the number of messages rejected for the reason.
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
        """`LEAVE`: starts a drain, which closes client connections; accepted messages are still delivered."""
        log.info("drain started: closing client connections between requests")
        self.runtime.start_draining()
        return "leaving"

    def join(self) -> str:
        """`JOIN`: ends the drain."""
        self._check_not_stopping()
        log.info("drain ended: keeping client connections open again")
        self.runtime.drain.stop()
        for extension in self.runtime.extensions:
            extension.stop_draining()
        return "joined"
