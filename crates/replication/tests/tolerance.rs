//! The number of voters that tolerates the declared losses.

use dahlia_replication::tolerance::{HolderCounts, LossTolerance, MAX_VOTERS, Shortfall};
use dahlia_types::Zone;

/// Creates counts with so many machines in each zone.
fn holders(counts: &[usize]) -> HolderCounts {
    let zones = counts.iter().enumerate();
    let zones = zones.flat_map(|(zone, count)| vec![Zone::new(format!("zone-{zone}")); *count]);
    HolderCounts::of_zones(zones)
}

fn tolerance(machines: u32, zones: u32, regions: u32) -> LossTolerance {
    LossTolerance { machines, zones, regions }
}

fn messages(shortfalls: &[Shortfall]) -> Vec<String> {
    shortfalls.iter().map(Shortfall::to_string).collect()
}

#[test]
fn a_group_needs_twice_the_losses_plus_one_voters() {
    for (machines, voters) in [(0, 1), (1, 3), (2, 5), (3, 7), (4, 9)] {
        let target = tolerance(machines, 0, 0).target(&holders(&[3, 3, 3]));
        assert_eq!((target.voters, target.shortfalls), (voters, vec![]), "{machines} machines");
    }
}

#[test]
fn too_few_machines_give_the_best_target_and_a_shortfall() {
    let target = tolerance(2, 0, 0).target(&holders(&[1, 1, 1, 1]));
    assert_eq!(target.voters, 3, "a fourth voter would tolerate no further loss");
    insta::assert_snapshot!(messages(&target.shortfalls).join("\n"), @"tolerance.machines = 2 cannot be tolerated, only 1 can: 5 machines that hold groups are needed (at most 9 are used by a group), 4 are there");
    assert_eq!(tolerance(2, 0, 0).target(&holders(&[])).voters, 1);
    assert_eq!(tolerance(50, 0, 0).target(&holders(&[40, 40])).voters, MAX_VOTERS);
}

#[test]
fn too_few_zones_are_reported_with_field_and_limit() {
    let target = tolerance(1, 1, 0).target(&holders(&[3, 3]));
    assert_eq!(target.voters, 3);
    insta::assert_snapshot!(messages(&target.shortfalls).join("\n"), @"tolerance.zones = 1 cannot be tolerated, only 0 can: 3 zones with machines that hold groups are needed, 2 are there");
}

#[test]
fn the_loss_of_a_region_is_not_tolerated() {
    let target = tolerance(1, 0, 1).target(&holders(&[1, 1, 1]));
    insta::assert_snapshot!(messages(&target.shortfalls).join("\n"), @"tolerance.regions = 1 cannot be tolerated, only 0 can: a group keeps its majority in one region");
}

#[test]
fn the_zones_with_most_voters_may_be_lost_without_the_quorum() {
    // Seven voters over five zones are spread 2, 2, 1, 1, 1: two zones have four of the seven.
    let target = tolerance(3, 2, 0).target(&holders(&[2, 2, 2, 2, 2]));
    assert_eq!((target.voters, target.shortfalls), (9, vec![]));
    // With five of six machines in one zone, the voters cannot be spread.
    let crowded = tolerance(1, 1, 0).target(&holders(&[5, 1]));
    assert_eq!(messages(&crowded.shortfalls).len(), 1, "{crowded:?}");
}

#[test]
fn no_tolerated_loss_breaks_the_quorum() {
    let shapes: [&[usize]; 6] =
        [&[1, 1, 1], &[2, 2, 2, 2], &[3, 1, 1], &[5, 5, 5, 5, 5], &[1, 2, 3, 4], &[9]];
    for shape in shapes {
        for machines in 0..5 {
            for zones in 0..3 {
                let target = tolerance(machines, zones, 0).target(&holders(shape));
                assert!(target.voters % 2 == 1 && target.voters <= shape.iter().sum(), "{shape:?}");
                if target.shortfalls.is_empty() {
                    assert!(target.voters / 2 >= machines as usize, "{shape:?} {machines}");
                    assert!(2 * zones < shape.len() as u32 || zones == 0, "{shape:?} {zones}");
                }
            }
        }
    }
}
