use super::*;

/// Guards against two rigs with the same seed sharing a port, and against blocks that stay locked after their rig has ended.
#[test]
fn rigs_never_share_a_port_and_blocks_are_released() {
    let mut rigs: Vec<Ports> = (0..8).map(|_| Ports::new(7)).collect();
    let mut all = BTreeSet::new();
    for rig in &mut rigs {
        // More ports than one block holds.
        for _ in 0..3 {
            for port in rig.take(usize::from(BLOCK_PORTS) / 2).expect("there are enough") {
                assert!(all.insert(port), "{port} was handed out twice");
            }
        }
    }
    assert_eq!(all.len(), 8 * 3 * usize::from(BLOCK_PORTS) / 2);
    drop(rigs);
    let mut all: Vec<Ports> = Vec::new();
    for _ in 0..BLOCK_COUNT / 4 {
        let mut ports = Ports::new(7);
        ports.take(1).expect("a block");
        all.push(ports);
    }
}
