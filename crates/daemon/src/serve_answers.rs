//! Serves the text of answers to gateways of other daemons, and of this one.

use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::request::{Request, Response};
use dahlia_node::wire::{AnswerFrame, ReadAnswer};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::answers::{Answer, AnswerBoard};
use crate::core::CoreHandle;
use crate::frames::{FrameError, FrameStream};
use crate::logging::part;

/// How often a reader without news is told that the owner is there.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Serves one reader until the call's outcome, or until this daemon is no longer the owner.
pub async fn serve(
    core: CoreHandle,
    board: AnswerBoard,
    read: ReadAnswer,
    mut frames: FrameStream,
) {
    if let Err(error) = serve_reader(&core, &board, &read, &mut frames).await {
        log::debug!(target: part::PEERS, "A reader of {} left. {error}.", read.call);
    }
}

async fn serve_reader(
    core: &CoreHandle,
    board: &AnswerBoard,
    read: &ReadAnswer,
    frames: &mut FrameStream,
) -> Result<(), FrameError> {
    if !core.owns(read.call.program.group).await {
        frames.send(&AnswerFrame::NotOwner { hint: None }).await?;
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
                frames.send(&last_frame(response)).await?;
                return Ok(());
            }
            () = reader.changed() => reader.send_new(frames).await?,
            _ = beats.tick() => {
                if !core.owns(read.call.program.group).await {
                    frames.send(&AnswerFrame::NotOwner { hint: None }).await?;
        return Ok(());
                }
                frames.send(&AnswerFrame::KeepAlive).await?;
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
}

impl Reader {
    fn new(board: &AnswerBoard, read: &ReadAnswer) -> Self {
        let answer = board.answer(read.call);
        let mut changes = answer.subscribe();
        // Text that is there already counts as news.
        changes.mark_changed();
        Self { answer, changes, attempt: read.attempt, offset: read.offset }
    }

    async fn changed(&mut self) {
        if self.changes.changed().await.is_err() {
            // The text is complete; only the outcome is still to come.
            std::future::pending::<()>().await;
        }
    }

    async fn send_new(&mut self, frames: &mut FrameStream) -> Result<(), FrameError> {
        let Some(piece) = self.answer.after(self.attempt, self.offset) else {
            return Ok(());
        };
        self.attempt = piece.attempt;
        self.offset = piece.offset + piece.text.len() as u64;
        let frame =
            AnswerFrame::Piece { attempt: piece.attempt, offset: piece.offset, text: piece.text };
        frames.send(&frame).await?;
        Ok(())
    }
}
