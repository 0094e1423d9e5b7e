//! Log lines as JSON on standard output. Lines pass through a bounded queue, so
//! a slow or closed output drops lines instead of blocking the threads that log.

use {
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    log4rs::append::Append,
    serde_json::{Map, Value as Json},
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// The most lines queued for the writer.
const MAX_QUEUED_LINES: usize = 8192;
/// How long the writer waits for more lines before it writes a batch, so that
/// it wakes up rarely.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// A `log4rs` appender that queues lines for the writer thread.
#[derive(Debug)]
pub struct LineAppender {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineAppender {
    /// Starts the writer thread.
    pub fn start() -> Self {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let writer = thread::Builder::new().name("log".to_owned());
        writer.spawn(move || write_all(&queue, &counter)).expect("the log thread starts");
        Self { lines, dropped }
    }
}

impl Append for LineAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if self.lines.try_send(encode(record)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_all(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_DELAY);
        let mut bytes = first;
        for line in queue.try_iter().take(MAX_QUEUED_LINES) {
            bytes.extend(line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line =
                format!("{{\"part\":\"logs\",\"event\":\"lines dropped\",\"count\":{count}}}\n");
            bytes.extend(line.as_bytes());
        }
        // The output is closed, so later lines can't be written either.
        if io::stdout().lock().write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Encodes a record as one JSON object: time in milliseconds since the Unix
/// epoch, level, part and event, then the fields of the event.
fn encode(record: &Record<'_>) -> Vec<u8> {
    let message = record.args().to_string();
    let (part, event) = match message.strip_prefix('[').and_then(|it| it.split_once("] ")) {
        Some((part, event)) => (part, event),
        None => (record.target(), message.as_str()),
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), (since_epoch.as_millis() as u64).into());
    fields.0.insert("level".to_owned(), record.level().as_str().into());
    fields.0.insert("part".to_owned(), part.into());
    fields.0.insert("event".to_owned(), event.into());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".to_owned(), "incomplete".into());
    }
    let mut line = serde_json::to_vec(&fields.0).expect("the line can be serialized as JSON");
    line.push(b'\n');
    line
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(it) = value.to_u64() {
            it.into()
        } else if let Some(it) = value.to_i64() {
            it.into()
        } else if let Some(it) = value.to_f64() {
            it.into()
        } else if let Some(it) = value.to_bool() {
            it.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
