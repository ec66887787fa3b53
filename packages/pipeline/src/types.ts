import type {
  BodyDigest, ClassId, Failure, IdempotencyKey, Json, Millis, RequestId, StageUsage, WorkspaceId
} from '@papayahill/common'
import type { Result } from 'true-myth'

/** A caller's request, as the edge passes it on. */
export interface CallerRequest {
  readonly id: RequestId
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly body: Json
  readonly digest: BodyDigest
  readonly key?: IdempotencyKey
  readonly isStreamed: boolean
  /** Monotonic time at which the request's first byte arrived. */
  readonly startedAt: Millis
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** One chunk of a streamed answer; indexes count from 0 without gaps. */
export interface AnswerChunk {
  readonly index: number
  readonly text: string
}

/** Receives a streamed answer while it arrives. */
export interface AnswerSink {
  /** Sends a chunk; false means that the sender should wait for {@link AnswerSink.drained} before the next one. */
  chunk (chunk: AnswerChunk): boolean
  drained (): Promise<void>
}

export interface Answer {
  readonly request: RequestId
  readonly body: Json
  /** Number of chunks sent to the sink. */
  readonly chunks: number
  readonly isReplayed: boolean
  readonly usage: StageUsage
}

export interface PipelineRunner {
  run (request: CallerRequest, sink: AnswerSink): Promise<Result<Answer, Failure>>
  /** Number of requests with work in progress, including those whose caller already has its answer. */
  readonly running: number
}
