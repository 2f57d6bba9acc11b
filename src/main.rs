//! The program: everything is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    coppergw::cli::main()
}
