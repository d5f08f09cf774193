"""Messages between controllers and the cloud."""

from msgspec import Struct

from basaltlead.wire.names import PROTOCOL_NAMES


class MachineTypeInfo(Struct, rename=PROTOCOL_NAMES | {"name": "Label"}):
    """A machine type that the cloud rents out, with its current prices.

    Prices are per hour; `boot_s` is the time from the rental request until the machine is up.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price: float
    boot_s: float
    zones: list[str]
    cache_gb: float = 0.0
    pull_gb_per_s: float = 1.0
    spot_price: float | None = None


class MachineTypeList(Struct, rename=PROTOCOL_NAMES):
    """All machine types."""

    types: list[MachineTypeInfo]


class RentRequest(Struct, rename=PROTOCOL_NAMES):
    """A request to rent machines. Its id makes it idempotent: a repeated one rents no more."""

    request_id: str
    type: str
    zone: str
    spot: bool
    number: int


class MachineNames(Struct, rename=PROTOCOL_NAMES):
    """The names of machines that were rented, or that are to be returned."""

    machines: list[str]


class RentedMachine(Struct, rename=PROTOCOL_NAMES | {"name": "Ref"}):
    """A rented machine in the cloud's list; `age_s` is how long it has been rented."""

    name: str
    type: str
    zone: str
    spot: bool
    stage: str
    address: str | None = None
    age_s: float = 0.0


class MachinePage(Struct, rename=PROTOCOL_NAMES):
    """A page of the list of rented machines; `more` is true if it is not the last one."""

    machines: list[RentedMachine]
    more: bool = False
