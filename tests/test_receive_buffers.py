"""What all connections of a process hold together."""

from lovageshunt._receive_buffers import ReceiveBuffers

LIMIT = 1_000_000
LARGE = 300_000


class Connection:
    """A holder; one that is whole cannot be given up."""

    def __init__(self, last_progress_at: float) -> None:
        self.last_progress_at = last_progress_at
        self.can_be_given_up = True
        self.is_given_up = False

    def give_up(self) -> None:
        self.is_given_up = True
        self.can_be_given_up = False


class TestReceiveBuffers:
    """Who has to give up when there is too little room."""

    def test_gives_up_the_longest_stalled(self) -> None:
        """A crowd that stalls does not lock out who makes progress."""
        buffers = ReceiveBuffers(LIMIT)
        crowd = [Connection(at) for at in range(3)]
        for each in crowd:
            buffers.hold(each, LARGE)
        newest = Connection(9)
        buffers.hold(newest, LARGE)
        assert [each.is_given_up for each in crowd] == [True, False, False]
        assert not newest.is_given_up
        assert buffers.held_bytes == 3 * LARGE

    def test_gives_up_the_newest_in_the_end(self) -> None:
        """What is whole is kept, so that the one that receives gives up."""
        buffers = ReceiveBuffers(LIMIT)
        for at in range(3):
            whole = Connection(at)
            whole.can_be_given_up = False
            buffers.hold(whole, LARGE)
        newest = Connection(9)
        buffers.hold(newest, LARGE)
        assert newest.is_given_up
        assert buffers.held_bytes == 3 * LARGE

    def test_serves_small_requests_all_the_same(self) -> None:
        """Up to a quarter above the limit, ordinary callers are served."""
        buffers = ReceiveBuffers(LIMIT)
        whole = Connection(0)
        whole.can_be_given_up = False
        buffers.hold(whole, LIMIT)
        small = [Connection(1 + at) for at in range(30)]
        for each in small:
            buffers.hold(each, 10_000)
        assert not small[-1].is_given_up
        assert sum(each.is_given_up for each in small) == 5
        assert buffers.held_bytes <= LIMIT * 1.25

    def test_counts_what_is_released(self) -> None:
        """Nothing is counted for a connection that holds nothing."""
        buffers = ReceiveBuffers(LIMIT)
        holder = Connection(0)
        buffers.hold(holder, 10)
        buffers.release(holder, 4)
        assert buffers.held_bytes == 6
        buffers.release(holder, 99)
        assert buffers.held_bytes == 0
        buffers.hold(holder, 5)
        buffers.release_all(holder)
        buffers.release_all(holder)
        assert buffers.held_bytes == 0
