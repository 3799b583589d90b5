//! The stand-ins of the second review, and the cases that are scripts.

mod crash;
mod fleet;
mod heads;
mod http;
mod json;
mod record;
mod replica;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// Exit codes of a case.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["replica", id, service, zone, domain, address, store, events, is_chunked, crashes] => {
            let (Ok(address), Ok(store), Ok(events)) =
                (address.parse(), store.parse(), events.parse())
            else {
                return ExitCode::from(NOT_RUN);
            };
            let settings = replica::Settings {
                id: (*id).into(),
                service: (*service).into(),
                zone: (*zone).into(),
                domain: (*domain).into(),
                address,
                store,
                events,
                is_chunked: *is_chunked == "true",
                crashes: *crashes == "true",
            };
            match replica::run(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::from(NOT_RUN),
            }
        }
        [case @ ("crash" | "part" | "killed" | "herd" | "heads"), record] => {
            let value = |name: &str| std::env::var(name).unwrap_or_default();
            let has_trouble = value("TROUBLE") != "0";
            let crashing = match *case {
                "part" => crash::Crashing::Part,
                "killed" => crash::Crashing::Nothing,
                _ => crash::Crashing::Request,
            };
            let is_chunked = ["part", "herd"].contains(case) || value("FRAMING") == "chunked";
            let turns = value("TURNS").parse().unwrap_or(crash::TURNS);
            let is_herd = *case == "herd";
            let options = crash::Options {
                crashing,
                turns,
                has_herd_kills: is_herd && has_trouble,
                // The request crashes servers without the kills as well.
                has_trouble: is_herd || has_trouble,
                is_chunked,
            };
            let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
            let record = Path::new(record);
            let ran = std::fs::create_dir_all(&dir).and_then(|()| match *case {
                "heads" => heads::run(has_trouble, value("ORDERS") != "answered", &dir, record),
                _ => crash::run(&options, &dir, record),
            });
            if value("KEEP_LOGS") != "1" {
                // What is left of a temporary folder harms nothing.
                let _ = std::fs::remove_dir_all(&dir);
            }
            match ran {
                Ok(Some(true)) => ExitCode::from(HELD),
                Ok(Some(false)) => ExitCode::from(BROKEN),
                Ok(None) => ExitCode::from(NOT_RUN),
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    ExitCode::from(NOT_RUN)
                }
            }
        }
        _ => {
            eprintln!("usage: review-stand-2 crash|part|killed|herd|heads RECORD");
            ExitCode::from(NOT_RUN)
        }
    }
}
