//! What can be told of a job whose home is dead, from the words of every worker.
//!
//! Nothing is started. Each worker tells what it ran of the job and bars the rest, so that
//! the words of all of them together are a proof. See `docs/design/tickets.md`.

use crate::answer::{Answer, Reason, TaskEnd, Verdict};

/// What a worker knows of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// The task has ended there.
    Ended(TaskEnd),
    /// The task still runs there.
    Runs,
}

/// What one worker says of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// These tasks ran or run there, by their places; the others never will.
    Told(Vec<(u32, Known)>),
    /// The worker gave no reply.
    Silent,
}

/// What the words of all workers come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// This is the answer, for good.
    Proved(Answer),
    /// Something still runs; ask again.
    StillRuns,
    /// It cannot be proved.
    Unproved,
}

/// Concludes from the words of every worker what became of a job of so many tasks.
pub fn conclude(tasks: usize, words: &[Word]) -> Conclusion {
    let mut ends: Vec<Option<TaskEnd>> = vec![None; tasks];
    for (place, known) in words.iter().flat_map(told) {
        match (known, ends.get_mut(*place as usize)) {
            (Known::Runs, _) => return Conclusion::StillRuns,
            (Known::Ended(end), Some(slot)) => *slot = Some(end.clone()),
            (Known::Ended(_), None) => {}
        }
    }
    let all_spoke = !words.is_empty() && !words.contains(&Word::Silent);
    let found = ends.iter().flatten().count();
    let done = |end: &Option<TaskEnd>| matches!(end, Some(TaskEnd::Done { .. }));
    if tasks > 0 && ends.iter().all(done) {
        return Conclusion::Proved(answer_of(Verdict::Complete, Reason::Done, ends));
    }
    if !all_spoke {
        return Conclusion::Unproved;
    }
    if found == 0 {
        return Conclusion::Proved(Answer::not_run(Reason::Voided));
    }
    Conclusion::Proved(answer_of(Verdict::Failed, Reason::HomeGone, ends))
}

fn told(word: &Word) -> &[(u32, Known)] {
    match word {
        Word::Told(tasks) => tasks,
        Word::Silent => &[],
    }
}

fn answer_of(verdict: Verdict, reason: Reason, ends: Vec<Option<TaskEnd>>) -> Answer {
    let tasks = ends.into_iter().map(|end| end.unwrap_or(TaskEnd::NotStarted)).collect();
    Answer { verdict, reason, retry_after_ms: None, tasks }
}

#[cfg(test)]
mod tests {
    use super::{Conclusion, Known, Word, conclude};
    use crate::answer::{Reason, TaskEnd, Verdict};

    fn done() -> Known {
        Known::Ended(TaskEnd::Done { output: "x".into(), digest: "y".into() })
    }

    fn proved(words: &[Word]) -> Option<(Verdict, Reason)> {
        match conclude(2, words) {
            Conclusion::Proved(answer) => Some((answer.verdict, answer.reason)),
            Conclusion::StillRuns | Conclusion::Unproved => None,
        }
    }

    #[test]
    fn each_set_of_words_comes_to_what_it_proves() {
        let one = Word::Told(vec![(0, done())]);
        let two = Word::Told(vec![(1, done())]);
        let none = Word::Told(Vec::new());
        let bad = Word::Told(vec![(1, Known::Ended(TaskEnd::Stopped))]);
        let cases = [
            (vec![one.clone(), two.clone()], Some((Verdict::Complete, Reason::Done))),
            (vec![one.clone(), two, Word::Silent], Some((Verdict::Complete, Reason::Done))),
            (vec![none.clone(), none.clone()], Some((Verdict::NotRun, Reason::Voided))),
            (vec![none.clone(), Word::Silent], None),
            (vec![one.clone(), none], Some((Verdict::Failed, Reason::HomeGone))),
            (vec![one.clone(), bad], Some((Verdict::Failed, Reason::HomeGone))),
            (vec![one, Word::Silent], None),
            (Vec::new(), None),
        ];
        for (words, expected) in cases {
            assert_eq!(proved(&words), expected, "{words:?}");
        }
        let running = [Word::Told(vec![(0, Known::Runs)]), Word::Silent];
        assert_eq!(conclude(2, &running), Conclusion::StillRuns);
    }
}
