//! The buffer never drops a record without recording a gap.

use lynxmount_audit::{Actor, AuditBuffer, AuditEvent};

fn buffer_with(records: u64) -> AuditBuffer {
    let mut buffer = AuditBuffer::new("entry-1".into());
    for time_ms in 0..records {
        buffer.push(time_ms, Actor::Signal, AuditEvent::PlatformBack);
    }
    buffer
}

#[test]
fn records_stay_buffered_until_they_are_confirmed() {
    let mut buffer = buffer_with(3);

    let batch = buffer.next_batch();
    assert_eq!(buffer.next_batch(), batch);
    buffer.confirm(&batch);

    assert_eq!(batch.len(), 3);
    assert!(buffer.next_batch().is_empty());
}

#[test]
fn dropped_records_are_recorded_as_a_gap() {
    let buffer = buffer_with(1_010);

    let batch = buffer.next_batch();

    assert_eq!(batch[0].event, AuditEvent::Gap { lost: 10 });
    assert_eq!(batch[1].time_ms, 10);
}

#[test]
fn every_record_is_either_appended_or_counted_in_a_gap() {
    let mut buffer = buffer_with(1_000);
    let batch = buffer.next_batch();
    // The buffer overflows during the append.
    for time_ms in 1_000..1_050 {
        buffer.push(time_ms, Actor::Signal, AuditEvent::PlatformBack);
    }

    buffer.confirm(&batch);

    let mut appended = batch.len() as u64;
    let mut lost = 0;
    loop {
        let batch = buffer.next_batch();
        if batch.is_empty() {
            break;
        }
        for record in &batch {
            match record.event {
                AuditEvent::Gap { lost: count } => lost += count,
                _ => appended += 1,
            }
        }
        buffer.confirm(&batch);
    }
    assert_eq!((appended, lost), (1_050, 0));
}
