"""A model of routers against railtide.journal.fold: use never exceeds the budget."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from railtide.budgets.balance import available
from railtide.budgets.messages import Fence, Grant, GrantReturn, TopUp
from railtide.journal.entries import Record
from railtide.journal.tests.test_fold import ACCOUNT, HOLDERS, Log
from railtide.requests.messages import Bill, Intent, Outcome


class FoldMachine(RuleBasedStateMachine):
    """Routers that keep their own books against the fold: use never exceeds the budget.

    The model is of the routers, not of the fold: a router spends from what it was granted, and
    sends at most its exposure before its intents are in the log, fenced or not. A request that was
    settled counts against the exposure by its cost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.paid = 0
        self.used = 0
        self.waiting: dict[str, list[tuple[Record, int]]] = {h: [] for h in HOLDERS}
        self.hand = dict.fromkeys(HOLDERS, 0)
        self.exposed = dict.fromkeys(HOLDERS, 0)
        self.limit = dict.fromkeys(HOLDERS, 0)
        self.fenced = dict.fromkeys(HOLDERS, False)
        self.number = 0

    @rule(amount=st.integers(0, 100))
    def top_up(self, amount: int) -> None:
        self.number += 1
        self.paid += amount
        assert self.log.write("op", TopUp(ACCOUNT, amount, f"t{self.number}")).ok

    @rule(holder=st.sampled_from(HOLDERS), amount=st.integers(1, 60), exposure=st.integers(0, 20))
    def ask(self, holder: str, amount: int, exposure: int) -> None:
        self.deliver(holder)
        verdict = self.log.write(holder, Grant(ACCOUNT, amount, min(amount, exposure)))
        self.fenced[holder] |= verdict.fenced
        if verdict.ok:
            self.hand[holder] += amount
            self.limit[holder] = max(self.limit[holder], min(amount, exposure))

    @rule(holder=st.sampled_from(HOLDERS), reserve=st.integers(1, 20), share=st.integers(0, 100))
    def run_before_the_log_knows(self, holder: str, reserve: int, share: int) -> None:
        if self.fenced[holder] or self.hand[holder] < reserve:
            return
        if self.exposed[holder] + reserve > self.limit[holder]:
            return
        self.number += 1
        cost = reserve * share // 100
        self.used += cost
        self.hand[holder] -= cost
        self.exposed[holder] += cost
        intent = Intent(f"r{self.number}", ACCOUNT, reserve, "p", exposed=True)
        self.waiting[holder].append((intent, cost))
        self.waiting[holder].append((Bill(f"r{self.number}", cost), 0))

    @rule(holder=st.sampled_from(HOLDERS), reserve=st.integers(1, 20))
    def claim_in_vain(self, holder: str, reserve: int) -> None:
        """Write a claim that is given up before it is durable, so that it is never sent."""
        if self.hand[holder] < reserve:
            return
        self.number += 1
        request_id = f"r{self.number}"
        self.waiting[holder].append((Intent(request_id, ACCOUNT, reserve, "p", request_id), 0))
        self.waiting[holder].append((Bill(request_id, 0, Outcome.NOT_RUN), 0))

    @rule(holder=st.sampled_from(HOLDERS), amount=st.integers(1, 20))
    def give_back(self, holder: str, amount: int) -> None:
        if self.hand[holder] >= amount:
            self.hand[holder] -= amount
            self.waiting[holder].append((GrantReturn(ACCOUNT, amount), 0))

    @rule(holder=st.sampled_from(HOLDERS))
    def deliver(self, holder: str) -> None:
        for record, reserve in self.waiting[holder]:
            verdict = self.log.write(holder, record)
            self.fenced[holder] |= verdict.fenced
            self.exposed[holder] -= reserve
            if self._must_count(record):
                assert verdict.ok, f"{record}: {verdict.code}"
        self.waiting[holder].clear()

    @staticmethod
    def _must_count(record: Record) -> bool:
        """Return whether the record tells of work that was sent."""
        sent = isinstance(record, Intent) and record.exposed
        return sent or (isinstance(record, Bill) and record.outcome is Outcome.DONE)

    @rule(by=st.sampled_from(HOLDERS), lost=st.sampled_from(HOLDERS))
    def fence(self, by: str, lost: str) -> None:
        if by != lost:
            self.log.write(by, Fence(lost, self.log.seqs[lost]))

    @invariant()
    def use_stays_within_the_budget(self) -> None:
        assert self.used <= self.paid
        balance = self.log.state.by_account.get(ACCOUNT)
        if balance:
            assert available(balance) >= 0
            withheld = sum(holding.remaining for holding in balance.by_holder.values())
            assert self.used <= balance.billed + balance.wasted + withheld


FoldMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=30)
TestFoldAgainstRouters = FoldMachine.TestCase
