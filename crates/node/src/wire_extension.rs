//! Fields that messages have gained since the first build of the protocol's version.
//!
//! A frame holds a message in its first form, followed by an extension if the message has such fields.
//! Earlier builds ignore what follows a message, and their frames read as messages without these fields,
//! so daemons of both kinds serve together.

use dahlia_limits::{LimitCommand, LimitReply, ProgramHandover, ProgramMeans, ProgramProgress};
use dahlia_types::Timestamp;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::feed::{FeedMessage, SubscriptionEcho};
use crate::request::{Request, Response};
use crate::wire::PeerMessage;

/// The fields of a message beyond its first form. Kinds are only added at the end: a build that does not
/// know a kind reads the message without it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageExtension {
    /// `progress` of [`LimitCommand::Ask`].
    ProgramProgress(ProgramProgress),
    /// `handover` of [`LimitCommand::Report`].
    ProgramHandover(ProgramHandover),
    /// `means` of [`LimitReply::Counted`].
    ProgramMeans(ProgramMeans),
    /// `sent_at` of [`FeedMessage::Subscribe`].
    SubscriptionTime(Timestamp),
    /// `echo` of [`FeedMessage::Report`].
    SubscriptionEcho(SubscriptionEcho),
}

/// A message as it is sent in a frame over a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageFrame {
    message: PeerMessage,
    extension: Trailing<MessageExtension>,
}

impl From<PeerMessage> for MessageFrame {
    fn from(mut message: PeerMessage) -> Self {
        let extension = Trailing(take_extension(&mut message));
        Self { message, extension }
    }
}

impl MessageFrame {
    /// Returns the message in the form that builds without extensions read.
    pub fn first_form(&self) -> &PeerMessage {
        &self.message
    }

    /// Returns the whole message.
    pub fn into_message(self) -> PeerMessage {
        let Self { mut message, extension: Trailing(extension) } = self;
        if let Some(extension) = extension {
            attach_extension(&mut message, extension);
        }
        message
    }
}

/// The last value of a frame, which may be missing.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Trailing<T>(Option<T>);

impl<T: Serialize> Serialize for Trailing<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.0 {
            Some(value) => value.serialize(serializer),
            // A unit takes no bytes.
            None => serializer.serialize_unit(),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Trailing<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The frame ends here, or goes on with a kind that this build does not know. Nothing follows that
        // could be misread.
        Ok(Self(T::deserialize(deserializer).ok()))
    }
}

fn take_extension(message: &mut PeerMessage) -> Option<MessageExtension> {
    match message {
        PeerMessage::Request { request: Request::Limits { command, .. }, .. }
        | PeerMessage::Forward { request: Request::Limits { command, .. }, .. } => match command {
            LimitCommand::Ask { progress, .. } => {
                progress.take().map(MessageExtension::ProgramProgress)
            }
            LimitCommand::Report(report) => {
                let handover = std::mem::take(&mut report.handover);
                (!handover.is_empty()).then_some(MessageExtension::ProgramHandover(handover))
            }
        },
        PeerMessage::Response {
            response: Response::Limits(LimitReply::Counted { means, .. }),
            ..
        } => means.take().map(MessageExtension::ProgramMeans),
        PeerMessage::Feed(FeedMessage::Subscribe { sent_at, .. }) => {
            sent_at.take().map(MessageExtension::SubscriptionTime)
        }
        PeerMessage::Feed(FeedMessage::Report { echo, .. }) => {
            echo.take().map(MessageExtension::SubscriptionEcho)
        }
        _ => None,
    }
}

fn attach_extension(message: &mut PeerMessage, extension: MessageExtension) {
    match (message, extension) {
        (
            PeerMessage::Request { request: Request::Limits { command, .. }, .. }
            | PeerMessage::Forward { request: Request::Limits { command, .. }, .. },
            extension,
        ) => match (command, extension) {
            (LimitCommand::Ask { progress, .. }, MessageExtension::ProgramProgress(value)) => {
                *progress = Some(value);
            }
            (LimitCommand::Report(report), MessageExtension::ProgramHandover(value)) => {
                report.handover = value;
            }
            (_, extension) => log_unexpected(&extension),
        },
        (
            PeerMessage::Response {
                response: Response::Limits(LimitReply::Counted { means, .. }),
                ..
            },
            MessageExtension::ProgramMeans(value),
        ) => *means = Some(value),
        (
            PeerMessage::Feed(FeedMessage::Subscribe { sent_at, .. }),
            MessageExtension::SubscriptionTime(value),
        ) => *sent_at = Some(value),
        (
            PeerMessage::Feed(FeedMessage::Report { echo, .. }),
            MessageExtension::SubscriptionEcho(value),
        ) => *echo = Some(value),
        (_, extension) => log_unexpected(&extension),
    }
}

fn log_unexpected(extension: &MessageExtension) {
    log::warn!(
        target: "peers", extension:? = extension;
        "A message has fields that belong to another kind of message. They are ignored."
    );
}
