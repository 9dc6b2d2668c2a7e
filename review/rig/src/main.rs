//! Plays the scripted cases of the second review: real daemons as processes, stand-ins of the store,
//! the workers and the callers in this process.

mod cancel;
mod installation;
mod label;
mod peer_proxy;
mod record;
mod rich;
mod silent;
mod uneven;

use std::process::ExitCode;

use crate::installation::Setup;

/// What a case found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(program), Some(record)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-rig CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup = match Setup::new(&program, &record) {
        Ok(setup) => setup,
        Err(error) => {
            eprintln!("review-rig: {error}");
            return ExitCode::from(2);
        }
    };
    let verdict = actix_rt::System::new().block_on(async move {
        match case.as_str() {
            "label" => label::play(setup, has_trouble).await,
            "rich" => rich::play(setup, has_trouble).await,
            "silent" => silent::play(setup, has_trouble).await,
            "uneven" => uneven::play(setup).await,
            "cancel" => cancel::play(setup, has_trouble).await,
            _ => Ok(Verdict::CouldNotRun),
        }
    });
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("review-rig: {error}");
            ExitCode::from(2)
        }
    }
}
