"""Keys by due time, against a plain dictionary."""

from hypothesis import given, strategies as st

from plantainhinge.core.due_queue import DueQueue

steps = st.lists(
    st.tuples(
        st.sampled_from(["set", "add", "discard", "take"]),
        st.sampled_from("abc"),
        st.integers(0, 9),
    )
)


@given(steps=steps)
def test_a_key_has_one_time_and_is_taken_once(steps):
    queue, model = DueQueue(), {}
    for verb, key, at in steps:
        if verb == "take":
            due = {k for k, t in model.items() if t <= at}
            taken = queue.take(at)
            assert len(taken) == len(set(taken))
            assert set(taken) == due
            model = {k: t for k, t in model.items() if k not in due}
        elif verb == "discard":
            queue.discard(key)
            model.pop(key, None)
        elif verb == "set" or key not in model:
            getattr(queue, verb)(key, at)
            model[key] = at
        assert all((key in queue) == (key in model) for key in "abc")
