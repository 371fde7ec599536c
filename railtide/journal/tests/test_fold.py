"""Tests of railtide.journal.fold."""

from railtide.budgets.balance import available
from railtide.budgets.messages import Fence, Grant, GrantReturn, Release, TopUp, Waste
from railtide.configuration.messages import Proposal
from railtide.journal.checkpoint import state_from_bytes, state_to_bytes
from railtide.journal.entries import Entry, Record, VerdictCode, make_entry
from railtide.journal.fold import OPEN_MAX_AGE_MS, fold
from railtide.journal.state import HolderStatus, State
from railtide.membership.messages import CloseHolder, Heartbeat, OpenHolder
from railtide.requests.messages import Adopt, Bill, Extend, Intent, Lookup, Outcome

ACCOUNT = "pantry"
HOLDERS = ("a", "b", "c")


class Log:
    """Writes entries one by one and folds each at once."""

    def __init__(self, holders: tuple[str, ...] = HOLDERS) -> None:
        self.state = State()
        self.stamp = 1
        self.seqs: dict[str, int] = {}
        self.written: list[Entry] = []
        for holder in ("op", *holders):
            self.write(holder, OpenHolder(holder, "d", "", "router", 0))
        self.write("op", Proposal("account", ACCOUNT, 0, b"{}"))

    def entry(self, holder: str, record: Record) -> Entry:
        self.seqs[holder] = self.seqs.get(holder, 0) + 1
        return make_entry(holder, self.seqs[holder], 0, record)

    def fold(self, entries: list[Entry]):
        return fold(self.state, self.state.offset + 1, self.stamp, entries)

    def write(self, holder: str, record: Record):
        entry = self.entry(holder, record)
        self.written.append(entry)
        return self.fold([entry])[0].verdict

    @property
    def balance(self):
        return self.state.by_account[ACCOUNT]


class TestSequence:
    def test_duplicate_takes_effect_once(self) -> None:
        log = Log()
        entry = log.entry("op", TopUp(ACCOUNT, 5, "t"))
        assert len(log.fold([entry, entry])) == 1
        assert log.fold([entry]) == []
        assert log.balance.topped_up == 5

    def test_entry_ahead_of_its_sequence_is_ignored_until_resent(self) -> None:
        log = Log()
        first, second = log.entry("a", Heartbeat()), log.entry("a", Heartbeat())
        assert log.fold([second]) == []
        assert len(log.fold([first, second])) == 2

    def test_unknown_record_is_skipped_but_uses_its_sequence_number(self) -> None:
        log = Log()
        entry = log.entry("a", Heartbeat())
        unknown = Entry("a", entry.seq, 0, b"\x93\xcd\x03\xe7\x01\x02")
        assert log.fold([unknown])[0].verdict.code == VerdictCode.SKIPPED
        assert log.write("a", Heartbeat()).ok

    def test_record_with_a_newer_field_is_read(self) -> None:
        log = Log()
        entry = log.entry("op", TopUp(ACCOUNT, 5, "t"))
        longer = bytes([bytes(entry.record)[0] + 1]) + bytes(entry.record)[1:] + b"\x07"
        assert log.fold([Entry("op", entry.seq, 0, longer)])[0].verdict.ok
        assert log.balance.topped_up == 5

    def test_lower_offset_is_ignored(self) -> None:
        log = Log()
        entry = log.entry("op", TopUp(ACCOUNT, 5, "t"))
        assert fold(log.state, log.state.offset, 9, [entry]) == []

    def test_late_open_of_a_forgotten_holder_is_refused(self) -> None:
        log = Log()
        first = log.written[1]
        log.write("a", CloseHolder())
        log.stamp = 2 * OPEN_MAX_AGE_MS
        log.write("op", Heartbeat())
        log.fold([log.entry("d", OpenHolder("d", "", "", "router", log.stamp))])
        assert "a" not in log.state.by_holder
        assert log.fold([first]) == []
        assert "a" not in log.state.by_holder

    def test_verdict_is_kept_until_acknowledged(self) -> None:
        log = Log()
        log.write("a", Heartbeat())
        assert 2 in log.state.by_holder["a"].by_seq
        log.fold([make_entry("a", 3, 2, Heartbeat())])
        assert list(log.state.by_holder["a"].by_seq) == [3]


