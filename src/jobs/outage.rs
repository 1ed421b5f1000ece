//! What nodes tell each other about the store while an owner can't reach it.

#[cfg(test)]
mod tests;

use std::rc::Rc;

use slog::info;
use teaselgap_core::{
    NodeId, Span, Timestamp,
    job::{PeerWord, Permission},
};

use super::{
    duties,
    node::{FLEET_DUTY, Node},
    peer::{StoreWord, Term},
    session::{self, STORE_REACHABLE_WINDOW, Session},
};
use crate::clock;

/// The shortest interval between two rounds of questions whether the store can be reached.
const QUESTION_INTERVAL: Span = Span(300);

/// The shortest interval between two log lines about such rounds.
const REPORT_INTERVAL: Span = Span(1_000);

/// The questions of this node to others.
#[derive(Debug, Default)]
pub(super) struct OutageQuestions {
    /// What the questions have brought.
    pub(super) permission: Permission,
    /// When the next round may be asked.
    next_question: Timestamp,
    /// When what a round has brought may be logged next.
    next_report: Timestamp,
}

impl OutageQuestions {
    /// Creates the state of a node whose lease lasts for `lease_ttl`.
    pub(super) fn new(lease_ttl: Span) -> Self {
        Self { permission: Permission::new(lease_ttl), ..Self::default() }
    }
}

/// Asks the other nodes whether the store is away, before the lease expires, so that their answers
/// arrive in time.
pub(super) fn ask_if_due(node: &Rc<Node>) {
    let lease_end = node.lease.valid_until();
    let now = clock::now();
    {
        let mut session = node.session.borrow_mut();
        let questions = &mut session.outage;
        let is_due = lease_end != Timestamp(0)
            && questions.permission.is_question_due(lease_end, now)
            && now >= questions.next_question;
        if !is_due || session::has_no_duty(node) {
            return;
        }
        questions.next_question = now + QUESTION_INTERVAL;
    }
    tokio::task::spawn_local(ask(Rc::clone(node)));
}

/// The terms that this node holds.
fn held_terms(node: &Node) -> Vec<Term> {
    let cell_owners = node.cell_owners.borrow();
    let cells =
        cell_owners.values().map(|owner| (duties::cell_duty(owner.service()), owner.epoch()));
    let fleet = node.fleet.borrow().as_ref().map(|fleet| (FLEET_DUTY.to_owned(), fleet.epoch()));
    cells.chain(fleet).collect()
}

/// Asks the other nodes, and records what they say.
async fn ask(node: Rc<Node>) {
    let asked_at = clock::now();
    let terms = held_terms(&node);
    let others = node.members.borrow().possible_claimants(&node.id);
    let questions = others.iter().map(async |(other, address)| {
        (other.clone(), node.peers.store_age(*address, &terms).await)
    });
    let answers: Vec<(NodeId, Option<StoreWord>)> = futures_util::future::join_all(questions).await;
    let words: Vec<(NodeId, PeerWord)> =
        answers.iter().map(|(other, word)| (other.clone(), peer_word(*word))).collect();
    let is_confirmed = node.session.borrow_mut().outage.permission.record_round(asked_at, &words);
    report_round(&node, &answers, is_confirmed);
}

/// What a node's answer means; `None` if there was no answer.
fn peer_word(word: Option<StoreWord>) -> PeerWord {
    match word {
        Some(StoreWord { age, may_have_claimed: false }) if age > STORE_REACHABLE_WINDOW => {
            PeerWord::StoreAway
        }
        Some(_) => PeerWord::Denial,
        None => PeerWord::Silent,
    }
}

/// Logs, at most once a second, what the other nodes said and whether this one goes on by it.
fn report_round(node: &Node, answers: &[(NodeId, Option<StoreWord>)], is_confirmed: bool) {
    let (now, lease_end) = (clock::now(), node.lease.valid_until());
    let is_over = {
        let mut session = node.session.borrow_mut();
        let questions = &mut session.outage;
        if now < questions.next_report {
            return;
        }
        questions.next_report = now + REPORT_INTERVAL;
        questions.permission.is_over(lease_end, now)
    };
    let silent = || answers.iter().filter(|(_, word)| word.is_none()).map(|(other, _)| other);
    let given = || answers.iter().filter_map(|(_, word)| *word);
    info!(node.log, "asked whether the store is away"; "nodes" => answers.len(),
        "silent" => silent().count(), "first_silent" => silent().next().map(NodeId::as_str),
        "may_have_claimed" => given().filter(|word| word.may_have_claimed).count(),
        "least_store_age_ms" => given().map(|word| word.age.0).min(),
        "confirmed" => is_confirmed, "lease_left_ms" => lease_end.since(now).0,
        "past_lease_ms" => now.since(lease_end).0, "goes_on" => !is_over);
}

/// This node's word on the store, and on whether it may have claimed a duty of these terms since they
/// began.
pub(super) fn store_word(node: &Node, terms: &[Term]) -> StoreWord {
    let now = clock::now();
    let age = now.since(node.lease.store_reached_at());
    let (members, session) = (node.members.borrow(), node.session.borrow());
    let may_have_claimed = terms
        .iter()
        .any(|term| members.has_later_term(&term.0, term.1) || has_claim(&session, term, now));
    StoreWord { age, may_have_claimed }
}

/// Whether a claim by this node of the term's duty may have taken effect.
fn has_claim(session: &Session, (duty, _): &Term, now: Timestamp) -> bool {
    session.may_have_claimed(duty, now)
}
