//! Regenerates the message code from `proto/filbertcleat.proto`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile(["filbertcleat.proto"], [root.join("proto")])?;

    tonic_prost_build::configure()
        .build_server(true)
        .build_client(true)
        .out_dir(root.join("src").join("generated"))
        .compile_fds(descriptors)?;

    Ok(())
}
