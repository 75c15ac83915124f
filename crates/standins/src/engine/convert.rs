//! Between the wire's types and the engine model's.

use dahlia_adapters::engine::{
    AfterHold, CacheChange, CacheEvent, CacheImage, EngineOrder, EngineRefusal, EngineRole,
    FencedOrder, ImageSegment,
};
use dahlia_engine_model as model;
use dahlia_types::{Duration, EngineId, Incarnation};

pub(super) fn refusal(refusal: model::EngineRefusal, retry_after: Duration) -> EngineRefusal {
    use model::EngineRefusal as From;
    match refusal {
        From::StaleEpoch { program, epoch, seen } => {
            EngineRefusal::StaleEpoch { program, epoch, seen }
        }
        From::OtherIncarnation { expected, actual } => {
            EngineRefusal::OtherIncarnation { expected, actual }
        }
        From::ProgramEnded { program } => EngineRefusal::ProgramEnded { program },
        From::ModelNotLoaded { model } => EngineRefusal::ModelNotLoaded { model },
        From::PromptTooLong { tokens, limit } => {
            EngineRefusal::PromptTooLong { counted: tokens, limit }
        }
        From::Overloaded { waiting } => EngineRefusal::Overloaded { queued: waiting, retry_after },
        From::Draining => EngineRefusal::Leaving,
        From::StaleGeneration { generation, seen } => {
            EngineRefusal::StaleGeneration { generation, seen }
        }
        From::NothingCached { program } => EngineRefusal::NothingCached { program },
    }
}

pub(super) fn role(role: model::EngineRole) -> EngineRole {
    match role {
        model::EngineRole::Serving => EngineRole::Serving,
        model::EngineRole::Draining => EngineRole::Draining,
    }
}

pub(super) fn order(order: &FencedOrder) -> model::EngineOrder {
    let kind = match &order.order {
        EngineOrder::LoadModel(name) => model::OrderKind::Load(name.clone()),
        EngineOrder::UnloadModel(name) => model::OrderKind::Unload(name.clone()),
        EngineOrder::SetRole(EngineRole::Serving) => {
            model::OrderKind::SetRole(model::EngineRole::Serving)
        }
        EngineOrder::SetRole(EngineRole::Draining) => {
            model::OrderKind::SetRole(model::EngineRole::Draining)
        }
    };
    model::EngineOrder { generation: order.generation, kind }
}

pub(super) fn after_hold(after: AfterHold) -> model::AfterHold {
    match after {
        AfterHold::Free => model::AfterHold::Free,
        AfterHold::Cache => model::AfterHold::Cache,
    }
}

pub(super) fn cache_event(event: model::CacheEvent) -> CacheEvent {
    let change = match event.change {
        model::CacheChange::Stored => CacheChange::Stored,
        model::CacheChange::Removed => CacheChange::Removed,
    };
    let model::CacheEvent { sequence, program, resident, at, .. } = event;
    CacheEvent { sequence, at, program, change, resident }
}

pub(super) fn image_out(
    image: model::KvImage,
    source: EngineId,
    source_incarnation: Incarnation,
) -> CacheImage {
    let segments = image
        .segments
        .iter()
        .map(|segment| ImageSegment { hash: segment.hash, tokens: segment.tokens });
    CacheImage {
        source,
        source_incarnation,
        program: image.program,
        segments: segments.collect(),
        tenant: image.tenant,
        model: image.model,
        tokens: image.tokens,
        bytes: image.bytes,
    }
}

pub(super) fn image_in(image: CacheImage) -> model::KvImage {
    let segments = image
        .segments
        .iter()
        .map(|segment| model::Segment { hash: segment.hash, tokens: segment.tokens });
    model::KvImage {
        program: image.program,
        segments: segments.collect(),
        tenant: image.tenant,
        model: image.model,
        tokens: image.tokens,
        bytes: image.bytes,
    }
}
