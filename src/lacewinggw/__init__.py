"""lacewinggw: a weight distribution system for bursts."""

__version__ = "0.1.0"
