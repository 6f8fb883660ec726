"""
The integrity of an answer.

A caller must receive each token of the answer to its own request exactly once
and in order, each made by a complete chain of one model version.  `AnswerLedger`
judges every piece before it is forwarded.  A piece that is late, repeated, out
of order or foreign is dropped with a reason; it never reaches the caller.
"""

from lentilhaven.answers.answer_ledger import AnswerLedger, DropReason
from lentilhaven.answers.event_id import ResumePoint

__all__ = ["AnswerLedger", "DropReason", "ResumePoint"]
