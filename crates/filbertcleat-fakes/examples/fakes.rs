//! Serves test doubles of the platform, one engine and one plain service until it is terminated.

use std::net::SocketAddr;
use std::process::ExitCode;

use filbertcleat_fakes::EngineSpec;
use filbertcleat_fakes::FakeEngine;
use filbertcleat_fakes::FakePlainService;
use filbertcleat_fakes::FakePlatform;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::Recorder;
use filbertcleat_fakes::WeightStoreModel;
use getopts::Options;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("p", "platform", "address of the platform's services", "IP:PORT");
    options.optopt("e", "engine", "address of the engine", "IP:PORT");
    options.optopt("s", "service", "address of the plain service", "IP:PORT");
    options.optflag("h", "help", "show this text");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if !matches.opt_present("help") => matches,
        Ok(_) => {
            println!("{}", options.usage("Usage: fakes [options]"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let address = |name: &str, default: &str| {
        matches.opt_str(name).unwrap_or_else(|| default.to_owned()).parse::<SocketAddr>()
    };
    let addresses = (
        address("platform", "127.0.0.1:7300"),
        address("engine", "127.0.0.1:7500"),
        address("service", "127.0.0.1:7501"),
    );
    let (Ok(platform), Ok(engine), Ok(service)) = addresses else {
        eprintln!("invalid address: expected an IP address and a port");
        return ExitCode::from(2);
    };

    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(platform, engine, service)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(
    platform: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
) -> Result<(), LoopbackError> {
    let recorder = Recorder::default();
    let weight_store = WeightStoreModel::new(2.0);
    let platform = FakePlatform::start(platform).await?;
    let engine = FakeEngine::start(
        engine,
        "engine",
        EngineSpec::realistic(),
        weight_store,
        recorder.clone(),
    )
    .await?;
    let service = FakePlainService::start(service, recorder).await?;
    println!("platform {} engine {} service {}", platform.url(), engine.url(), service.url());
    std::future::pending().await
}
