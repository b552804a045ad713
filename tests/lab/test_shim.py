"""Calls that fail by the shim leave nothing behind that the program alone would not."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from lab.shim import FailingSocket, Failure, Shim


@pytest.fixture
def shim(tmp_path: Path) -> Shim:
    made = Shim(tmp_path / "control.json", tmp_path)
    FailingSocket.shim = made
    return made


def test_a_send_that_fails_holds_no_buffer_of_the_program(shim: Shim) -> None:
    """Guards against BufferError in the program: the error's traceback kept a view of its buffer alive."""
    shim.control.failures = [Failure("short", share=1.0)]
    shim.polled_at_s = float("inf")
    ours, other = socket.socketpair()
    failing = FailingSocket(ours.family, ours.type, ours.proto, ours.detach())
    other.close()
    buffer = bytearray(b"x" * 1000)
    with pytest.raises(BrokenPipeError) as error:
        failing.send(buffer)
    assert error.value.__traceback__ is not None
    buffer.clear()
    failing.close()


@pytest.mark.parametrize("to_discovery", [True, False])
def test_failures_of_endpoint_connections_spare_those_to_discovery(
    shim: Shim, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, to_discovery: bool
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_server(("127.0.0.1", 0)) as discovery:
        host, port = discovery.getsockname()
        (tmp_path / "config.json").write_text(f'{{"discovery": "{host}:{port}"}}')
        monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
        failing = FailingSocket(socket.AF_INET, socket.SOCK_STREAM)
        failing.connect((discovery if to_discovery else listener).getsockname())
        shim.control.failures = [Failure("endpoint-send", "ENOBUFS")]
        shim.polled_at_s = float("inf")
        if to_discovery:
            assert failing.send(b"x") == 1
        else:
            with pytest.raises(OSError, match="buffer space"):
                failing.send(b"x")
        failing.close()
