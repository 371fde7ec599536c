"""Single faults put into the decision code, each caught by named tests.

``python -m tests.mutants`` copies the project, puts one fault in, runs the tests named for it and
expects them to fail. It prints every mutant that survives and exits with 1 if one is not listed
in `SURVIVORS`. Generic tools mutate operators by the thousand; these are the faults the promises
fear, so they are written by hand.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 6
FOLD = "railtide/journal/tests"
SINGLE = "tests/matrix/test_single.py"
LEDGERS = "railtide/budgets/tests"
PLATFORM = "railtide/platform/tests"
ENDS = "railtide/platform/tests/test_answer_ends.py"
HTTP = "railtide/http/tests"
MEMBERSHIP = "railtide/membership/tests"
CONTAINMENT = "railtide/containment/tests"
CRASHING = "railtide/platform/tests/test_crashing_requests.py"
SUSPENSION = "tests/test_suspension.py"
TIMEOUT_S = 150
SURVIVORS: tuple[str, ...] = ()


@dataclass(frozen=True)
class Mutant:
    """A fault: in `file`, `old` becomes `new`; `tests` must then fail."""

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTANTS = [
    Mutant(
        "grant-not-checked-against-the-balance",
        "budgets/balance.py",
        "if amount > available(balance):",
        "if False:",
        (FOLD,),
    ),
    Mutant(
        "repeat-not-dropped",
        "journal/fold.py",
        "    if entry.seq <= holder.last_seq:\n        state.repeats += 1\n        return None\n"
        "    if entry.seq != holder.last_seq + 1:",
        "    if entry.seq > holder.last_seq + 1:",
        (FOLD,),
    ),
    Mutant(
        "claim-skipped",
        "journal/fold.py",
        "    if known and not record.exposed:\n"
        "        return _say_key(state, entry, holder, known, record.digest)\n"
        "    if _is_ended",
        "    if _is_ended",
        (FOLD,),
    ),
    Mutant(
        "late-claim-of-a-fenced-holder-counted",
        "journal/fold.py",
        "    if _is_ended(holder) and not record.exposed:\n"
        "        return _say(state, entry, holder, Code.FENCED)\n"
        "    balance = state.by_account.get(record.account)",
        "    balance = state.by_account.get(record.account)",
        (FOLD,),
    ),
    Mutant(
        "key-billed-twice",
        "journal/fold.py",
        "    if is_beaten(state.registry, record, request):",
        "    if False:",
        (FOLD,),
    ),
    Mutant(
        "anyone-corrects-a-settlement",
        "requests/registry.py",
        "if request.holder != holder or find_key",
        "if find_key",
        (FOLD,),
    ),
    Mutant(
        "settlement-corrected-after-its-key-was-taken",
        "requests/registry.py",
        "if request.holder != holder or find_key(registry, request.account, request.key):",
        "if request.holder != holder:",
        (FOLD,),
    ),
    Mutant(
        "id-not-compared",
        "requests/answers.py",
        "if self._id not in event:",
        "if False:",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "lower-offset-taken",
        "journal/fold.py",
        "if offset <= state.offset:",
        "if False:",
        (FOLD,),
    ),
    Mutant(
        "lower-version-taken",
        "configuration/directory.py",
        "if held and held.version >= version:",
        "if False:",
        ("railtide/configuration/tests",),
    ),
    Mutant(
        "proof-trusted-after-pause",
        "requests/cover.py",
        "return self._intent.durable and age",
        "return False and age",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "exposure-not-withheld",
        "budgets/balance.py",
        "holding.reserved + holding.exposure)",
        "holding.reserved)",
        (FOLD,),
    ),
    Mutant(
        "late-return-accepted",
        "budgets/balance.py",
        "    if holding is None or holding.fenced:\n        return False\n    if amount",
        "    if holding is None:\n        return False\n    if amount",
        (FOLD,),
    ),
    Mutant(
        "exposure-not-bounded",
        "budgets/hand.py",
        "return hand.exposed + amount <= hand.exposure_limit",
        "return True",
        (SINGLE, "railtide/budgets/tests"),
    ),
    Mutant(
        "end-mark-not-needed",
        "requests/relay.py",
        "while not self._checker.finished:",
        "while False:",
        (SINGLE,),
    ),
    Mutant(
        "once-call-sent-again",
        "requests/execution.py",
        "if not refused and not self._call.repeatable:",
        "if False:",
        (SINGLE,),
    ),
    Mutant(
        "not-run-after-a-lost-try",
        "requests/execution.py",
        "if self._may_have_run and err.run is Run.NOT_RUN:",
        "if False:",
        (SINGLE,),
    ),
    Mutant(
        "lost-try-not-counted",
        "requests/execution.py",
        "wasted = self._cover.waste_of(len(self._lost_tries))",
        "wasted = 0",
        (SINGLE,),
    ),
    Mutant(
        "fence-without-comparing",
        "journal/fold.py",
        "if not alive or target.last_seq != record.seen_seq:",
        "if not alive:",
        (FOLD,),
    ),
    Mutant(
        "both-operators-win",
        "configuration/objects.py",
        "if proposal.base_version != version:",
        "if False:",
        (FOLD,),
    ),
    Mutant(
        "leaving-not-sticky",
        "lanes/scheduler.py",
        "upstream.leaving = upstream.leaving or report.leaving",
        "upstream.leaving = report.leaving",
        ("railtide/lanes/tests",),
    ),
    Mutant(
        "stranger-may-bill",
        "journal/fold.py",
        "if request is None or entry.holder not in (request.owner, request.holder):",
        "if request is None:",
        (FOLD,),
    ),
    Mutant(
        "settled-elsewhere-answered",
        "requests/cover.py",
        "if verdict and verdict.code == Code.NOT_OPEN",
        "if False and verdict.code == Code.NOT_OPEN",
        (SINGLE,),
    ),
    Mutant(
        "key-forgotten-after-unknown",
        "requests/registry.py",
        "if request.key and bill.outcome is not Outcome.NOT_RUN:",
        "if request.key and bill.outcome is Outcome.DONE:",
        (FOLD, SINGLE),
    ),
    Mutant(
        "claim-without-a-log",
        "requests/cover.py",
        "        if not self._services.log_reachable():\n            raise ClaimUnavailable(",
        "        if False:\n            raise ClaimUnavailable(",
        (SINGLE,),
    ),
    Mutant(
        "killed-hand-not-written-off",
        "budgets/ledger.py",
        "    charged = units_charged(former, started)\n",
        "    charged = former.spent\n",
        (LEDGERS,),
    ),
    Mutant(
        "ledger-written-without-its-condition",
        "budgets/ledger_partition.py",
        "self._options.topic, values, append.expected_end, self._index",
        "self._options.topic, values, None, self._index",
        (LEDGERS,),
    ),
    Mutant(
        "learnt-append-stands-in-for-the-ledger",
        "budgets/account_hand.py",
        "        self._written = change.holding\n",
        "        self._written = change.holding\n        self._ledger = change.ledger\n",
        (LEDGERS,),
    ),
    Mutant(
        "grant-taken-before-it-is-written",
        "budgets/account_hand.py",
        "        own.granted += granted\n",
        "        own.granted += granted\n        self.hand.granted += granted\n",
        (LEDGERS,),
    ),
    Mutant(
        "unreadable-ledger-taken-for-an-empty-one",
        "budgets/ledger_partition.py",
        "            self.hand(account).loaded = False\n",
        "            self._unreadable.discard(account)\n",
        (LEDGERS,),
    ),
    Mutant(
        "signature-not-checked",
        "platform/upstreams.py",
        "if exchange.status // 100 == OK_CLASS and not sealed:",
        "if False:",
        (PLATFORM,),
    ),
    Mutant(
        "cut-stream-ended",
        "http/client.py",
        '                raise ConnectionLost(f"not an answer: {err}") from err\n',
        "                return h11.EndOfMessage()\n",
        (HTTP, PLATFORM),
    ),
    Mutant(
        "unasked-bytes-kept",
        "http/client.py",
        "return not self.stream.socket.is_readable()",
        "return True",
        (HTTP,),
    ),
    Mutant(
        "caller-not-watched",
        "http/server.py",
        "                nursery.start_soon(self._watch_caller, nursery.cancel_scope)\n",
        "",
        (HTTP,),
    ),
    Mutant(
        "configuration-reverts",
        "edge/node.py",
        "if held is not None and snapshot.version <= held:",
        "if False:",
        (PLATFORM,),
    ),
    Mutant(
        "output-of-a-plain-answer-not-billed",
        "requests/passthrough.py",
        "cost = self._call.reserve if answer.status == OK_STATUS else self.delivered_cost()",
        "cost = self.delivered_cost()",
        (PLATFORM,),
    ),
    Mutant(
        "pool-of-a-gone-upstream-kept",
        "edge/node.py",
        "            self._upstreams.forget(before[incarnation])\n",
        "            pass\n",
        (PLATFORM,),
    ),
    Mutant(
        "return-of-the-store-told-by-a-record-only",
        "journal/feed.py",
        "return self._options.wait_s if self.reachable else 0.0",
        "return self._options.wait_s",
        ("railtide/journal/tests/test_feed.py",),
    ),
    Mutant(
        "leaving-of-a-former-life-sticks",
        "membership/upstream_list.py",
        "service = _Service(instance.incarnation, instance.pool)",
        "service = _Service(instance.name, instance.pool)",
        (MEMBERSHIP,),
    ),
    Mutant(
        "late-record-of-a-former-life-taken",
        "membership/upstream_list.py",
        "        if known and instance.born < known.born:\n            return\n",
        "",
        (MEMBERSHIP,),
    ),
    Mutant(
        "unreadable-entry-leaves-its-engine-in-use",
        "membership/upstream_list.py",
        "        if instance.name in self._unreadable:\n"
        "            return replace(instance, state=InstanceState.LEAVING)\n",
        "",
        (MEMBERSHIP,),
    ),
    Mutant(
        "unreadable-record-read-for-ever",
        "platform/store.py",
        "    return KeyedPage(records, end, offset, offset - start - len(records))",
        "    return KeyedPage(records, end, start + len(records), offset - start - len(records))",
        (PLATFORM,),
    ),
    Mutant(
        "negative-ledger-frees-units",
        "budgets/spend_limit.py",
        "COUNT = msgspec.Meta(ge=0)",
        "COUNT = msgspec.Meta(ge=-1_000_000)",
        (LEDGERS,),
    ),
    Mutant(
        "load-of-a-former-life-counted",
        "edge/node.py",
        "        if known and known.instance.incarnation == upstream.incarnation:",
        "        if known:",
        (PLATFORM,),
    ),
    Mutant(
        "load-names-nobody-more",
        "membership/entrance_set.py",
        "if len(chosen) >= options.least and capacity >= needed:",
        "if len(chosen) >= options.least:",
        (MEMBERSHIP,),
    ),
    Mutant(
        "slow-beats-taken-for-death",
        "membership/roster.py",
        "return self._options.dead_after_s * max(1.0, member.beat_s / self._options.beat_s)",
        "return self._options.dead_after_s / 3",
        (MEMBERSHIP,),
    ),
    Mutant(
        "unnamed-router-keeps-stray-accounts",
        "budgets/hand_size.py",
        "if not routers and not is_steady:",
        "if False:",
        (LEDGERS,),
    ),
    Mutant(
        "prompt-read-for-ever",
        "lanes/scheduler.py",
        "        slot.upstream.reading -= slot.reading\n",
        "",
        ("railtide/lanes/tests",),
    ),
    Mutant(
        "spent-said-from-an-old-ledger",
        "budgets/account_hand.py",
        "if self._is_fresh() and self.is_spent(amount):",
        "if self.is_spent(amount):",
        (LEDGERS,),
    ),
    Mutant(
        "former-hand-closed-without-the-time-of-day",
        "budgets/spend_limit.py",
        " or abs(steady - day) > AGREE_S",
        "",
        (LEDGERS,),
    ),
    Mutant(
        "former-hand-closed-across-boots",
        "budgets/spend_limit.py",
        " or since.boot != until.boot",
        "",
        (LEDGERS,),
    ),
    Mutant(
        "spend-limit-not-kept-to",
        "budgets/account_hand.py",
        "return amount <= self._headroom() and reserve(self.hand, amount)",
        "return reserve(self.hand, amount)",
        (LEDGERS,),
    ),
    Mutant(
        "limit-in-force-forgotten-with-a-new-one-under-way",
        "budgets/account_hand.py",
        "self._limits = [*self._limits[:1], limit]",
        "self._limits = [limit]",
        (LEDGERS,),
    ),
    Mutant(
        "limit-without-what-is-reserved",
        "budgets/account_hand.py",
        "            self.hand.spent + self.hand.reserved,\n",
        "            self.hand.spent,\n",
        (LEDGERS,),
    ),
    Mutant(
        "hands-whole-at-once-behind-an-outage",
        "budgets/hand_size.py",
        "self.seconds += elapsed if reached else -elapsed",
        "self.seconds = self.most_s",
        (LEDGERS,),
    ),
    Mutant(
        "hands-of-mean-traffic",
        "budgets/hand_size.py",
        "    needed += options.swings",
        "    needed += 0 * options.swings",
        (LEDGERS,),
    ),
    Mutant(
        "losses-together-unbounded",
        "budgets/hand_size.py",
        "return round(min(left * options.most_share, may_be_lost))",
        "return round(left * options.most_share)",
        (LEDGERS + "/test_losses.py",),
    ),
    Mutant(
        "hand-whole-for-traffic-of-seconds",
        "budgets/hand_size.py",
        "    needed *= min(1.0, seen_s / options.horizon_s)\n",
        "",
        (LEDGERS + "/test_losses.py",),
    ),
    Mutant(
        "pace-from-the-start",
        "budgets/account_hand.py",
        "            self._options.pace_after_s,\n",
        "            0.0,\n",
        (LEDGERS + "/test_ledger_treasury.py",),
    ),
    Mutant(
        "peer-proves-without-having-seen-the-ledger-before",
        "budgets/peer_reports.py",
        "after = NO_READING if first else own_append",
        "after = own_append",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-proves-by-the-sight-of-a-report",
        "budgets/peer_reports.py",
        "known.get(held.incarnation), held, after)",
        "known.get(held.incarnation), held, now)",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-proves-by-an-append-under-way",
        "budgets/ledger_partition.py",
        "        self._unsure = append\n",
        "        self._unsure = append\n        self._own_append = append.made\n",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-returns-again-and-again",
        "budgets/ledger.py",
        "    dead = ledger.unproved.pop(instance)\n",
        "    dead = ledger.unproved[instance]\n",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "peer-forgets-nothing-of-a-ledger-that-was-not-read",
        "budgets/account_hand.py",
        "        if not self.loaded:\n            self._peers.forget()\n",
        "",
        (LEDGERS + "/test_peer_reports.py",),
    ),
    Mutant(
        "long-prompts-beside-streams",
        "upstreams/separation.py",
        " or now >= self._apart_until",
        " or True",
        ("railtide/upstreams/tests",),
    ),
    Mutant(
        "long-prompts-always-apart",
        "upstreams/separation.py",
        "if self._paused < max(LEAST_PAUSED, self._streams * PAUSED_SHARE):",
        "if False:",
        ("railtide/upstreams/tests",),
    ),
    Mutant(
        "refusals-count-as-attempts",
        "requests/execution.py",
        "attempt >= most_sent",
        "attempt >= most_runs",
        (PLATFORM,),
    ),
    Mutant(
        "silent-connections-kept",
        "http/client.py",
        "                self._drop_idle()\n            raise",
        "                pass\n            raise",
        (HTTP,),
    ),
    Mutant(
        "callers-set-what-is-the-routers-to-set",
        "platform/calls.py",
        "if h[0] not in dropped",
        "if True",
        (PLATFORM,),
    ),
    Mutant(
        "hand-returned-for-another-machine-of-the-name",
        "budgets/ledger.py",
        "is_same_machine = bool(address) and former.address == address",
        "is_same_machine = True",
        (LEDGERS + "/test_report_identity.py",),
    ),
    Mutant(
        "report-told-by-fields-that-others-drop",
        "budgets/peer_reports.py",
        "if known and is_same_report(known.holding, holding):",
        "if known and known.holding == holding:",
        (LEDGERS + "/test_report_identity.py",),
    ),
    Mutant(
        "append-told-by-an-empty-holding",
        "budgets/ledger_partition.py",
        "            if change.holding.granted or change.holding.spent\n",
        "",
        (LEDGERS + "/test_report_identity.py",),
    ),
    Mutant(
        "need-of-a-dead-process-counts",
        "budgets/needs.py",
        "if is_first and now - since <= SILENT_S:",
        "if is_first:",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "need-renewed-by-every-look",
        "budgets/needs.py",
        "known[incarnation][0].count == need.count",
        "False",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "who-lacks-more-keeps-its-hand",
        "budgets/needs.py",
        "is_first = own is None or (need.units, incarnation) < own",
        "is_first = own is None",
        (LEDGERS + "/test_needs.py::TestFragments",),
    ),
    Mutant(
        "idle-traffic-keeps-units-from-others",
        "budgets/needs.py",
        "return 0 if is_idle else round(rate * SOON_S)",
        "return round(rate * SOON_S)",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "need-not-told",
        "budgets/account_hand.py",
        "own.need = self._next_need(lacking)",
        "own.need = None",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "units-returned-that-requests-have-reserved",
        "budgets/account_hand.py",
        "        take_back(self.hand, self._idle())\n",
        "        self.hand.granted -= self._idle() + bool(self._recalled()) * self.hand.reserved\n",
        (LEDGERS,),
    ),
    Mutant(
        "refill-takes-what-callers-come-back-for",
        "budgets/account_hand.py",
        "max(0, min(short, ahead, free))",
        "max(0, min(short, ahead))",
        (LEDGERS + "/test_needs.py",),
    ),
    Mutant(
        "returned-units-written-before-they-leave-the-hand",
        "budgets/account_hand.py",
        "        take_back(self.hand, self._idle())\n"
        "        own = Holding(holder.incarnation, self.hand.granted,",
        "        own = Holding(holder.incarnation, self.hand.granted - self._idle(),",
        (LEDGERS,),
    ),
    Mutant(
        "failure-passed-on-behind-a-begun-stream",
        "requests/passthrough.py",
        "if self._sink.started:\n            # Passed",
        "if False:\n            # Passed",
        (ENDS,),
    ),
    Mutant(
        "extra-response-taken-for-the-body",
        "platform/upstreams.py",
        "        if self.framed or not self.request_id:\n",
        "        if True:\n",
        (ENDS,),
    ),
    Mutant(
        "half-event-taken-for-the-end",
        "requests/passthrough.py",
        "if not answer.framed and not self._events.at_event_end:",
        "if False:",
        (ENDS,),
    ),
    Mutant(
        "every-body-taken-for-framed",
        "http/client.py",
        "self.framed = any(name in FRAMING for name, _ in self.headers)",
        "self.framed = True",
        (ENDS,),
    ),
    Mutant(
        "run-without-an-event-taken-for-whole",
        "requests/events.py",
        '        self._rest = b""\n        self.at_event_end = False',
        '        self._rest = b""\n        self.at_event_end = True',
        (ENDS,),
    ),
    Mutant(
        "runs-joined-over-a-missing-event",
        "requests/events.py",
        "if self._joins and self._counts_up and not follows:",
        "if False:",
        ("railtide/requests/tests", ENDS),
    ),
    Mutant(
        "ids-held-to-count-up-within-a-run",
        "requests/events.py",
        "if self._joins and self._counts_up and not follows:",
        "if not follows:",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "stream-without-ids-resumed",
        "requests/execution.py",
        "self._call.resumable and self._relay.resumable",
        "self._call.resumable",
        (ENDS,),
    ),
    Mutant(
        "end-that-was-not-sent-counts-as-sent",
        "http/server.py",
        "        return responder.finished",
        "        return self.h11.our_state is h11.DONE",
        (HTTP,),
    ),
    Mutant(
        "reset-met-by-the-sending-forgotten",
        "http/client.py",
        "if self._sending_broke and not self.framed:",
        "if False:",
        (HTTP,),
    ),
    Mutant(
        "cut-page-taken-for-an-empty-one",
        "platform/store.py",
        "if len(data) < 2 * OFFSET_BYTES:",
        "if False:",
        (PLATFORM,),
    ),
    Mutant(
        "unframed-answer-billed-by-the-call",
        "requests/relay.py",
        "            if not framed:",
        "            if False:",
        ("railtide/requests/tests",),
    ),
    Mutant(
        "held-after-four-ends",
        "containment/blame.py",
        "HOLD_WEIGHT = 3 * STRONG\n",
        "HOLD_WEIGHT = 4 * STRONG\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "ends-of-a-held-content-count-against-others",
        "containment/blame.py",
        "[mark for mark in marks_of if mark.life not in explained]",
        "marks_of",
        (CONTAINMENT,),
    ),
    Mutant(
        "upstreams-killed-together-count-one-by-one",
        "containment/blame.py",
        "            return True\n    return False",
        "            return False\n    return False",
        (CONTAINMENT,),
    ),
    Mutant(
        "second-try-counts-as-the-first",
        "containment/blame.py",
        "if both_ran and abs(gap_s)",
        "if abs(gap_s)",
        (CONTAINMENT,),
    ),
    Mutant(
        "contents-that-share-two-ends-are-both-held",
        "containment/blame.py",
        "any(len(ends) >= LEAST_MARKS - 1 for ends in shared)",
        "any(len(ends) >= LEAST_MARKS for ends in shared)",
        (CONTAINMENT,),
    ),
    Mutant(
        "run-that-was-there-before-an-earlier-end-counts-in-full",
        "containment/blame.py",
        "not m.weak and not _was_sent_before(m, earlier, moments)",
        "not m.weak",
        (CONTAINMENT,),
    ),
    Mutant(
        "last-run-of-several-hides-the-first",
        "containment/ends.py",
        "if former and former.run.sent_at <= run.sent_at < former.at:",
        "if False:",
        (CONTAINMENT,),
    ),
    Mutant(
        "run-behind-an-earlier-break-counts-from-the-former-one",
        "containment/ends.py",
        "former.run.sent_at <= run.sent_at < former.at:",
        "former.run.sent_at <= run.sent_at:",
        (CONTAINMENT,),
    ),
    Mutant(
        "mark-of-the-first-router-hides-a-longer-run",
        "containment/evidence.py",
        "return (0 if mark.weak else 1), mark.ran_s",
        "return (0 if mark.weak else 1), 0.0",
        (CONTAINMENT,),
    ),
    Mutant(
        "only-the-mark-that-counts-tells-the-moment",
        "containment/evidence.py",
        "moments[mark.router] = min(mark.at, moments.get(mark.router, mark.at))",
        "self._moments[mark.life] = {mark.router: mark.at}",
        (CONTAINMENT,),
    ),
    Mutant(
        "end-is-known-from-the-last-broken-run-on",
        "containment/evidence.py",
        "moments[mark.router] = min(",
        "moments[mark.router] = max(",
        (CONTAINMENT,),
    ),
    Mutant(
        "run-broke-off-when-the-first-beside-it-did",
        "containment/blame.py",
        "at_by_router = moments[mark.life] | {mark.router: mark.at}",
        "at_by_router = moments[mark.life]",
        (CONTAINMENT,),
    ),
    Mutant(
        "ends-are-judged-by-the-marks-that-count-alone",
        "containment/registry.py",
        "blamed(self._evidence.marks(), self._evidence.moments)",
        "blamed(self._evidence.marks())",
        (CONTAINMENT,),
    ),
    Mutant(
        "shorter-run-that-is-written-last-stays-in-the-store",
        "containment/registry.py",
        "            self._write(record.key, record_value(known, upstream_of(record)))\n",
        "            pass\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "router-that-saw-an-end-late-speaks-for-the-sender",
        "containment/blame.py",
        "return routers & {mark.router for mark in marks} or routers",
        "return routers",
        (CONTAINMENT,),
    ),
    Mutant(
        "sender-that-did-not-see-an-end-silences-the-others",
        "containment/blame.py",
        "return routers & {mark.router for mark in marks} or routers",
        "return routers & {mark.router for mark in marks}",
        (CONTAINMENT,),
    ),
    Mutant(
        "long-run-counts-like-a-short-one",
        "containment/registry.py",
        "weak = begun_s > BEGUN_S or ran_s < ROUND_TRIP_S",
        "weak = ran_s < ROUND_TRIP_S",
        (CONTAINMENT,),
    ),
    Mutant(
        "send-to-one-that-had-ended-counts-in-full",
        "containment/registry.py",
        "weak = begun_s > BEGUN_S or ran_s < ROUND_TRIP_S",
        "weak = begun_s > BEGUN_S",
        (CONTAINMENT,),
    ),
    Mutant(
        "verdict-is-acted-on-before-others-are-heard",
        "containment/guard.py",
        "            await trio.sleep(max(0.0, JUDGED_S - self._registry.held_for_s(content)))\n",
        "            pass\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "held-content-runs-on-everywhere",
        "containment/guard.py",
        "                run.scope.cancel()\n",
        "                pass\n",
        (CONTAINMENT, CRASHING),
    ),
    Mutant(
        "connection-that-does-not-last-shows-life",
        "platform/upstreams.py",
        "            if not await _lasts(await connect_tcp_stream(host, int(port))):\n"
        "                await _lasts(await connect_tcp_stream(host, int(port)))\n",
        "            await _lasts(await connect_tcp_stream(host, int(port)))\n",
        (f"{CRASHING}::TestProbe",),
    ),
    Mutant(
        "contents-that-share-all-ends-are-both-held",
        "containment/blame.py",
        "if not _has_twin(content, worst, left)]",
        "]",
        (CONTAINMENT,),
    ),
    Mutant(
        "cleared-mark-counts-again",
        "containment/evidence.py",
        "if known and _rank(known) >= _rank(mark):",
        "if known and _rank(known) == _rank(mark):",
        (CONTAINMENT,),
    ),
    Mutant(
        "account-is-no-part-of-the-content",
        "containment/content.py",
        "for part in (account.encode(), path.encode(), body):",
        "for part in (path.encode(), body):",
        (CONTAINMENT,),
    ),
    Mutant(
        "suspects-share-an-upstream",
        "containment/placement.py",
        "        free.remove(made[content])\n",
        "",
        (CONTAINMENT,),
    ),
    Mutant(
        "suspect-of-one-end-meets-one-of-two",
        "containment/placement.py",
        "[name for name in names if name not in made.values()] or list(names)",
        "list(names)",
        (CONTAINMENT,),
    ),
    Mutant(
        "suspect-has-a-place-where-no-upstream-is",
        "containment/placement.py",
        "if not strikes or not names:",
        "if not strikes:",
        (CONTAINMENT,),
    ),
    Mutant(
        "suspects-of-one-end-go-on-together",
        "containment/placement.py",
        "made[content] = rendezvous_order(content, others)[0]",
        "return frozenset(others)",
        (CONTAINMENT,),
    ),
    Mutant(
        "broken-answer-of-one-that-lives-is-an-end",
        "containment/ends.py",
        "if found is ProbeResult.REFUSED:",
        "if found:",
        (CONTAINMENT,),
    ),
    Mutant(
        "old-break-is-blamed-for-a-later-end",
        "containment/ends.py",
        "return now - broken_at <= BREAK_KEPT_S",
        "return True",
        (CONTAINMENT,),
    ),
    Mutant(
        "probe-that-found-it-alive-is-forgotten",
        "containment/ends.py",
        "                watched.connected_at = began\n",
        "                pass\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "new-life-at-the-address-hides-the-end",
        "containment/ends.py",
        "return sign is not EndSign.REFUSED and now - broken_at <= RESTART_S",
        "return False",
        (CONTAINMENT,),
    ),
    Mutant(
        "later-answer-does-not-show-that-it-lives",
        "containment/ends.py",
        "if one.at >= sent_at}",
        "if True}",
        (CONTAINMENT,),
    ),
    Mutant(
        "break-behind-the-end-is-not-counted",
        "containment/ends.py",
        "            self._on_end(instance, [Break(run, now)])\n            return\n",
        "            return\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "record-of-a-former-life-takes-the-place-of-a-new-one",
        "containment/ends.py",
        " or instance.born < former.born:",
        ":",
        (CONTAINMENT,),
    ),
    Mutant(
        "second-try-does-not-wait-for-the-word-on-its-first",
        "containment/guard.py",
        "            await self._watch.settled(instance)\n",
        "",
        (CRASHING,),
    ),
    Mutant(
        "mark-is-not-written-again",
        "containment/registry.py",
        "                await trio.sleep(self._backoff.next_wait())\n                continue\n",
        "                await trio.sleep(self._backoff.next_wait())\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "sound-answer-clears-nothing",
        "containment/registry.py",
        "if content in self._evidence and self._clear(content):",
        "if False:",
        (CONTAINMENT,),
    ),
    Mutant(
        "mark-behind-its-clearing-stands",
        "containment/registry.py",
        "            self._write(record.key, self._cleared_here[record.key])\n            return\n",
        "            return\n",
        (CONTAINMENT,),
    ),
    Mutant(
        "sound-answer-does-not-meet-a-mark-on-its-way",
        "containment/registry.py",
        "        if self._was_sound_lately(mark.content):\n            self._clear(mark.content)\n",
        "",
        (CONTAINMENT,),
    ),
    Mutant(
        "every-router-makes-trials",
        "containment/registry.py",
        "if under_way or not self._is_owner(content):",
        "if under_way:",
        (CONTAINMENT,),
    ),
    Mutant(
        "trials-have-no-end",
        "containment/holding.py",
        "if len(marks) >= MOST_ENDS:",
        "if False:",
        (CONTAINMENT,),
    ),
    Mutant(
        "mark-of-a-clock-far-ahead-is-kept",
        "containment/registry.py",
        "replace(mark, at=min(mark.at, now + AHEAD_S))",
        "mark",
        (CONTAINMENT,),
    ),
    Mutant(
        "clock-ahead-holds-for-longer",
        "containment/holding.py",
        "last = min(now, max(mark.at for mark in marks))",
        "last = max(mark.at for mark in marks)",
        (CONTAINMENT,),
    ),
    Mutant(
        "clocks-of-two-routers-are-compared",
        "containment/blame.py",
        "seen[mark.router] = min(mark.at, seen.get(mark.router, mark.at))",
        "seen[None] = mark.at",
        (CONTAINMENT,),
    ),
    Mutant(
        "body-that-only-the-close-ends-clears",
        "requests/execution.py",
        "sound = relayed.framed and relayed.answer.status == OK_STATUS",
        "sound = relayed.answer.status == OK_STATUS",
        (CRASHING,),
    ),
    Mutant(
        "end-of-one-that-leaves-is-a-crash",
        "requests/execution.py",
        "if is_leaving(upstream) and not isinstance(err, UpstreamMoved):",
        "if False:",
        (CRASHING,),
    ),
    Mutant(
        "router-serves-before-it-has-read-the-marks",
        "edge/node.py",
        "known and self.treasury.ready and self._marks_known() and not self.leaving",
        "known and self.treasury.ready and not self.leaving",
        (f"{PLATFORM}/test_waking.py",),
    ),
    Mutant(
        "address-where-nobody-listens-is-tried-again",
        "requests/execution.py",
        "            note_end(upstream, trio.current_time())\n",
        "            pass\n",
        (CRASHING,),
    ),
    Mutant(
        "suspension-is-left-out-of-proofs",
        "process.py",
        "boot_time_s(), time.time()",
        "time.monotonic(), time.time()",
        (SUSPENSION,),
    ),
    Mutant(
        "wait-outlasts-a-suspension",
        "clocks.py",
        "return min(deadline - self._read(), MOST_SLEEP_S)",
        "return deadline - self._read()",
        (SUSPENSION,),
    ),
    Mutant(
        "router-runs-on-the-steady-clock",
        "platform/program.py",
        "trio.run(_run, read_boot(), settings, log_level, clock=BootTimeClock())",
        "trio.run(_run, read_boot(), settings, log_level)",
        (SUSPENSION,),
    ),
    Mutant(
        "nothing-is-read-again-on-waking",
        "edge/node.py",
        "        self._rereads = [feed.refresh() for feed in feeds]\n",
        "",
        (f"{PLATFORM}/test_waking.py",),
    ),
    Mutant(
        "waiting-read-outlasts-a-suspension",
        "journal/feed.py",
        "            self._reading.cancel()\n",
        "            pass\n",
        (f"{PLATFORM}/test_waking.py",),
    ),
]


def survives(mutant: Mutant) -> bool:
    """Return whether the named tests pass with the fault in."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("railtide", "tests"):
            shutil.copytree(ROOT / part, copy / part, ignore=shutil.ignore_patterns("__pycache__"))
        for name in ("pyproject.toml", "conftest.py", "KNOWN-RED.txt"):
            shutil.copy(ROOT / name, copy / name)
        target = copy / "railtide" / mutant.file
        text = target.read_text()
        if text.count(mutant.old) != 1:
            raise ValueError(f"{mutant.name}: its text stands {text.count(mutant.old)} times")
        target.write_text(text.replace(mutant.old, mutant.new))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "--timeout", "100", *mutant.tests],
            cwd=copy,
            env={"PYTHONPATH": str(copy), "PATH": "", "PYTHONHASHSEED": "0"},
            capture_output=True,
            timeout=TIMEOUT_S,
        )
    return done.returncode == 0


def main() -> int:
    """Try all mutants and report."""
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(survives, MUTANTS))
    unexpected = 0
    for mutant, alive in zip(MUTANTS, results, strict=True):
        listed = " (listed)" if mutant.name in SURVIVORS else ""
        print(f"{'survived' if alive else 'caught'}{listed if alive else ''}: {mutant.name}")
        unexpected += alive and mutant.name not in SURVIVORS
    print(f"{results.count(False)} caught, {results.count(True)} survived")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
