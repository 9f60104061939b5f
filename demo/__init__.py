"""Two deployments under load, with a planned stop of one VM.

``python -m demo`` starts stand-ins and nodes as processes, accepts a sheet
for each deployment, sends lookups and purchases through chains, stops a VM
under load, and checks every promise that it can see. Exit code 0 means that
all of them held.
"""
