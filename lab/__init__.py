"""A fleet on one machine: many processes of the program, fake parties for all that it serves, faults between them.

Never imported by `forwarder`. Use: docs/lab.md. What decides is pure (`scenario`, `plan`, `endpoint_model`,
`observed_state`, `rules`, `metrics`); what has sockets and processes is `network`, `endpoints`, `discovery`, `front`,
`clients` and `forwarder_process`. `testbed` joins the parties, `fault_injection` strikes them, `sampling` samples
them, and `run` plays it all.
"""
