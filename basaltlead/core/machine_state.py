"""The states of a machine as its shard leader sees it."""

from enum import Enum, auto


class MachineState(Enum):
    """Whether a machine takes tasks, and if not, why. `Machine.state` computes it from the facts.

    ::

        PROVISIONING ---> SYNCING ---> READY <---> CORDONED
                             ^           |             |
                             |<----------+-------------+     new agent epoch
                             |
                            LOST <----- PROVISIONING, SYNCING, READY, CORDONED, DRAINING

        DRAINING    <----- PROVISIONING, SYNCING, READY, CORDONED
        TERMINATING <----- every other state

    ============ ============ ==================================================================
    from         to           when
    ============ ============ ==================================================================
    PROVISIONING SYNCING      it is heard for the first time
    (new leader) SYNCING      a record of it is loaded: it may hold tasks of an earlier leader
    SYNCING      READY        a report shows our fencing token, so that its list of tasks is
                              complete, and it is recorded in the key-value store, so that the
                              next shard leader finds its tasks
    READY        CORDONED     a task failed or was refused there (for a while), or there is doubt
                              whether our commands reach it (until something proves that they do)
    CORDONED     READY        the while is over, and it is proven to hear us
    READY,       SYNCING      its agent begins a new epoch: all that ran there was killed, and
    CORDONED                  there is doubt whether our commands reach it
    any          DRAINING     it is taken to be faulty or slow, or has a preemption notice: work
                              is moved off it
    DRAINING     as before    the preemption notice is withdrawn, unless it is faulty
    any          LOST         its lease has expired, so that it has killed all its tasks
    LOST         SYNCING      it is heard again, in a new epoch
    any          TERMINATING  it is to be returned to the cloud; no state follows
    ============ ============ ==================================================================

    A machine may meet the conditions of several; the first of TERMINATING, LOST, DRAINING,
    PROVISIONING or SYNCING, CORDONED, READY counts.
    """

    PROVISIONING = auto()  # rented; it has not been heard and holds no task
    SYNCING = auto()  # heard or known from a record, but no task may be started there yet
    READY = auto()
    CORDONED = auto()  # nothing is started on it for now, what is there stays
    DRAINING = auto()
    TERMINATING = auto()
    LOST = auto()
