"""The states of a machine, from the point of view of its shard leader."""

from enum import Enum, auto


class MachineState(Enum):
    """Whether tasks can be started on a machine, and if not, why. Computed by `Machine.state`.

    ::

        PROVISIONING ---> SYNCING ---> READY <---> CORDONED
                             ^           |             |
                             |<----------+-------------+     (new agent epoch)
                             |
                            LOST <----- PROVISIONING, SYNCING, READY, CORDONED, DRAINING

        DRAINING    <----- PROVISIONING, SYNCING, READY, CORDONED
        TERMINATING <----- every other state

    ============ ============ ==================================================================
    from         to           when
    ============ ============ ==================================================================
    PROVISIONING SYNCING      its first message arrives
    (new leader) SYNCING      its record is loaded: it may hold tasks of an earlier leader
    SYNCING      READY        a report carries our fencing token, so its list of tasks is
                              complete, and the machine is recorded in the key-value store, so
                              the next shard leader will find its tasks
    READY        CORDONED     a task failed or was refused there (for a limited time), or our
                              commands may not reach it (until something proves that they do)
    CORDONED     READY        that time is over, and our commands are proven to reach it
    READY,       SYNCING      its agent begins a new epoch: everything that ran there was
    CORDONED                  killed, and our commands may not reach it
    any          DRAINING     it is considered faulty or slow, or has a preemption notice: its
                              tasks are moved to other machines
    DRAINING     as before    the preemption notice is withdrawn, unless the machine is faulty
    any          LOST         its lease has expired, so it has killed all its tasks
    LOST         SYNCING      a message arrives in a new epoch
    any          TERMINATING  it is to be returned to the cloud; no state follows
    ============ ============ ==================================================================

    If several states apply, the first of TERMINATING, LOST, DRAINING, PROVISIONING or SYNCING,
    CORDONED, READY is used.
    """

    PROVISIONING = auto()  # rented, no message so far, holds no task
    SYNCING = auto()  # reporting or known from a record; no task may be started there yet
    READY = auto()
    CORDONED = auto()  # no task is started there for now; those already there stay
    DRAINING = auto()
    TERMINATING = auto()
    LOST = auto()
