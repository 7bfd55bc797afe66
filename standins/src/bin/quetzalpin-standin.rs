//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use quetzalpin_standins::{
    EngineOptions, EngineStandin, PlatformStandin, ServiceOptions, ServiceStandin, StandinError,
    WeightLimits,
};

mod flags {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Runs a stand-in for one of the external systems that quetzalpin uses.
        cmd quetzalpin-standin {
            /// Table, instance list and weight store.
            cmd platform {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Model loads per 1000 seconds; 10000 if absent.
                optional --loads-per-ks count: u64
            }
            /// A model engine.
            cmd engine {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Address of the weight store; without it, loads are not rate limited.
                optional --weights address: SocketAddr
                /// Accelerator memory in megabytes; 80000 if absent.
                optional --memory-mb megabytes: u64
                /// Accept commands with stale fencing tokens.
                optional --ignore-fence
            }
            /// A plain service.
            cmd service {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Duration of a call in milliseconds; 20 if absent.
                optional --call-ms millis: u64
            }
        }
    }
}

/// Exit code if the stand-in cannot start.
const EXIT_START: u8 = 3;

fn main() -> ExitCode {
    let flags = flags::QuetzalpinStandin::from_env_or_exit();
    match run(flags.subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run(command: flags::QuetzalpinStandinCmd) -> Result<(), StandinError> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(serve(command))
}

async fn serve(command: flags::QuetzalpinStandinCmd) -> Result<(), StandinError> {
    match command {
        flags::QuetzalpinStandinCmd::Platform(platform) => {
            let limits = WeightLimits {
                loads_per_ks: platform.loads_per_ks.unwrap_or(10_000),
                loads_at_once: 4,
                adapter_loads_at_once: 32,
            };
            let handle = PlatformStandin::spawn(platform.listen, limits).await?;
            serve_forever(handle.address()).await;
        }
        flags::QuetzalpinStandinCmd::Engine(engine) => {
            let defaults = EngineOptions::default();
            let options = EngineOptions {
                memory_mb: engine.memory_mb.unwrap_or(defaults.memory_mb),
                checks_fence: !engine.ignore_fence,
                weights: engine.weights,
                ..defaults
            };
            let handle = EngineStandin::spawn(engine.listen, options).await?;
            serve_forever(handle.address()).await;
        }
        flags::QuetzalpinStandinCmd::Service(service) => {
            let options = ServiceOptions {
                call_ms: service.call_ms.unwrap_or(20),
            };
            let handle = ServiceStandin::spawn(service.listen, options).await?;
            serve_forever(handle.address()).await;
        }
    }
    Ok(())
}

async fn serve_forever(address: SocketAddr) {
    println!("listening on {address}");
    std::future::pending::<()>().await;
}
