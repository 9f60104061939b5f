"""Two deployments under load, with a planned stop of one VM.

``python -m demo`` starts fake targets, a fake platform and nodes as
processes, accepts a sheet for each deployment, sends lookups and purchases
through chains of services, stops a node under load and checks the guarantees
that can be observed from outside. The exit code is 0 if all held.
"""
