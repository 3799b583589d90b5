//! Stand-ins and drivers of the scripts of the third review. Standard library only.

mod case_11;
mod case_12;
mod case_13;
mod case_14;
mod case_15;
mod chaos;
mod engine;
mod fleet;
mod http;
mod json;
mod proxy;
mod replica;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("replica") => {
            replica::run(&args[1..]);
            0
        }
        Some("case-11") => case_11::run(&args[1]),
        Some("case-12") => case_12::run(&args[1]),
        Some("chaos") => chaos::run(&args[1..]),
        Some("case-13") => case_13::run(&args[1]),
        Some("engine") => {
            engine::run(&args[1..]);
            0
        }
        Some("case-15") => case_15::run(&args[1]),
        Some("case-14") => case_14::run(&args[1]),
        _ => 2,
    };
    std::process::exit(code);
}
