"""Test laboratory: a fleet of forwarder processes on one machine, with fake peers and injected faults.

`forwarder` never imports this package. docs/lab.md describes its use. `scenario`, `plan`, `endpoint_model`,
`observed_state`, `rules` and `metrics` are free of I/O. `network`, `endpoints`, `discovery`, `front`, `clients` and
`forwarder_process` use sockets and processes. `testbed` connects the parties, `fault_injection` injects the faults,
`sampling` samples the run, and `run` executes a whole scenario.
"""
