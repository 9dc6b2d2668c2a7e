//! Plays a case of the review: `review-harness CASE RECORD`. `TROUBLE=0` leaves the disruption out.

mod balancer;
mod clock;
mod daemon;
mod drain;
mod http;
mod reborn;
mod record;
mod recover;
mod setup;
mod worker;

use record::Record;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, path) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(std::path::Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2);
        }
    };
    let result = actix_rt::System::new().block_on(async {
        match case.as_str() {
            "drain" => drain::run(&record, has_trouble).await,
            "label" => reborn::run(&record, has_trouble, false).await,
            "clock" => clock::run(&record, has_trouble).await,
            "recover" => recover::run(&record, has_trouble).await,
            "room" => reborn::run(&record, has_trouble, true).await,
            _ => Ok(2),
        }
    });
    record.flush();
    match result {
        Ok(code) => std::process::exit(code),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}
