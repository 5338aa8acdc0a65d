//! Hashes of bytes that lie in several pieces.

use filbertcleat_base::stable_hash_bytes;
use filbertcleat_base::stable_hash_pieces;
use rstest::rstest;

/// Processes of earlier versions hash a body in one piece.
#[rstest]
fn pieces_hash_alike(
    #[values(0, 1, 240, 241, 100_000)] length: usize,
    #[values(1, 7, 65_536)] piece_bytes: usize,
) {
    let bytes: Vec<u8> = (0..length).map(|at| (at * 31 % 251) as u8).collect();

    assert_eq!(stable_hash_pieces(bytes.chunks(piece_bytes)), stable_hash_bytes(&bytes));
}
