//! Serves the text of answers to gateways of other daemons, and of this one.

use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::request::{Request, Response};
use dahlia_node::wire::{AnswerFrame, ReadAnswer};
use snafu::Snafu;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use crate::answers::{Answer, AnswerBoard};
use crate::core_handle::CoreHandle;
use crate::frames::{FrameError, FrameStream};
use crate::logging::part;

/// How often a reader without news is told that the owner is there.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Frames that may wait for a reader in this process.
const LOCAL_FRAMES: usize = 16;
/// Shortest time between two pieces for one reader. Text that comes faster than this is sent in
/// larger pieces: each piece costs a system call and a wake-up at four places. The first piece
/// never waits, nor does the end.
const PIECE_INTERVAL: Duration = Duration::from_millis(2);

/// Where a reader gets its frames.
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
    /// The gateway of this daemon no longer wants it.
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

/// Opens an answer of a program that is owned here, without a connection.
pub fn open_here(
    core: &CoreHandle,
    board: &AnswerBoard,
    read: ReadAnswer,
) -> mpsc::Receiver<AnswerFrame> {
    let (sender, frames) = mpsc::channel(LOCAL_FRAMES);
    tokio::spawn(serve(core.clone(), board.clone(), read, AnswerSink::Local(sender)));
    frames
}

/// Serves one reader until the call's outcome, or until this daemon is no longer the owner.
pub async fn serve(core: CoreHandle, board: AnswerBoard, read: ReadAnswer, mut sink: AnswerSink) {
    if let Err(error) = serve_reader(&core, &board, &read, &mut sink).await {
        log::debug!(target: part::PEERS, "A reader of {} left. {error}.", read.call);
    }
}

async fn serve_reader(
    core: &CoreHandle,
    board: &AnswerBoard,
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
    let mut reader = Reader::new(board, read);
    let mut beats = interval(KEEP_ALIVE);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            response = &mut outcome => {
                sink.send(last_frame(response)).await?;
                return Ok(());
            }
            () = reader.changed() => reader.send_new(sink).await?,
            _ = beats.tick() => {
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

/// Where one reader stands in a call's text.
struct Reader {
    answer: std::sync::Arc<Answer>,
    changes: watch::Receiver<u64>,
    attempt: u32,
    offset: u64,
    last_piece: Option<Instant>,
}

impl Reader {
    fn new(board: &AnswerBoard, read: &ReadAnswer) -> Self {
        let answer = board.answer(read.call);
        let mut changes = answer.subscribe();
        // Text that is there already counts as news.
        changes.mark_changed();
        Self { answer, changes, attempt: read.attempt, offset: read.offset, last_piece: None }
    }

    /// Waits until there is text to send, and until it may be sent.
    async fn changed(&mut self) {
        if let Some(last_piece) = self.last_piece {
            sleep_until(last_piece + PIECE_INTERVAL).await;
        }
        if self.changes.changed().await.is_err() {
            // The text is complete; only the outcome is still to come.
            std::future::pending::<()>().await;
        }
    }

    async fn send_new(&mut self, sink: &mut AnswerSink) -> Result<(), ServeError> {
        let Some(piece) = self.answer.after(self.attempt, self.offset) else {
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
