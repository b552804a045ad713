"""The store against a plain model, over crashes and snapshots."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.storage import journal_writer
from forwarder.storage.record_format import (
    encode_record_frame,
)
from forwarder.storage.store import MessageStore
from tests.storage.folders import (
    MAX_BYTES,
    accepted_message,
)

NAMES = st.sampled_from(["m1", "m2", "m3", "m4"])


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "take",
                "attempt",
                "outcome",
                "over",
                "owe",
                "told",
                "ban",
                "crash",
                "compact",
                "torn",
                "snapshot",
                "snapshot",
            ]
        ),
        NAMES,
    ),
    max_size=60,
)


@profile(derandomize=True, max_examples=120, deadline=None)
@given(STEPS, st.integers(0, 2**32 - 1))
def test_the_store_equals_a_plain_model_over_crashes(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, str]], noise: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 1)  # one record of a snapshot a round
        assert_store_equals_model(tmp_path_factory, steps, noise)


def assert_store_equals_model(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, str]], noise: int
) -> None:
    folder = tmp_path_factory.mktemp("s")
    store = MessageStore(folder, MAX_BYTES).take_ownership()
    model: dict[str, tuple[int, int]] = {}  # attempts, out
    owed: set[str] = set()
    bans: set[str] = set()
    over: set[str] = set()
    for what, name in steps:
        held = name in model
        if what == "take" and not held and name not in over:
            store.accept(accepted_message(name))
            model[name] = (0, 0)
        elif what == "attempt" and held and not model[name][1]:
            store.record_attempt(store.messages[name], model[name][0], 5, "s1")
            model[name] = (model[name][0] + 1, 1)
        elif what == "outcome" and held and model[name][1]:
            store.record_outcome(store.messages[name], model[name][0] - 1, True)
            model[name] = (model[name][0], 0)
        elif what in ("over", "owe") and held:
            store.end_message(name) if what == "over" else store.add_pending_notice(name, "failed", 0)
            owed |= {name} if what == "owe" else set()
            over.add(name)
            del model[name]
        elif what == "told" and name in owed:
            store.acknowledge_notice(name)
            owed.discard(name)
        elif what == "ban":
            store.disable_endpoint(name, -1 if name in bans else 9)
            bans ^= {name}
        elif what in ("crash", "torn"):
            store.close()
            if what == "torn":
                with (folder / "journal").open("ab") as file:
                    file.write(
                        encode_record_frame(store.salt, store.writer.record_number + 1, ("over", name))[
                            : 1 + noise % 20
                        ]
                    )
            store = MessageStore(folder, MAX_BYTES).take_ownership()
        elif what == "compact":
            store.flush()
            assert store.compact()
        elif what == "snapshot" and store.files.snapshot_writer is None:
            store.begin_snapshot()
        store.flush()
        assert {n: (m.attempts, len(m.in_flight)) for n, m in store.messages.items()} == model
        assert set(store.pending_notices) == owed
        assert set(store.disabled_endpoints) == bans
        assert over <= set(store.ended_ids)
        assert not store.recovered.is_damaged
        assert not any(m.is_doubtful for m in store.messages.values())
    store.close()
