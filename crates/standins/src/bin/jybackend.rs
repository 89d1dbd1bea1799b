//! Not written yet.

fn main() {
    std::process::exit(2);
}
