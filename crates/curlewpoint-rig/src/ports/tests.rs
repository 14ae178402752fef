use super::*;

/// The same seed in one process would draw the same ports twice; the lock keeps them apart, and is gone with its holder.
#[test]
fn no_two_rigs_have_a_port_in_common_and_blocks_are_given_back() {
    let mut rigs: Vec<Ports> = (0..8).map(|_| Ports::new(7)).collect();
    let mut all = BTreeSet::new();
    for rig in &mut rigs {
        // More than a block has.
        for _ in 0..3 {
            for port in rig.take(usize::from(BLOCK) / 2).expect("there are enough") {
                assert!(all.insert(port), "{port} was handed out twice");
            }
        }
    }
    assert_eq!(all.len(), 8 * 3 * usize::from(BLOCK) / 2);
    drop(rigs);
    let mut all: Vec<Ports> = Vec::new();
    for _ in 0..BLOCKS / 4 {
        let mut ports = Ports::new(7);
        ports.take(1).expect("a block");
        all.push(ports);
    }
}
