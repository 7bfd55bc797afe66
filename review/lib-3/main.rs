//! Stand-ins and scripts of the review's cases 11 to 15.

mod crowd;
mod fleet;
mod http;
mod json;
mod restored;
mod slow;
mod store;
mod unframed;
mod versions;

use std::path::PathBuf;

use fleet::Record;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["reader", port, id, version] => {
            versions::run_worker(port.parse().expect("a port"), id, version)
        }
        ["worker", port, id] => unframed::run_worker(port.parse().expect("a port"), id),
        [case, folder, scratch] => {
            let scratch = PathBuf::from(scratch);
            let record = Record::open();
            let status = match *case {
                "unframed" => unframed::run(&record, &scratch, has_trouble),
                "crowd" => crowd::run(&record, &scratch, has_trouble),
                "versions" => versions::run(&record, &scratch, has_trouble),
                "slow" => slow::run(&record, &scratch, has_trouble),
                "restored" => restored::run(&record, &scratch, has_trouble),
                _ => 2,
            };
            record.write(format!("trouble: {has_trouble}, exit status {status}"));
            record.save(&PathBuf::from(folder));
            std::process::exit(status);
        }
        _ => std::process::exit(2),
    }
}
