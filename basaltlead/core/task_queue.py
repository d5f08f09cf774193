"""The order in which a shard starts the tasks of one job."""

from collections.abc import Callable, Collection

TaskRange = tuple[int, int]  # the first task, and one past the last


class TaskQueue:
    """The tasks of a job that are assigned to this shard, and which of them starts next.

    Each assigned task is taken once, in order. A task whose attempt was lost is put back, and comes
    before those that were not taken so far.
    """

    def __init__(self, tasks: int) -> None:
        self.ranges: list[TaskRange] = [(0, tasks)]
        self.size = tasks
        self._position = (0, 0)  # index of a range and a task; all tasks before it were taken
        self._returned: list[int] = []

    def assign(self, ranges: list[TaskRange]) -> None:
        """Replace the tasks that this shard may start."""
        self.ranges = ranges
        self.size = sum(high - low for low, high in ranges)
        self.rewind()

    def rewind(self) -> None:
        """Start again from the first task."""
        self._position = (0, 0)
        self._returned.clear()

    def contains(self, index: int) -> bool:
        """Whether the task is assigned to this shard."""
        return any(low <= index < high for low, high in self.ranges)

    def put_back(self, index: int) -> None:
        """Queue a task to be started once more."""
        self._returned.append(index)

    def next(self, live: Collection[int], is_done: Callable[[int], bool]) -> int | None:
        """Take the task to start next, which is neither done nor live; None if there is none."""
        while self._returned:
            index = self._returned.pop()
            if index not in live and not is_done(index) and self.contains(index):
                return index
        part, at = self._position
        while part < len(self.ranges):
            low, high = self.ranges[part]
            for index in range(max(low, at), high):
                if index not in live and not is_done(index):
                    self._position = (part, index + 1)
                    return index
            part, at = part + 1, 0
        self._position = (part, at)
        return None

    def unstarted_tail(self, touched: Collection[int]) -> TaskRange | None:
        """The later half of the last range's untaken tasks; None if any of that half is in
        `touched` or was put back."""
        if not self.ranges or self._position[0] >= len(self.ranges):
            return None
        low, high = self.ranges[-1]
        if self._position[0] == len(self.ranges) - 1:
            low = max(low, self._position[1])
        middle = (low + high + 1) // 2
        is_clear = not any(middle <= index < high for index in (*touched, *self._returned))
        return (middle, high) if middle < high and is_clear else None
