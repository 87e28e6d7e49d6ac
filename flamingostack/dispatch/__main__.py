"""Entry point of `python -m flamingostack.dispatch`."""

from .main import run

if __name__ == "__main__":
    run()
