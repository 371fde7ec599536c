"""Model-based test of railtide.journal.fold: routers never use more than the budget."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from railtide.budgets.balance import available
from railtide.budgets.messages import Fence, Grant, GrantReturn, TopUp
from railtide.journal.entries import Record
from railtide.journal.tests.test_fold import ACCOUNT, HOLDERS, Log
from railtide.requests.messages import Bill, Intent, Outcome


class FoldMachine(RuleBasedStateMachine):
    """Models routers, with their own accounting, against the fold.

    A router spends from its grants. Before its intents are in the log it sends at most its
    exposure, whether it is fenced or not. A settled request counts against the exposure by its
    cost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = Log()
        self.paid = 0
        self.used = 0
        self.pending: dict[str, list[tuple[Record, int]]] = {h: [] for h in HOLDERS}
        self.allocated = dict.fromkeys(HOLDERS, 0)
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
    def request_grant(self, holder: str, amount: int, exposure: int) -> None:
        self.deliver(holder)
        verdict = self.log.write(holder, Grant(ACCOUNT, amount, min(amount, exposure)))
        self.fenced[holder] |= verdict.fenced
        if verdict.ok:
            self.allocated[holder] += amount
            self.limit[holder] = max(self.limit[holder], min(amount, exposure))

    @rule(holder=st.sampled_from(HOLDERS), reserve=st.integers(1, 20), share=st.integers(0, 100))
    def run_exposed(self, holder: str, reserve: int, share: int) -> None:
        if self.fenced[holder] or self.allocated[holder] < reserve:
            return
        if self.exposed[holder] + reserve > self.limit[holder]:
            return
        self.number += 1
        cost = reserve * share // 100
        self.used += cost
        self.allocated[holder] -= cost
        self.exposed[holder] += cost
        intent = Intent(f"r{self.number}", ACCOUNT, reserve, "p", exposed=True)
        self.pending[holder].append((intent, cost))
        self.pending[holder].append((Bill(f"r{self.number}", cost), 0))

    @rule(holder=st.sampled_from(HOLDERS), reserve=st.integers(1, 20))
    def abandon_claim(self, holder: str, reserve: int) -> None:
        """Write a claim that is abandoned before it is durable, so its request is never sent."""
        if self.allocated[holder] < reserve:
            return
        self.number += 1
        request_id = f"r{self.number}"
        self.pending[holder].append((Intent(request_id, ACCOUNT, reserve, "p", request_id), 0))
        self.pending[holder].append((Bill(request_id, 0, Outcome.NOT_RUN), 0))

    @rule(holder=st.sampled_from(HOLDERS), amount=st.integers(1, 20))
    def return_units(self, holder: str, amount: int) -> None:
        if self.allocated[holder] >= amount:
            self.allocated[holder] -= amount
            self.pending[holder].append((GrantReturn(ACCOUNT, amount), 0))

    @rule(holder=st.sampled_from(HOLDERS))
    def deliver(self, holder: str) -> None:
        for record, reserve in self.pending[holder]:
            verdict = self.log.write(holder, record)
            self.fenced[holder] |= verdict.fenced
            self.exposed[holder] -= reserve
            if self._must_succeed(record):
                assert verdict.ok, f"{record}: {verdict.code}"
        self.pending[holder].clear()

    @staticmethod
    def _must_succeed(record: Record) -> bool:
        """Return whether the record is about a request that was sent."""
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
