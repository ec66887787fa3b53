import type { DomainId, EndpointId, Failure, Millis, ServiceId, Tokens, WorkspaceId } from '@papayahill/common'
import type { AnswerHeaders, HeaderList, RetryAfter, SocketAnswer } from '@papayahill/connections'
import type { DetouredRequest } from './Detour.js'
import type { DomainRule, Endpoint, EndpointDirectory, ReportedLoad, ServiceProfile, ServingRoute } from '@papayahill/directory'

/** One part of a prompt, in prompt order; requests can have leading parts in common. */
export interface PromptPart {
  readonly id: string
  readonly tokens: Tokens
}

/** Prompt of a generation, as known before it runs. */
export interface Prompt {
  /** Model that runs it; empty if the request names none. */
  readonly model: string
  readonly tokensIn: Tokens
  readonly maxTokensOut: Tokens
  readonly parts: readonly PromptPart[]
}

/** A caller's request with an opaque body. */
export interface ForwardRequest {
  /** The caller's own id of this attempt. */
  readonly attempt: string
  readonly method: string
  /** Path and query as received. */
  readonly path: string
  /** Headers that are passed on to the endpoint unchanged. */
  readonly headers: HeaderList
  readonly body: Buffer | undefined
  readonly route: ServingRoute
  readonly workspace: WorkspaceId | undefined
  readonly priority: number
  /** Failure domains whose endpoints may process the request. */
  readonly isAllowedIn: DomainRule
  /** Version of the configuration by which it was routed. */
  readonly configVersion: number
  /** Monotonic times. */
  readonly arrivedAt: Millis
  readonly deadline: Millis
  readonly prompt: Prompt | undefined
  /** Id of the last event that the caller has received of a stream that it resumes. */
  readonly resumeAfter: string | undefined
  /** Pieces of each stage, and the key of the first stages' input. */
  readonly pieceCounts: readonly number[]
  readonly pieceKey: string | undefined
  /** Aborted when the caller disconnects or the instance has stopped; its reason tells which. */
  readonly signal: AbortSignal
  /** Set if a peer that does not reach the service handed the request over. */
  readonly detoured?: DetouredRequest | undefined
}

/** Sends the answer to the caller. */
export interface CallerSink {
  /** Sends a complete answer. */
  answer (status: number, headers: HeaderList, body: Buffer): void
  /** Starts a streamed answer. */
  start (status: number, headers: HeaderList): void
  write (chunk: Buffer): void
  end (): void
  /** Aborts the answer, so that it does not look complete. */
  cut (): void
  fail (failure: Failure): void
  /** Aborts the request's signal with `INSTANCE_STOPPED`; the answer can still be sent. */
  abandon (): void
}

/** One call to an endpoint on behalf of a request. */
export interface OutboundCall {
  readonly request: ForwardRequest
  readonly endpoint: Endpoint
  /** Handles of the stage results that the endpoint reads first; undefined if the route has no stages. */
  readonly inputs: readonly string[] | undefined
  readonly resumeAfter: string | undefined
  readonly timeLeft: Millis
}

/** What an answer states about a limit of its endpoint. */
export interface LimitStatement {
  /** Requests, or rejections, per second of all instances together; undefined where the answer names no limit. */
  readonly perSecond: number | undefined
  /** False if it names one that cannot be read, which says nothing. */
  readonly isReadable: boolean
  /** The value as received, if it could not be read or was bounded. */
  readonly found: string | undefined
}

/** Status and headers of an endpoint's answer, decoded. */
export interface AnswerNotices {
  /** The endpoint states that it did not run the request. */
  readonly isNotRun: boolean
  /** Another endpoint answers at the address. */
  readonly isOtherEndpoint: boolean
  /** Id of the attempt that was answered. */
  readonly attempt: string | undefined
  readonly isSigned: boolean
  readonly isEventStream: boolean
  readonly load: Omit<ReportedLoad, 'at' | 'own'> | undefined
  readonly coldFor: Millis | undefined
  /** The endpoint is shutting down. */
  readonly isLeaving: boolean
  /** Backoff that an endpoint asks for when it rejects a call. */
  readonly retryAfter: RetryAfter | undefined
  readonly limit: LimitStatement
  /** Rejections per second that the endpoint bears while it is brittle. */
  readonly rejectionLimit: LimitStatement
  /** Headers that are passed on to the caller. */
  readonly headers: HeaderList
}

