//! Generates the Rust code of the crate `proto` from its `.proto` files.
//!
//! Run `cargo run -p protogen` at the repository's root after a change to one of [`PROTOS`] and
//! commit the output, so that the build needs no code generator.

use std::path::Path;

/// The `.proto` files, below [`PROTO_DIR`].
const PROTOS: &[&str] = &["mvcc.proto", "etcd.proto", "peer.proto"];
/// Directory of the `.proto` files, relative to the repository's root.
const PROTO_DIR: &str = "crates/proto/protos";
/// Output directory, relative to the repository's root.
const OUT_DIR: &str = "crates/proto/src/gen";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let descriptors = protox::compile(PROTOS, [root.join(PROTO_DIR)])?;
    tonic_prost_build::configure()
        .out_dir(root.join(OUT_DIR))
        .bytes(".")
        .compile_fds(descriptors)?;
    Ok(())
}
