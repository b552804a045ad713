"""Tests that injected failures have no side effects on the program, and apply only to the chosen connections."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from lab.shim import FailingSocket, Failure, Shim


@pytest.fixture
def shim(tmp_path: Path) -> Shim:
    new_shim = Shim(tmp_path / "control.json", tmp_path)
    FailingSocket.shim = new_shim
    return new_shim


def test_a_failed_send_keeps_no_view_of_the_buffer(shim: Shim) -> None:
    """Guards against a BufferError in the program: the error's traceback kept a view of its buffer alive."""
    shim.control.failures = [Failure("short", share=1.0)]
    shim.last_poll_s = float("inf")
    own_end, other_end = socket.socketpair()
    failing = FailingSocket(own_end.family, own_end.type, own_end.proto, own_end.detach())
    other_end.close()
    buffer = bytearray(b"x" * 1000)
    with pytest.raises(BrokenPipeError) as error:
        failing.send(buffer)
    assert error.value.__traceback__ is not None
    buffer.clear()
    failing.close()


@pytest.mark.parametrize("to_discovery", [True, False])
def test_endpoint_failures_do_not_apply_to_discovery_connections(
    shim: Shim, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, to_discovery: bool
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_server(("127.0.0.1", 0)) as discovery:
        host, port = discovery.getsockname()
        (tmp_path / "config.json").write_text(f'{{"discovery": "{host}:{port}"}}')
        monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
        failing = FailingSocket(socket.AF_INET, socket.SOCK_STREAM)
        failing.connect((discovery if to_discovery else listener).getsockname())
        shim.control.failures = [Failure("endpoint-send", "ENOBUFS")]
        shim.last_poll_s = float("inf")
        if to_discovery:
            assert failing.send(b"x") == 1
        else:
            with pytest.raises(OSError, match="buffer space"):
                failing.send(b"x")
        failing.close()
