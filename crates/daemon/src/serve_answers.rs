//! Serves the text of answers to the gateways of other daemons and of this one.

use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::request::{Request, Response};
use dahlia_node::wire::{AnswerFrame, ReadAnswer};
use snafu::Snafu;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use crate::answers::{AnswerBuffer, AnswerBuffers};
use crate::core_handle::CoreHandle;
use crate::frames::{FrameError, FrameStream};
use crate::logging::part;

/// Time between keep-alive frames to a reader.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Most frames queued for a reader in this process.
const LOCAL_QUEUE_CAPACITY: usize = 16;
/// Shortest time between two pieces for one reader. Faster text is sent in larger pieces, since each
/// piece costs a system call and a wake-up in four places. The first piece and the end never wait.
const PIECE_INTERVAL: Duration = Duration::from_millis(2);

/// The destination of a reader's frames.
pub enum AnswerSink {
    /// A gateway of another daemon.
    Peer(Box<FrameStream>),
    /// The gateway of this daemon.
    Local(mpsc::Sender<AnswerFrame>),
}

/// Why serving a reader ended early.
#[derive(Debug, Snafu)]
enum ServeError {
    /// The connection to the reader's daemon broke.
    #[snafu(display("{source}"), context(false))]
    Peer {
        /// Cause.
        source: FrameError,
    },
    /// The gateway of this daemon has dropped the receiver.
    #[snafu(display("its gateway here gave it up"))]
    Gone,
}

impl AnswerSink {
    async fn send(&mut self, frame: AnswerFrame) -> Result<(), ServeError> {
        match self {
            Self::Peer(frames) => {
                frames.send(&frame).await?;
                Ok(())
            }
            Self::Local(frames) => frames.send(frame).await.map_err(|_| ServeError::Gone),
        }
    }
}

/// Opens an answer of a program that this daemon owns, without a connection.
pub fn open_local(
    core: &CoreHandle,
    answers: &AnswerBuffers,
    read: ReadAnswer,
) -> mpsc::Receiver<AnswerFrame> {
    let (sender, frames) = mpsc::channel(LOCAL_QUEUE_CAPACITY);
    tokio::spawn(serve(core.clone(), answers.clone(), read, AnswerSink::Local(sender)));
    frames
}

/// Serves one reader until the call has an outcome or this daemon is no longer the owner.
pub async fn serve(
    core: CoreHandle,
    answers: AnswerBuffers,
    read: ReadAnswer,
    mut sink: AnswerSink,
) {
    if let Err(error) = serve_reader(&core, &answers, &read, &mut sink).await {
        log::debug!(target: part::PEERS, "A reader of {} left. {error}.", read.call);
    }
}

async fn serve_reader(
    core: &CoreHandle,
    answers: &AnswerBuffers,
    read: &ReadAnswer,
    sink: &mut AnswerSink,
) -> Result<(), ServeError> {
    if !core.owns(read.call.program.group).await {
        sink.send(AnswerFrame::NotOwner { hint: None }).await?;
        return Ok(());
    }
    let request = Request::AwaitOutcome { tenant: read.tenant.clone(), call: read.call };
    let outcome = core.request(request);
    tokio::pin!(outcome);
    let mut reader = Reader::new(answers, read);
    let mut keep_alives = interval(KEEP_ALIVE_INTERVAL);
    keep_alives.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            response = &mut outcome => {
                sink.send(last_frame(response)).await?;
                return Ok(());
            }
            () = reader.changed() => reader.send_new_text(sink).await?,
            _ = keep_alives.tick() => {
                if !core.owns(read.call.program.group).await {
                    sink.send(AnswerFrame::NotOwner { hint: None }).await?;
        return Ok(());
                }
                sink.send(AnswerFrame::KeepAlive).await?;
            }
        }
    }
}

fn last_frame(response: Response) -> AnswerFrame {
    match response {
        Response::Ended { attempt, outcome, .. } => AnswerFrame::End { attempt, outcome },
        Response::Failed(error) => AnswerFrame::Failed(error),
        Response::NotOwner { hint } => AnswerFrame::NotOwner { hint },
        _ => {
            let message = "the owner answered another question";
            AnswerFrame::Failed(ApiError::new(ErrorKind::Internal, message))
        }
    }
}

/// The position of one reader in a call's text.
struct Reader {
    answer: std::sync::Arc<AnswerBuffer>,
    changes: watch::Receiver<u64>,
    attempt: u32,
    offset: u64,
    last_piece: Option<Instant>,
}

impl Reader {
    fn new(answers: &AnswerBuffers, read: &ReadAnswer) -> Self {
        let answer = answers.answer(read.call);
        let mut changes = answer.subscribe();
        // Text that exists already counts as a change.
        changes.mark_changed();
        Self { answer, changes, attempt: read.attempt, offset: read.offset, last_piece: None }
    }

    /// Waits until there is new text and the interval since the last piece is over.
    async fn changed(&mut self) {
        if let Some(last_piece) = self.last_piece {
            sleep_until(last_piece + PIECE_INTERVAL).await;
        }
        if self.changes.changed().await.is_err() {
            // The text is complete; only the outcome is still missing.
            std::future::pending::<()>().await;
        }
    }

    async fn send_new_text(&mut self, sink: &mut AnswerSink) -> Result<(), ServeError> {
        let Some(piece) = self.answer.text_after(self.attempt, self.offset) else {
            return Ok(());
        };
        self.attempt = piece.attempt;
        self.offset = piece.offset + piece.text.len() as u64;
        let frame =
            AnswerFrame::Piece { attempt: piece.attempt, offset: piece.offset, text: piece.text };
        self.last_piece = Some(Instant::now());
        sink.send(frame).await?;
        Ok(())
    }
}
