//! Watches: the changes after a revision, then new ones as they come.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::key_value::{KeyValueRefusal, Revision, WatchEvent, WatchRequest};
use futures::StreamExt;
use futures::stream::BoxStream;

use super::service::Service;
use crate::reply::lost;

/// Opens a watch, or refuses a start that was compacted away.
pub(super) fn open(
    service: Arc<Service>,
    request: WatchRequest,
) -> Result<BoxStream<'static, io::Result<WatchEvent>>, KeyValueRefusal> {
    let mut changes = service.subscribe_changes();
    changes.mark_changed();
    let mut faults = service.subscribe_faults();
    let mut sent = request.from_revision;
    service.look(|store| store.changes_after(&request.prefix, sent))?;
    let progress = Duration::from_millis(service.settings.watch_progress_ms);
    let stream = async_stream::stream! {
        loop {
            let in_force = *faults.borrow_and_update();
            if in_force.outage.is_some() {
                yield Err(lost());
                return;
            }
            tokio::select! {
                _ = faults.changed() => continue,
                _ = changes.changed(), if !in_force.silent_watches => {}
                () = tokio::time::sleep(progress) => {}
            }
            if in_force.silent_watches {
                continue;
            }
            let Ok((events, revision)) = news(&service, &request.prefix, sent) else {
                // The reader is too slow: what it needs next was compacted away.
                yield Err(lost());
                return;
            };
            for event in events {
                yield Ok(event);
            }
            sent = revision;
            yield Ok(WatchEvent::Progress { revision });
        }
    };
    Ok(stream.boxed())
}

fn news(
    service: &Service,
    prefix: &str,
    sent: Revision,
) -> Result<(Vec<WatchEvent>, Revision), KeyValueRefusal> {
    service.look(|store| {
        let events = store.changes_after(prefix, sent)?;
        // A start in the future must not go back to the present.
        Ok((events, store.current().revision().max(sent)))
    })
}