class TestGrants:
    def test_grant_beyond_the_budget_is_refused(self) -> None:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 10, "t"))
        assert log.write("a", Grant(ACCOUNT, 8, 0)).ok
        refused = log.write("b", Grant(ACCOUNT, 8, 0))
        assert (refused.code, refused.available) == (VerdictCode.BUDGET_EXHAUSTED, 2)

    def test_top_up_counts_once_by_its_id(self) -> None:
        log = Log()
        assert log.write("op", TopUp(ACCOUNT, 10, "t")).ok
        assert log.write("a", TopUp(ACCOUNT, 10, "t")).code == VerdictCode.REFUSED
        assert log.balance.topped_up == 10

    def test_top_up_of_unknown_account_is_refused(self) -> None:
        assert Log().write("op", TopUp("nobody", 1, "t")).code == VerdictCode.UNKNOWN_ACCOUNT

    def test_fence_withholds_open_requests_and_exposure(self) -> None:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 100, "t"))
        log.write("a", Grant(ACCOUNT, 60, 10))
        log.write("a", Intent("r", ACCOUNT, 5, "p"))
        assert log.write("b", Fence("a", log.seqs["a"])).ok
        assert available(log.balance) == 100 - 15

    def test_fence_loses_against_a_later_entry(self) -> None:
        log = Log()
        seen = log.seqs["a"]
        log.write("a", Heartbeat())
        assert log.write("b", Fence("a", seen)).code == VerdictCode.REFUSED
        assert log.state.by_holder["a"].status == HolderStatus.OPEN

    def test_late_return_of_a_fenced_holder_frees_nothing(self) -> None:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 100, "t"))
        log.write("a", Grant(ACCOUNT, 60, 10))
        log.write("b", Fence("a", log.seqs["a"]))
        assert log.write("a", GrantReturn(ACCOUNT, 10)).code == VerdictCode.REFUSED
        assert available(log.balance) == 90

    def test_fenced_holder_gets_no_grant(self) -> None:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 100, "t"))
        log.write("b", Fence("a", log.seqs["a"]))
        assert log.write("a", Grant(ACCOUNT, 1, 0)).code == VerdictCode.FENCED

    def test_close_returns_all_but_the_reserves_of_open_requests(self) -> None:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 100, "t"))
        log.write("a", Grant(ACCOUNT, 60, 10))
        log.write("a", Intent("r", ACCOUNT, 5, "p"))
        log.write("a", CloseHolder())
        assert available(log.balance) == 95
        log.write("b", Adopt("r"))
        log.write("b", Bill("r", 3))
        assert available(log.balance) == 97

    def test_release_returns_what_was_withheld(self) -> None:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 100, "t"))
        log.write("a", Grant(ACCOUNT, 60, 10))
        assert log.write("op", Release("a")).code == VerdictCode.REFUSED
        log.write("b", Fence("a", log.seqs["a"]))
        assert log.write("op", Release("a")).ok
        assert available(log.balance) == 100


