//! Output on the terminal, as text or JSON.

use callers::render::AnswerBody;
use dispatch::answer::{TaskEnd, Verdict};
use dispatch::report::name_of;
use serde::Serialize;

use crate::error::CtlError;

/// Prints an error to standard error.
pub fn print_error(error: &CtlError) {
    eprintln!("clementinectl: {error}");
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints a job's answer: the verdict, the outcome of each task and, unless the job is complete,
/// the remedy.
pub fn print_answer(answer: &AnswerBody, as_json: bool) {
    if as_json {
        print_json(answer);
        return;
    }
    let (verdict, reason) = (name_of(&answer.verdict), name_of(&answer.reason));
    println!("{verdict} ({reason}), ticket {}", answer.ticket);
    if answer.verdict != Verdict::Complete {
        println!("{}", answer.remedy);
    }
    for (index, end) in answer.tasks.iter().enumerate() {
        println!("{}", format_task(index, end));
    }
}

fn format_task(index: usize, end: &TaskEnd) -> String {
    match end {
        TaskEnd::Done { output, .. } => format!("{index:5}  done         {output}"),
        TaskEnd::Failed { detail } => format!("{index:5}  failed       {detail}"),
        TaskEnd::Stopped => format!("{index:5}  stopped"),
        TaskEnd::InDoubt => format!("{index:5}  in doubt     it may have run"),
        TaskEnd::NotStarted => format!("{index:5}  not started"),
    }
}

#[cfg(test)]
mod tests {
    use dispatch::answer::TaskEnd;

    use super::format_task;

    #[test]
    fn task_ends_have_distinct_labels() {
        let done = TaskEnd::Done { output: "ok".into(), digest: String::new() };
        assert_eq!(format_task(3, &done), "    3  done         ok");
        assert!(format_task(0, &TaskEnd::InDoubt).ends_with("it may have run"));
        assert!(format_task(0, &TaskEnd::NotStarted).ends_with("not started"));
    }
}
