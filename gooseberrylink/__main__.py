"""Runs the command line with `python -m gooseberrylink`."""

from gooseberrylink.cmdline import main

if __name__ == "__main__":
    main()
