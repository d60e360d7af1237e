//! Stand-ins for the cases of this review: the platform's store, engines and clients.
//!
//! It uses the standard library only and is built by `review/build.sh`. `standin engine` is one
//! engine as a process of its own; `standin CASE` plays a case: it starts the store, the engines
//! and the gateways, sends requests, and judges what clients and engines saw.

mod cases;
mod engine;
mod http;
mod json;
mod store;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("engine") => engine::run(&arguments[1..]),
        Some(name) => cases::play(name),
        None => 2,
    };
    std::process::exit(code);
}
