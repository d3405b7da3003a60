//! The `weir-router` binary.

use std::process;

use router::{Router, settings::Settings};

#[tokio::main]
async fn main() -> process::ExitCode {
    let settings = Settings::load();
    logging::init("weir-router");
    match Router::start(settings).await {
        Ok(router) => {
            println!("peer={}", router.peer());
            println!("listening={}", router.address());
            router.run_until_signalled().await;
            process::ExitCode::SUCCESS
        }
        Err(report) => {
            logging::event!(error, "start_failed", reason = format!("{report:#}"));
            process::ExitCode::FAILURE
        }
    }
}
