//! What the tool prints, for people and as JSON.

use callers::render::AnswerBody;
use dispatch::answer::{TaskEnd, Verdict};
use dispatch::report::name_of;
use serde::Serialize;

use crate::error::CtlError;

/// Prints an error in the one place where errors are printed.
pub fn error(error: &CtlError) {
    eprintln!("clementinectl: {error}");
}

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints an answer.
pub fn answer(answer: &AnswerBody, as_json: bool) {
    if as_json {
        json(answer);
        return;
    }
    let (verdict, reason) = (name_of(&answer.verdict), name_of(&answer.reason));
    println!("{verdict} ({reason}), ticket {}", answer.ticket);
    if answer.verdict != Verdict::Complete {
        println!("{}", answer.remedy);
    }
    for (place, end) in answer.tasks.iter().enumerate() {
        println!("{}", task_line(place, end));
    }
}

fn task_line(place: usize, end: &TaskEnd) -> String {
    match end {
        TaskEnd::Done { output, .. } => format!("{place:5}  done         {output}"),
        TaskEnd::Failed { detail } => format!("{place:5}  failed       {detail}"),
        TaskEnd::Stopped => format!("{place:5}  stopped"),
        TaskEnd::InDoubt => format!("{place:5}  in doubt     it may have run"),
        TaskEnd::NotStarted => format!("{place:5}  not started"),
    }
}

#[cfg(test)]
mod tests {
    use dispatch::answer::TaskEnd;

    use super::task_line;

    #[test]
    fn each_end_has_its_own_words() {
        let done = TaskEnd::Done { output: "ok".into(), digest: String::new() };
        assert_eq!(task_line(3, &done), "    3  done         ok");
        assert!(task_line(0, &TaskEnd::InDoubt).ends_with("it may have run"));
        assert!(task_line(0, &TaskEnd::NotStarted).ends_with("not started"));
    }
}
