"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not be run."""
import os
import signal
import sys
import traceback

from .deployment import CannotRun
from .record import Record


def run(folder: str, play) -> None:
    """`play(record, trouble)` returns a list of breaks of the rule."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended on the way out
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", folder=os.path.basename(folder), trouble=trouble)
    try:
        breaks = play(record, trouble)
        for text in breaks:
            record.add("rule broken", text=text)
        status = 1 if breaks else 0
    except CannotRun as error:
        record.add("cannot run", text=str(error))
        status = 2
    except Exception:  # an error of the case itself
        record.add("cannot run", text=traceback.format_exc())
        status = 2
    record.add("result", status=status)
    record.close()
    for event in record.events[-12:]:
        if event["what"] in ("rule broken", "cannot run", "result"):
            print(event)
    sys.exit(status)
