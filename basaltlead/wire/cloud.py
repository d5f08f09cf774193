"""Controllers -> cloud."""

from msgspec import Struct


class MachineTypeInfo(
    Struct,
    rename={
        "name": "Label",
        "cpus": "Cores",
        "gpus": "Gpus",
        "memory_gb": "MemoryGb",
        "cache_gb": "LocalGb",
        "pull_gb_per_s": "PullGbPerS",
        "price": "Rate",
        "spot_price": "MarketPrice",
        "boot_s": "ReadyS",
        "zones": "Yards",
    },
):
    """A type that the cloud rents out, with its present prices."""

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


class MachineTypeList(Struct, rename={"types": "Grades"}):
    """All types."""

    types: list[MachineTypeInfo]


class RentRequest(
    Struct,
    rename={
        "request_id": "Hire",
        "type": "Grade",
        "zone": "Yard",
        "spot": "Loaners",
        "number": "Number",
    },
):
    """A rental request."""

    request_id: str
    type: str
    zone: str
    spot: bool
    number: int


class MachineNames(Struct, rename={"machines": "Anvils"}):
    """MachineNames of machines."""

    machines: list[str]


class RentedMachine(
    Struct,
    rename={
        "name": "Ref",
        "address": "Addr",
        "type": "Grade",
        "zone": "Yard",
        "spot": "Loaners",
        "stage": "Stage",
        "age_s": "HeldS",
    },
):
    """A machine in the list of rented ones."""

    name: str
    type: str
    zone: str
    spot: bool
    stage: str
    address: str | None = None
    age_s: float = 0.0


class MachinePage(Struct, rename={"machines": "Anvils", "more": "HasNext"}):
    """A part of that list."""

    machines: list[RentedMachine]
    more: bool = False