class TestRequests:
    def ready(self) -> Log:
        log = Log()
        log.write("op", TopUp(ACCOUNT, 100, "t"))
        log.write("a", Grant(ACCOUNT, 40, 20))
        log.write("b", Grant(ACCOUNT, 40, 20))
        return log

    def test_first_bill_counts(self) -> None:
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p"))
        assert log.write("a", Bill("r", 7)).ok
        assert log.write("a", Bill("r", 7)).code == VerdictCode.NOT_OPEN
        assert log.balance.billed == 7

    def test_bill_is_bounded_by_the_reserve(self) -> None:
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p"))
        log.write("a", Bill("r", 90))
        assert log.balance.billed == 10

    def test_claim_is_won_once(self) -> None:
        log = self.ready()
        assert log.write("a", Intent("r1", ACCOUNT, 10, "p", "k")).ok
        assert log.write("b", Intent("r2", ACCOUNT, 10, "p", "k")).code == VerdictCode.KEY_OPEN
        log.write("a", Bill("r1", 1))
        assert log.write("b", Intent("r3", ACCOUNT, 10, "p", "k")).code == VerdictCode.KEY_USED

    def test_key_with_another_digest_reveals_nothing(self) -> None:
        log = self.ready()
        log.write("a", Intent("r1", ACCOUNT, 10, "p", "k", digest=1))
        verdict = log.write("b", Lookup(ACCOUNT, "k", digest=2))
        assert (verdict.code, verdict.request_id) == (VerdictCode.KEY_MISMATCH, "")

    def test_key_is_free_after_not_run(self) -> None:
        log = self.ready()
        log.write("a", Intent("r1", ACCOUNT, 10, "p", "k"))
        log.write("a", Bill("r1", 0, Outcome.NOT_RUN))
        assert log.write("b", Intent("r2", ACCOUNT, 10, "p", "k")).ok

    def test_key_is_kept_after_unknown(self) -> None:
        log = self.ready()
        log.write("a", Intent("r1", ACCOUNT, 10, "p", "k", False))
        log.write("a", Bill("r1", 10, Outcome.UNKNOWN))
        verdict = log.write("b", Intent("r2", ACCOUNT, 10, "p", "k", False))
        assert (verdict.code, verdict.outcome) == (VerdictCode.KEY_USED, Outcome.UNKNOWN)

    def test_only_a_lost_holders_request_is_adopted(self) -> None:
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p"))
        assert log.write("b", Adopt("r")).code == VerdictCode.REFUSED
        log.write("b", Fence("a", log.seqs["a"]))
        assert log.write("b", Adopt("r")).ok
        assert log.write("c", Adopt("r")).code == VerdictCode.REFUSED
        log.write("b", Bill("r", 4))
        late = log.write("a", Bill("r", 5))
        assert (late.code, late.outcome) == (VerdictCode.NOT_OPEN, Outcome.DONE)
        assert log.balance.billed == 4

    def lost(self, key: str = "") -> Log:
        """Return a log in which `b` settled the request of `a` as not run."""
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p", key))
        log.write("b", Fence("a", log.seqs["a"]))
        log.write("b", Adopt("r"))
        log.write("b", Bill("r", 0, Outcome.NOT_RUN))
        return log

    def test_holder_that_did_run_the_request_bills_it_once(self) -> None:
        log = self.lost("k")
        assert log.write("a", Bill("r", 5)).ok
        assert log.write("a", Bill("r", 5)).code == VerdictCode.NOT_OPEN
        assert log.balance.billed == 5
        assert log.write("b", Intent("r2", ACCOUNT, 10, "p", "k")).code == VerdictCode.KEY_USED

    def test_correction_is_refused_once_the_key_is_reused(self) -> None:
        log = self.lost("k")
        assert log.write("b", Intent("r2", ACCOUNT, 10, "p", "k")).ok
        late = log.write("a", Bill("r", 5))
        assert (late.code, late.outcome) == (VerdictCode.NOT_OPEN, Outcome.NOT_RUN)

    def test_other_holders_can_not_correct_a_settlement(self) -> None:
        log = self.lost()
        assert log.write("c", Bill("r", 5)).code == VerdictCode.NOT_OPEN

    def test_late_claims_of_a_fenced_holder_leave_the_exposure_of_sent_requests(self) -> None:
        log = self.ready()
        log.write("b", Fence("a", log.seqs["a"]))
        for number in range(2):
            claim = Intent(f"c{number}", ACCOUNT, 10, "p", f"k{number}")
            assert log.write("a", claim).code == VerdictCode.FENCED
        assert log.write("a", Intent("sent", ACCOUNT, 20, "p", exposed=True)).ok

    def test_late_extension_is_refused_unless_exposed(self) -> None:
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p"))
        log.write("b", Fence("a", log.seqs["a"]))
        assert log.write("a", Extend("r", 10)).code == VerdictCode.FENCED
        assert log.write("a", Extend("r", 10, exposed=True)).ok

    def test_key_used_by_an_exposed_request_is_billed_once(self) -> None:
        log = self.ready()
        log.write("a", Intent("r1", ACCOUNT, 10, "p", "k"))
        assert log.write("b", Intent("r2", ACCOUNT, 10, "p", "k", exposed=True)).ok
        assert log.write("b", Bill("r2", 7)).ok
        assert log.write("a", Bill("r1", 6)).code == VerdictCode.WASTED
        assert (log.balance.billed, log.balance.wasted) == (7, 6)
        assert log.write("c", Lookup(ACCOUNT, "k")).request_id == "r2"

    def test_exposed_request_is_waste_once_the_other_one_ended(self) -> None:
        log = self.ready()
        log.write("a", Intent("r1", ACCOUNT, 10, "p", "k"))
        log.write("b", Intent("r2", ACCOUNT, 10, "p", "k", exposed=True))
        log.write("a", Bill("r1", 6))
        assert log.write("b", Bill("r2", 7)).code == VerdictCode.WASTED
        assert (log.balance.billed, log.balance.wasted) == (6, 7)

    def test_request_that_did_not_run_does_not_free_a_key_that_another_used(self) -> None:
        log = self.ready()
        log.write("a", Intent("r1", ACCOUNT, 10, "p", "k"))
        log.write("b", Intent("r2", ACCOUNT, 10, "p", "k", exposed=True))
        log.write("b", Bill("r2", 7))
        log.write("a", Bill("r1", 0, Outcome.NOT_RUN))
        assert log.write("c", Lookup(ACCOUNT, "k")).code == VerdictCode.KEY_USED

    def test_other_holders_can_not_bill(self) -> None:
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p"))
        assert log.write("b", Bill("r", 5)).code == VerdictCode.NOT_OPEN

    def test_extension_raises_the_reserve_and_waste_is_counted_separately(self) -> None:
        log = self.ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p"))
        assert log.write("a", Extend("r", 10)).ok
        log.write("a", Bill("r", 9, wasted=8))
        assert (log.balance.billed, log.balance.wasted) == (9, 8)
        assert log.write("a", Waste(ACCOUNT, 3)).ok
        assert log.balance.wasted == 11


class TestConfiguration:
    def test_one_of_two_concurrent_proposals_wins(self) -> None:
        log = Log()
        assert log.write("a", Proposal("template", "t", 0, b"1")).ok
        lost = log.write("b", Proposal("template", "t", 0, b"2"))
        assert (lost.code, lost.available) == (VerdictCode.OUTDATED, 1)
        assert log.state.catalog.by_kind_and_name[("template", "t")].body == b"1"


class TestCheckpoint:
    def test_state_round_trips_through_its_encoding(self) -> None:
        log = TestRequests().ready()
        log.write("a", Intent("r", ACCOUNT, 10, "p", "k"))
        assert state_from_bytes(state_to_bytes(log.state)) == log.state
