"""Transfers the learned state and the calls in flight of a dispatcher to the next process."""

from __future__ import annotations

from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.idle_connections import IdleConnections
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.learned_state import CallInFlight, LearnedFields, LearnedState
from forwarder.decisions.message_table import MessageTable
from forwarder.decisions.records import ENDPOINT_LEARNED, LIMIT_SCOPE_LEARNED, Call
from forwarder.decisions.tenant_quotas import TenantQuotas


class LearnedStateTransfer:
    """Captures and restores the learned state of a dispatcher's collaborators."""

    def __init__(
        self,
        context: RoundContext,
        endpoint_table: EndpointTable,
        messages: MessageTable,
        key_queues: KeyQueues,
        tenant_quotas: TenantQuotas,
        idle_connections: IdleConnections,
        calls: CallTracker,
    ) -> None:
        self.context = context
        self.endpoint_table = endpoint_table
        self.messages = messages
        self.key_queues = key_queues
        self.tenant_quotas = tenant_quotas
        self.idle_connections = idle_connections
        self.calls = calls

    def capture(self) -> LearnedState:
        """Returns the current state."""
        limit_scopes = self.endpoint_table.limit_scopes
        return LearnedState(
            tuple((*key, _learned_fields(scope, LIMIT_SCOPE_LEARNED)) for key, scope in limit_scopes.items()),
            tuple(
                (endpoint.id, _learned_fields(endpoint, ENDPOINT_LEARNED))
                for endpoint in self.endpoint_table.endpoints.values()
            ),
            {
                key: queue.backoff_until_us
                for key, queue in self.key_queues.by_key.items()
                if queue.backoff_until_us > self.context.now_us
            },
            dict(self.tenant_quotas.buckets),
            self.idle_connections.trusted_us,
            self._capture_calls(),
        )

    def _capture_calls(self) -> tuple[CallInFlight, ...]:
        calls: dict[int, Call] = {}
        attempts: dict[int, list[tuple[str, int]]] = {}
        for attempt_id, attempt in self.calls.attempts.items():
            calls[id(attempt.call)] = attempt.call
            attempts.setdefault(id(attempt.call), []).append(attempt_id)
        return tuple(
            CallInFlight(
                call.endpoint.id,
                call.sent_at_us,
                call.connection_idle_us,
                call.since_previous_us,
                call.counted,
                tuple(attempts[number]),
            )
            for number, call in calls.items()
        )

    def restore(self, state: LearnedState) -> None:
        """Restores a captured state. Its calls occupy their slots and keys until their attempts end."""
        for destination, route, fields in state.limit_scopes:
            if (destination, route) in self.endpoint_table.limit_scopes:
                _restore_fields(self.endpoint_table.limit_scopes[(destination, route)], LIMIT_SCOPE_LEARNED, fields)
        for endpoint_id, fields in state.endpoints:
            if endpoint_id in self.endpoint_table.endpoints:
                _restore_fields(self.endpoint_table.endpoints[endpoint_id], ENDPOINT_LEARNED, fields)
        for key, until_us in state.key_backoffs.items():
            self.key_queues.restore_backoff(key, until_us)
        self.tenant_quotas.buckets = dict(state.tenant_buckets)
        self.idle_connections.restore(state.trusted_idle_us)
        for call in state.calls:
            self._restore_call(call)

    def _restore_call(self, saved: CallInFlight) -> None:
        attempts = [(message_id, number) for message_id, number in saved.attempts if message_id in self.messages.by_id]
        if not attempts:
            return
        endpoint = self.endpoint_table.endpoints.get(saved.endpoint)
        if endpoint is None:
            destination = self.messages.by_id[attempts[0][0]].destination
            endpoint = self.endpoint_table.unlisted_endpoint(saved.endpoint, destination)
        call = Call(endpoint, saved.sent_us, saved.connection_idle_us, saved.since_previous_us, counted=saved.counted)
        self.calls.resume(call)
        for message_id, number in attempts:
            message = self.messages.by_id[message_id]
            self.calls.add_attempt(message, call, number)
            self.messages.stop_holding(message)
            self.key_queues.start_attempt(message)


def _learned_fields(record: object, names: tuple[str, ...]) -> LearnedFields:
    return {name: getattr(record, name) for name in names}


def _restore_fields(record: object, names: tuple[str, ...], fields: LearnedFields) -> None:
    for name in names:
        if name in fields:
            setattr(record, name, fields[name])
