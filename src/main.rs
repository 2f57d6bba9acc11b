use std::process::ExitCode;

fn main() -> ExitCode {
    coppergw::cli::main()
}
