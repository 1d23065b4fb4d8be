"""Randomized fault soak: real instances as processes, faults from outside."""

# Seeds that failed once, with their causes.
REGRESSION_SEEDS = {
    101: "a gang whose last end was stored stayed open after an election",
    111: "a port of the soak was taken by another connection",
    412: "two soaks at the same time took the same port; a reload signal ended a"
    " process before its first import",
    202: "a port of the soak was taken by another part of it",
    311: "a reload signal ended a process that was starting",
    323: "a reload signal ended a process that was starting",
    214: "the soak did not start an instance that ended while paused",
}
