"""The limits of the key-value store, and the division of rows into transactions that fit them."""

from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

TRANSACTION_BYTES = 64 * 1024
PRECONDITIONS_PER_OPERATION = 4
# Part of a transaction's size that is reserved for preconditions, keys and punctuation.
ENVELOPE_BYTES = 8 * 1024


class StoreLimits(Struct, frozen=True):
    """Limits that every request from this controller respects; rates are per second."""

    rps: float
    write_rps: float
    value_bytes: int
    operations: int  # puts and deletes in one transaction

    @property
    def preconditions(self) -> int:
        """The maximum number of preconditions in one transaction."""
        return self.operations * PRECONDITIONS_PER_OPERATION

    def limit_error(
        self, preconditions: int, operations: int, value_sizes: list[int], total: int
    ) -> str:
        """Describe the limit that a transaction with these counts and sizes in bytes would exceed;
        empty if it exceeds none."""
        if operations > self.operations:
            return f"{operations} operations, {self.operations} are allowed"
        if preconditions > self.preconditions:
            # Part of responses to users (422), so the wording must not change.
            return f"{preconditions} guards, {self.preconditions} are allowed"
        largest = max(value_sizes, default=0)
        if largest > self.value_bytes:
            return f"a value of {largest} bytes, {self.value_bytes} are allowed"
        if total > TRANSACTION_BYTES:
            return f"{total} bytes, {TRANSACTION_BYTES} are allowed"
        return ""

    def delete_batches(self, keys: Iterable[str], extra_operations: int = 0) -> Iterator[list[str]]:
        """Divide keys to be deleted into batches, one per transaction, with room for
        `extra_operations` other changes in each."""
        return self.batches(dict.fromkeys(keys, 0), extra_operations)

    def batches(self, sizes: Mapping[str, int], extra_operations: int = 0) -> Iterator[list[str]]:
        """Divide rows, given as key and value size in bytes, into batches, one per transaction,
        with room for `extra_operations` other changes in each."""
        batch: list[str] = []
        used = 0
        for key, size in sizes.items():
            full = len(batch) >= self.operations - extra_operations
            if batch and (full or used + size > TRANSACTION_BYTES - ENVELOPE_BYTES):
                yield batch
                batch, used = [], 0
            batch.append(key)
            used += size
        if batch:
            yield batch
