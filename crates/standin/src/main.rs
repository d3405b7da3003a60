//! `weir-standin`: a stand-in for an engine, a plain service or the platform.

mod arguments;

use std::{io, net::SocketAddr};

use standin::{engine, platform, process, service};

fn main() -> io::Result<()> {
    let role = settings::load(arguments::ABOUT, arguments::parser(), arguments::check);
    logging::init("weir-standin");
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?
        .block_on(run(role))
}

async fn run(role: arguments::Role) -> io::Result<()> {
    match role {
        arguments::Role::Engine(settings) => {
            let engine = engine::start(settings).await?;
            serve(engine.address()).await
        }
        arguments::Role::Service(settings) => {
            let service = service::start(settings).await?;
            serve(service.address()).await
        }
        arguments::Role::Platform(settings) => {
            let platform = platform::start(settings).await?;
            serve(platform.address()).await
        }
    }
}

/// Prints the address and serves until the process receives SIGINT or SIGTERM.
async fn serve(address: SocketAddr) -> io::Result<()> {
    process::announce(address)?;
    process::wait_for_signal().await
}
