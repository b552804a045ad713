"""Connects dispatchers to the simulator's wire: reads and writes JSON lines, and makes no decisions itself."""

from __future__ import annotations

import json
import sys
from typing import TextIO

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, Event
from forwarder.protocol.checked_fields import JsonObject, MalformedInputError, require_field, require_word
from forwarder.protocol.settings_format import parse_endpoint_entry, parse_settings
from forwarder.simulator.wire_format import (
    EVENT_PARSERS,
    LIST_KINDS,
    parse_report_fields,
    render_actions,
    render_error,
)

EXIT_MALFORMED_INPUT = 2


class ForwarderInstance:
    """One simulated forwarder: its dispatcher, and the events of the batch that are not handled yet."""

    def __init__(self, start: JsonObject, now_us: int) -> None:
        raw_settings = require_field(start, "facts", dict)
        self.report_fields = parse_report_fields(raw_settings)
        self.dispatcher = Dispatcher(parse_settings(raw_settings), require_field(start, "entropy", int), now_us)
        self.inbox: list[Event] = []


class SimulatorHost:
    """The instances of one simulator. They share only the numbered endpoint tables."""

    def __init__(self) -> None:
        self.instances: dict[str, ForwarderInstance] = {}
        self.endpoint_tables: dict[int, tuple[EndpointEntry, ...]] = {}
        self.active_instances: dict[str, ForwarderInstance] = {}
        """The instances that run a round in this batch, in the order of their first events."""
        self.commands: list[JsonObject] = []
        """The commands of this batch so far."""

    def batch(self, line: str) -> str:
        """Answers one line: applies its events, runs a round for each instance concerned, and returns the commands.

        Raises:
            MalformedInputError: The line does not match the wire format.
        """
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        now_us = require_field(batch, "clock_us", int)
        self.active_instances = {}
        self.commands = []
        for event in require_field(batch, "inbox", list):
            self._apply_event(now_us, event)
        for name, instance in self.active_instances.items():
            if self.instances.get(name) is instance:
                self._run_round(now_us, name, instance)
        return json.dumps({"do": self.commands}, separators=(",", ":"))

    def _run_round(self, now_us: int, name: str, instance: ForwarderInstance) -> None:
        """Runs a round for an instance. An error of its decisions is reported on the wire, in one line."""
        events = instance.inbox
        instance.inbox = []
        try:
            actions = instance.dispatcher.handle(now_us, events)
            if instance.dispatcher.errors:
                raise instance.dispatcher.errors[0]
            self.commands.extend(render_actions(name, actions))
        except Exception as error:
            self.commands.append(render_error(name, error))

    def _apply_event(self, now_us: int, event: JsonObject) -> None:
        """Applies one event of a batch; ignores events of unknown types and for unknown instances."""
        kind = require_field(event, "type", str)
        if kind == "TABLE":
            self._store_table(event)
        elif kind == "DOWN":
            name = require_field(event, "forwarder_id", str)
            self.instances.pop(name, None)
            self.active_instances.pop(name, None)
        elif kind == "UP":
            self._start_instance(now_us, require_field(event, "forwarder_id", str), event)
        elif kind == "MEMBERS" or kind in EVENT_PARSERS:
            name = require_field(event, "forwarder_id", str)
            instance = self.instances.get(name)
            if instance is not None:
                self.active_instances[name] = instance
                instance.inbox.append(self._parse_event(kind, event, instance))

    def _store_table(self, event: JsonObject) -> None:
        entries = tuple(parse_endpoint_entry(entry) for entry in require_field(event, "elements", list))
        self.endpoint_tables[require_field(event, "buffer", int)] = entries

    def _start_instance(self, now_us: int, name: str, event: JsonObject) -> None:
        try:
            instance = ForwarderInstance(event, now_us)
        except ValueError as error:
            self.commands.append(render_error(name, error))
        else:
            self.instances[name] = instance
            self.active_instances[name] = instance

    def _parse_event(self, kind: str, event: JsonObject, instance: ForwarderInstance) -> Event:
        if kind == "MEMBERS":
            return self._parse_endpoint_list(event)
        return EVENT_PARSERS[kind](event, instance.report_fields)

    def _parse_endpoint_list(self, event: JsonObject) -> EndpointListReceived:
        kind = require_word(LIST_KINDS, event, "how")
        if kind is EndpointListKind.FAILED:
            return EndpointListReceived(kind)
        number = require_field(event, "buffer", int)
        if number not in self.endpoint_tables:
            raise MalformedInputError(f"no table {number} was given")
        return EndpointListReceived(kind, self.endpoint_tables[number])


def serve(source: TextIO, sink: TextIO) -> int:
    """Answers each line until the input ends.

    Returns:
        The exit status of the process: 0, or EXIT_MALFORMED_INPUT after a line that cannot be read.
    """
    host = SimulatorHost()
    for line in source:
        try:
            reply = host.batch(line)
        except MalformedInputError as error:
            print(f"forwarder: bad input: {error}", file=sys.stderr)
            return EXIT_MALFORMED_INPUT
        sink.write(reply + "\n")
        sink.flush()
    return 0
