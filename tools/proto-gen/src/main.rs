//! Regenerates `crates/proto/src/gen` from `crates/proto/proto`.
//!
//! Run it from this folder with `cargo run`; the main workspace builds without it.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let proto_crate = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/proto");
    let protos = ["kv.proto", "rpc.proto", "peer.proto", "cell.proto"];
    let descriptors = protox::compile(protos, [proto_crate.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(proto_crate.join("src/gen"))
        .bytes(".")
        .compile_fds(descriptors)?;
    Ok(())
}
