"""The due queue, compared with a dictionary as its model."""

from hypothesis import given, strategies as st

from plantainhinge.core.due_queue import DueQueue

operations = st.lists(
    st.tuples(
        st.sampled_from(["set", "add", "discard", "take"]),
        st.sampled_from("abc"),
        st.integers(0, 9),
    )
)


@given(operations=operations)
def test_a_key_has_one_due_time_and_is_taken_once(operations):
    queue, model = DueQueue(), {}
    for method, key, at in operations:
        if method == "take":
            due = {k for k, t in model.items() if t <= at}
            taken = queue.take(at)
            assert len(taken) == len(set(taken))
            assert set(taken) == due
            model = {k: t for k, t in model.items() if k not in due}
        elif method == "discard":
            queue.discard(key)
            model.pop(key, None)
        elif method == "set" or key not in model:
            getattr(queue, method)(key, at)
            model[key] = at
        assert all((key in queue) == (key in model) for key in "abc")
