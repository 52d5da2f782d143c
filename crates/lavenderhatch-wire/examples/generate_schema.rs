//! Generates `src/peer_capnp.rs` from `schema/peer.capnp`. Needs the `capnp` compiler; the build
//! itself does not.

fn main() {
    capnpc::CompilerCommand::new()
        .src_prefix("schema")
        .file("schema/peer.capnp")
        .output_path("src")
        .run()
        .expect("the schema compiles");
}
