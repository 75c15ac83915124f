//! What an order earns that knows all programs in advance. It takes the programs with the highest worth a
//! request first, each of them completely and without waits, as far as every window has room.

use super::{OfferedProgram, WINDOW_S};

/// The length of the slots that time is counted in.
const SLOT_US: u64 = 20_000;

/// Returns what this order earns if `allowance` requests fit into any window.
pub fn best_earnings(offered: &[OfferedProgram], allowance: f64) -> f64 {
    let window = (WINDOW_S * 1e6) as u64 / SLOT_US;
    let last = offered.iter().filter_map(|program| program.requests_us.last()).max();
    let slots = last.copied().unwrap_or(0) / SLOT_US + window + 1;
    // The count of the window that ends with each slot.
    let mut counts = vec![0_u32; slots as usize];
    let mut order: Vec<&OfferedProgram> = offered.iter().collect();
    let worth_per_request =
        |program: &OfferedProgram| program.worth / program.requests_us.len() as f64;
    order.sort_by(|one, other| worth_per_request(other).total_cmp(&worth_per_request(one)));
    let mut earned = 0.0;
    for program in order {
        add(&mut counts, program, window, 1);
        let first = (program.requests_us[0] / SLOT_US) as usize;
        let is_exceeded = counts[first..].iter().any(|count| f64::from(*count) > allowance);
        match is_exceeded {
            true => add(&mut counts, program, window, -1),
            false => earned += program.worth,
        }
    }
    earned
}

fn add(counts: &mut [u32], program: &OfferedProgram, window: u64, change: i32) {
    for request_us in &program.requests_us {
        let slot = (request_us / SLOT_US) as usize;
        for count in &mut counts[slot..=slot + window as usize] {
            *count = count.saturating_add_signed(change);
        }
    }
}