/** Encodes calls and decodes answers in the platform's format. */
export interface CallWire {
  headers (call: OutboundCall): HeaderList
  readAnswer (answer: SocketAnswer): AnswerNotices
}

/** Why a request failed, where operators' tools tell it apart: a stage was late, limits left no token, or a quarantine held it. */
export type FailureCause = 'late-stage' | 'limit' | 'quarantine'

/** Why this instance ended a call whose endpoint may have been at work; only `silence` is a guess. */
export type CallStop =
  /** Nothing came for long. */
  | 'silence'
  | 'deadline'
  /** The caller left, or the instance has stopped. */
  | 'cancelled'
  | 'quarantine'
  /** The call that it was to replace goes on. */
  | 'superseded'
  /** The answer, or an event of it, is larger than what an instance holds. */
  | 'too-large'
  | 'foreign-answer'

/** Is told how far a call has got. */
export interface CallObserver {
  /** The request is about to be written. */
  sent (): void
  /** The endpoint has taken the request: its answer begins, and it is not that it did not run the request. */
  answerBegan (): void
}

/** What is missing to replace a call that sends nothing. */
export type ReplacementDenial =
  /** One of the calls that the route allows. */
  | 'attempts'
  /** Time until the request's deadline, or until the end of a planned stop. */
  | 'deadline' | 'stop'
  /** The request is under quarantine. */
  | 'quarantine'
  /** An endpoint, or a peer that reaches one, that can accept the request. */
  | 'endpoint'
  | 'connection'
  /** Results of the stages, which could not be made anew. */
  | 'inputs'
  /** A retry in the budget of the service. */
  | 'budget'

/** How one call ended. */
export type CallEnd =
  | { readonly kind: 'answered', readonly status: number, readonly headers: HeaderList, readonly body: Buffer }
  /** The stream was completed. */
  | { readonly kind: 'streamed' }
  /** No byte was sent, or the endpoint states that it did not run the call; `isRefused` if nothing listens at its address. */
  | { readonly kind: 'not-run', readonly detail: string, readonly isReceived: boolean, readonly isRefused?: boolean }
  /** The call may have run; `isConnectionLost` if its connection ended before the answer was complete. */
  | { readonly kind: 'lost', readonly detail: string, readonly isConnectionLost: boolean }
  /** The endpoint did not run the call because its inputs are missing. */
  | { readonly kind: 'inputs-gone', readonly detail: string }

/** Candidates and criteria for choosing an endpoint. */
export interface PlacementCriteria {
  readonly endpoints: readonly Endpoint[]
  readonly exclude: ReadonlySet<EndpointId>
  readonly prompt: Prompt | undefined
  /** Preferred failure domain. */
  readonly domain: DomainId | undefined
  /** Bytes of inputs in each failure domain. */
  readonly inputBytes: ReadonlyMap<DomainId, number>
  readonly now: Millis
}

/** The parts of the directory that forwarding reads. */
export type EndpointView = Pick<EndpointDirectory, 'healthy' | 'usable' | 'markCold'>
export type ProfileLookup = (service: ServingRoute['targets'][number]['service']) => ServiceProfile | undefined
export type { AnswerHeaders }

/** Observes what requests use, for the usage of workspaces and the load of services. */
export interface RunObserver {
  /** An endpoint began to run the request: a stream with its first event. At most once for each request on this instance. */
  requestBegan (request: ForwardRequest): void
  callBegan (endpoint: Endpoint): void
  /** A call has ended; `held` is the time for which it took a slot, undefined if the endpoint did not run it. */
  callEnded (endpoint: Endpoint, held: Millis | undefined): void
  /** A request was refused for want of room at the service. */
  requestRefused (service: ServiceId): void
}
