"""Machine types like those of the operators' small deployment, and its zones."""

from typing import Any

YARDS = ["asahikawa", "obihiro", "kushiro"]


def grade(label: str, cores: float, memory_gb: float, **fields: Any) -> dict[str, Any]:
    """Return a machine type that every zone has, without a cheap price unless `fields` name one."""
    values: dict[str, Any] = {
        "Label": label,
        "Cores": cores,
        "Gpus": 0.0,
        "MemoryGb": memory_gb,
        "LocalGb": 60.0,
        "PullGbPerS": 0.4,
        "Rate": 1.0,
        "MarketPrice": None,
        "ReadyS": 20.0,
        "Yards": YARDS,
    }
    return values | fields


LUG_SMALL = grade("lug-small", 4.0, 32.0, Rate=0.26, MarketPrice=0.11, ReadyS=40.0, PullGbPerS=0.25)
JACK_MID = grade("jack-mid", 16.0, 64.0, Rate=0.91, MarketPrice=0.36, ReadyS=50.0)
HOIST_BIG = grade("hoist-big", 32.0, 128.0, Rate=1.62, MarketPrice=0.72, PullGbPerS=0.8)
GRADES = [LUG_SMALL, JACK_MID, HOIST_BIG]
