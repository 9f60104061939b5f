"""What a process holds, and who is given up for others."""

from lovageshunt._memory_account import Holding, MemoryAccount, Use

LIMIT = 1_000_000
LARGE = 300_000
SMALL = 10_000


class Owner:
    """Releases what it holds when it is given up."""

    def __init__(self, account: MemoryAccount, use: Use = Use.PARTIAL) -> None:
        self.holding: Holding = account.open(self, use)
        self.is_given_up = False

    def hold(self, taken_bytes: int) -> 'Owner':
        """Hold something that can be released."""
        self.holding.update(taken_bytes, taken_bytes)
        return self

    def begin(self) -> None:
        """What is held is in progress: it cannot be released."""
        self.holding.update(self.holding.taken_bytes)

    def give_up(self) -> None:
        self.is_given_up = True
        self.holding.close()


def given_up(owners: list[Owner]) -> list[int]:
    return [at for at, each in enumerate(owners) if each.is_given_up]


class TestMemoryAccount:
    """Who has to give up when there is too little room."""

    def test_gives_up_the_longest_stalled(self) -> None:
        """A crowd that stalls does not lock out who makes progress."""
        account = MemoryAccount(LIMIT)
        crowd = [Owner(account).hold(LARGE) for _ in range(3)]
        crowd[0].hold(LARGE)
        newest = Owner(account).hold(LARGE)
        assert given_up([*crowd, newest]) == [1]
        assert account.held_bytes == 3 * LARGE

    def test_gives_up_the_newest_in_the_end(self) -> None:
        """What is in progress is kept, so that the one that came last goes."""
        account = MemoryAccount(LIMIT)
        for _ in range(3):
            Owner(account).hold(LARGE).begin()
        newest = Owner(account).hold(LARGE)
        assert newest.is_given_up
        assert account.held_bytes == 3 * LARGE

    def test_serves_small_requests_all_the_same(self) -> None:
        """Up to a quarter above the limit, ordinary callers are served."""
        account = MemoryAccount(LIMIT)
        Owner(account).hold(LIMIT).begin()
        small = [Owner(account).hold(SMALL) for _ in range(30)]
        assert given_up(small) == [0, 1, 2, 3, 4]
        assert account.held_bytes <= LIMIT * 1.25

    def test_bounds_small_requests_in_progress(self) -> None:
        """Also those that are whole as soon as they arrive."""
        account = MemoryAccount(LIMIT)
        small = []
        for _ in range(200):
            small.append(Owner(account).hold(SMALL))
            if not small[-1].is_given_up:
                small[-1].begin()
        assert given_up(small) == list(range(125, 200))

    def test_gives_up_a_large_one_before_small_ones(self) -> None:
        """Also if the small ones are stalled for longer."""
        account = MemoryAccount(LIMIT)
        small = [Owner(account).hold(SMALL) for _ in range(20)]
        large = Owner(account, Use.WAITING).hold(LIMIT)
        assert large.is_given_up
        assert not given_up(small)

    def test_gives_up_parts_before_calls_that_wait(self) -> None:
        """And those before answers, whose work is done."""
        account = MemoryAccount(LIMIT)
        answer = Owner(account, Use.ANSWER).hold(LARGE)
        waiting = Owner(account, Use.WAITING).hold(LARGE)
        partial = Owner(account).hold(LARGE)
        Owner(account).hold(LARGE).begin()
        others = [answer, waiting, partial]
        assert given_up(others) == [2]
        Owner(account).hold(LARGE).begin()
        assert given_up(others) == [2]
        Owner(account, Use.ANSWER).hold(LARGE)
        assert given_up(others) == [1, 2]

    def test_gives_up_the_call_that_came_last(self) -> None:
        """Calls are served in their order, so it would wait for longest."""
        account = MemoryAccount(LIMIT)
        waiting = [Owner(account, Use.WAITING).hold(LARGE) for _ in range(4)]
        assert given_up(waiting) == [3]

    def test_ends_if_nothing_is_released(self) -> None:
        """An owner that cannot release anything is passed over."""
        account = MemoryAccount(LIMIT)
        stubborn = Owner(account)
        stubborn.holding.owner = Stubborn()
        stubborn.hold(LARGE)
        newest = Owner(account).hold(LIMIT)
        assert newest.is_given_up
        assert account.held_bytes == LARGE

    def test_counts_what_is_released(self) -> None:
        """Nothing is counted for an owner that holds nothing."""
        account = MemoryAccount(LIMIT)
        owner = Owner(account).hold(10)
        owner.hold(6)
        assert account.held_bytes == 6
        owner.holding.close()
        owner.holding.close()
        assert account.held_bytes == 0


class Stubborn:
    """Releases nothing."""

    def give_up(self) -> None:
        """Do nothing."""
