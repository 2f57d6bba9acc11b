//! Entry point of the program; the implementation is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    coppergw::cli::main()
}
