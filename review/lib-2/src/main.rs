//! Stand-ins and cases of the second review: `review-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod crowd;
mod fleet;
mod http;
mod json;
mod parts;
mod poison;
mod store;
mod versions;
mod worker;

use std::path::Path;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (name, rest) = args.split_first().expect("a case");
    if name == "worker" {
        return worker::run(rest);
    }
    let record = Path::new(rest.first().expect("the path of the record"));
    let verdict = match name.as_str() {
        "poison-restarts" => poison::restarts(record, has_trouble),
        "poison-in-answer" => poison::in_answer(record, has_trouble),
        "crowd" => crowd::bodies(record, has_trouble),
        "poison-for-long" => poison::for_long(record, has_trouble),
        "deadly-part" => parts::first_event(record, has_trouble),
        "versions" => versions::mixed(record, has_trouble),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    println!("{text}");
    if let Ok(mut file) = std::fs::File::options().append(true).open(record) {
        use std::io::Write;
        let _ = writeln!(file, "{text}");
    }
    std::process::exit(code);
}
