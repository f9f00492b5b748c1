"""The budget of memory that a server's connections share."""

from dataclasses import dataclass

from hypothesis import given, strategies as st

from plantainhinge.adapters.stream_http_limits import ReceiveBudget

LIMIT = 1000


@dataclass
class FakeConnection:
    budget: ReceiveBudget
    whole_bytes: int
    unfinished_bytes: int

    def __post_init__(self):
        self.budget.held += self.held_bytes

    @property
    def held_bytes(self):
        return self.whole_bytes + self.unfinished_bytes

    def give_way(self):
        assert self.unfinished_bytes > 0
        self.budget.held -= self.unfinished_bytes
        self.unfinished_bytes = 0


sizes = st.integers(0, LIMIT)


@given(st.lists(st.tuples(sizes, sizes), min_size=1, max_size=6), sizes)
def test_requests_that_were_read_whole_never_give_way_and_the_sum_stays_bounded(
    rows, size
):
    budget = ReceiveBudget(LIMIT)
    connections = [FakeConnection(budget, *row) for row in rows]
    asking = connections[0]
    before = asking.unfinished_bytes
    has_room = budget.make_room(asking, size, connections)
    others = connections[1:]
    assert [c.whole_bytes for c in connections] == [whole for whole, _ in rows]
    assert budget.held == sum(c.held_bytes for c in connections)
    assert asking.unfinished_bytes == before
    if has_room:
        alone = not any(c.held_bytes for c in others)
        assert alone or budget.held + size <= LIMIT
    else:
        largest = max((c.unfinished_bytes for c in others), default=0)
        assert largest <= before + size


def test_the_largest_unfinished_request_gives_way_first():
    budget = ReceiveBudget(LIMIT)
    small, large, asking = (FakeConnection(budget, 0, n) for n in (300, 500, 100))
    assert budget.make_room(asking, 200, [small, large, asking])
    assert [small.unfinished_bytes, large.unfinished_bytes] == [300, 0]


def test_a_single_request_may_be_larger_than_the_budget():
    budget = ReceiveBudget(LIMIT)
    asking, idle = FakeConnection(budget, 0, 900), FakeConnection(budget, 0, 0)
    assert budget.make_room(asking, 500, [asking, idle])
