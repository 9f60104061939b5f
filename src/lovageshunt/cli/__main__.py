"""Entry point of ``python -m lovageshunt.cli``."""

from lovageshunt.cli._app import run

if __name__ == '__main__':
    run()
