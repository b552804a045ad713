"""A fleet on one machine: many processes of the program, stand-ins for all that it serves, faults between them.

Never imported by `forwarder`. Use: docs/lab.md. The cut is that of the program: what decides is pure
(`scenario`, `plan`, `model`, `judge`, `figures`), what has sockets and processes is `net`, `endpoints`,
`discovery`, `clients`, `nodes`; `run` joins them.
"""
