//! The budget of bytes that concurrent buffers share.

use lynxmount_policy::{BufferBudget, UNCOUNTED_BUFFER_BYTES};

const MIB: usize = 1024 * 1024;

#[test]
fn a_buffer_grows_to_its_limit_and_no_further() {
    let budget = BufferBudget::new(64 * MIB, 4 * MIB);
    let mut buffer = budget.reserve();

    assert!(buffer.try_grow_to(4 * MIB));
    assert!(!buffer.try_grow_to(4 * MIB + 1));
}

/// Guards against endless bodies of many calls that exceed the memory together.
#[test]
fn all_buffers_together_stay_within_the_budget_and_small_ones_always_fit() {
    let budget = BufferBudget::new(10 * MIB, 4 * MIB);
    let mut buffers: Vec<_> = (0..100).map(|_| budget.reserve()).collect();

    let large = buffers.iter_mut().filter_map(|b| b.try_grow_to(4 * MIB).then_some(())).count();
    let small = budget.reserve().try_grow_to(UNCOUNTED_BUFFER_BYTES);

    assert_eq!((large, small), (2, true));
}

#[test]
fn dropped_buffers_release_what_they_have_reserved() {
    let budget = BufferBudget::new(10 * MIB, 4 * MIB);
    for _ in 0..5 {
        let mut buffer = budget.reserve();
        assert!(buffer.try_grow_to(3 * MIB));
        assert!(buffer.try_grow_to(4 * MIB));
    }

    assert_eq!(budget.available_bytes(), 10 * MIB);
}
