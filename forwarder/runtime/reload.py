"""Reload: applies what can change in a running forwarder: discovery's address and the settings.

The file is read again on SIGHUP. After an upgrade it is also read without a signal, as it takes over and once the
previous process has ended: a signal that reached that process, too late to be carried out there, announced a file that
was in place by then.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import astuple, replace

from forwarder.config.accepted_config import AcceptedConfig, accepted_part
from forwarder.config.config import Config, ConfigError, ConfigUnreadableError, is_file_in_force, load_config
from forwarder.decisions.events import EndpointListKind, EndpointListReceived, SettingsChanged
from forwarder.decisions.settings import Settings
from forwarder.runtime.context import Runtime

RETRY_S = 0.2
"""Delay before a configuration that cannot be read is tried again."""
log = logging.getLogger("forwarder.engine")


def socket_settings(settings: Settings) -> Settings:
    """Returns the settings for a forwarder on sockets, overriding what applies to the simulator's discovery only.

    On sockets, an end is known once its notice is acknowledged, and the endpoint list always has to be polled.
    """
    return replace(settings, notices_acknowledged=True, poll_endpoint_list=True)


class ConfigReloader:
    """Reads the configuration again. An incomplete or invalid file changes nothing."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.accepted: AcceptedConfig | None = None
        """What was accepted of files that were read again, here or by previous processes; None if none was."""
        self._retry: asyncio.TimerHandle | None = None
        self._is_requested = False
        self._is_held = False
        self.refusal = ""
        """Why the newest file was refused; empty if it was accepted."""

    def request(self) -> None:
        """Reads the file in the event loop's next iteration, once for all requests until then."""
        if not self._is_requested:
            self._is_requested = True
            if not self._is_held:
                asyncio.get_running_loop().call_soon(self._reload_requested)

    def _reload_requested(self) -> None:
        self._is_requested = False
        self.reload()

    def hold(self) -> None:
        """Lets requests wait until `begin`, since a process that still takes over cannot carry them out."""
        self._is_held = True

    def begin(self) -> None:
        """Carries out the requests that waited. Without one, catches up on files that were there since the start."""
        self._is_held = False
        if self._is_requested:
            self._reload_requested()
        else:
            self.catch_up()

    def catch_up(self) -> None:
        """Reads the file without a request, unless it is the one in force.

        If it is, the environment's address of discovery goes on to count, as at the start.
        """
        if is_file_in_force(self.runtime.config):
            self._reload_extensions()
        else:
            self.reload()

    def reload(self) -> None:
        """Reads the file, and retries shortly afterwards if it cannot be read, because discovery may have moved."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        try:
            loaded = load_config(before=self.runtime.config)
        except ConfigUnreadableError as error:
            log.error("the configuration cannot be read and will be retried: %s", error)
            self._retry = asyncio.get_running_loop().call_later(RETRY_S, self.reload)
            return
        except ConfigError as error:
            log.error("the configuration is left as it was: %s", error)
            self.refusal = str(error)
            return
        self.refusal = ""
        self._apply_config(loaded)

    def _apply_config(self, loaded: Config) -> None:
        runtime = self.runtime
        before = runtime.config
        runtime.config = replace(
            before,
            discovery=loaded.discovery,
            settings=loaded.settings,
            report_fields=loaded.report_fields,
            document=loaded.document,
            file_digest=loaded.file_digest,
            common_document=loaded.common_document,
        )
        self.accepted = accepted_part(runtime.config)
        runtime.intake.settings = loaded.settings
        self._reload_extensions()
        log.info(
            "the configuration was read again: discovery at %s:%d, classes %s, %d attempts",
            *astuple(loaded.discovery),
            ", ".join(message_class.name for message_class in loaded.settings.classes),
            loaded.settings.max_attempts,
        )
        if loaded.discovery != before.discovery:
            runtime.watch.change_address(loaded.discovery)
            runtime.notices.change_address(loaded.discovery)
        is_changed = (loaded.settings, loaded.report_fields) != (before.settings, before.report_fields)
        if is_changed and not runtime.run_state.is_frozen:
            runtime.loop.run_round()  # submissions from before the reload are accepted under the old settings
            self._apply_settings(socket_settings(loaded.settings))

    def _reload_extensions(self) -> None:
        """Lets the extensions read their own files again."""
        for extension in self.runtime.extensions:
            self.runtime.supervisor.guard(extension.name, extension.reload)

    def _apply_settings(self, settings: Settings) -> None:
        runtime = self.runtime
        runtime.server.settings = settings
        runtime.endpoint_table.apply_settings(settings.kinds)
        runtime.pool.apply_settings(runtime.config.report_fields, settings.idle_timeout_us, settings.connect_timeout_us)
        entries = runtime.endpoint_table.entries(
            runtime.endpoint_table.endpoints.values(), runtime.store.disabled_endpoints
        )
        runtime.loop.events += [SettingsChanged(settings), EndpointListReceived(EndpointListKind.WHOLE, entries)]
        runtime.loop.run_round()
