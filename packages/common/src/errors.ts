import type { Millis } from './units.js'

/** Whether a request was executed; `not-run` and `ran` are used only if that is certain. */
export type RunStatus = 'not-run' | 'unknown' | 'ran'

interface ErrorAnswer {
  readonly status: number
  readonly title: string
  /** Whether the same request may succeed later, so that `Retry-After` helps. */
  readonly retryLater: boolean
}

/** All error kinds, with the answers that callers and operators get. */
export const ERROR_ANSWERS = {
  'bad-request': { status: 400, title: 'The request is malformed', retryLater: false },
  'bad-header': { status: 400, title: 'A header is malformed', retryLater: false },
  'key-required': { status: 400, title: 'This class needs an Idempotency-Key', retryLater: false },
  'key-reused': { status: 422, title: 'The Idempotency-Key was used with another body', retryLater: false },
  unauthorized: { status: 401, title: 'The token is missing or wrong', retryLater: false },
  forbidden: { status: 403, title: 'The token does not allow this', retryLater: false },
  'unknown-workspace': { status: 404, title: 'No such workspace', retryLater: false },
  'unknown-class': { status: 404, title: 'No such class', retryLater: false },
  'unknown-resource': { status: 404, title: 'No such resource', retryLater: false },
  'method-not-allowed': { status: 405, title: 'The method is not allowed here', retryLater: false },
  'not-acceptable': { status: 406, title: 'The requested answer format is not offered', retryLater: false },
  'body-too-large': { status: 413, title: 'The body is too large', retryLater: false },
  'unsupported-media': { status: 415, title: 'The body must be JSON', retryLater: false },
  'headers-too-large': { status: 431, title: 'The headers are too large', retryLater: false },
  quarantined: { status: 422, title: 'The request has a part that crashes endpoints', retryLater: false },
  conflict: { status: 409, title: 'Another change came first', retryLater: false },
  'invalid-change': { status: 422, title: 'The change does not fit the configuration', retryLater: false },
  'too-many-connections': { status: 503, title: 'Too many connections', retryLater: true },
  'over-budget': { status: 429, title: 'The budget is used up', retryLater: true },
  'over-capacity': { status: 429, title: 'The target cannot be met now', retryLater: true },
  'no-endpoint': { status: 503, title: 'No endpoint can take this stage', retryLater: true },
  'not-ready': { status: 503, title: 'The instance is not ready', retryLater: true },
  draining: { status: 503, title: 'The instance is stopping', retryLater: true },
  'store-unavailable': { status: 503, title: 'The platform store is unreachable', retryLater: true },
  'outcome-unknown': { status: 409, title: 'Whether the request ran is not known', retryLater: true },
  'stage-failed': { status: 502, title: 'A stage failed', retryLater: true },
  'deadline-passed': { status: 504, title: 'The deadline passed', retryLater: true },
  'caller-gone': { status: 499, title: 'The caller went away', retryLater: false },
  'slow-caller': { status: 408, title: 'The caller was too slow', retryLater: false },
  internal: { status: 500, title: 'A fault of the instance', retryLater: false }
} as const satisfies Readonly<Record<string, ErrorAnswer>>

export type ErrorKind = keyof typeof ERROR_ANSWERS

/** An error as passed between packages and sent to callers as problem details. */
export interface Failure {
  readonly kind: ErrorKind
  /** One sentence with the cause, and with the remedy if it is known. */
  readonly detail: string
  readonly run: RunStatus
  readonly retryAfter?: Millis
}

interface FailureOptions {
  readonly retryAfter?: Millis
}

/**
 * A failure after dispatch, or one for which it is not certain that nothing ran.
 * `not-run` is excluded on purpose: only {@link RunGuard} can produce it.
 *
 * @example
 * failure('stage-failed', 'generate answered 500 twice', 'unknown')
 */
export const failure = (
  kind: ErrorKind,
  detail: string,
  run: Exclude<RunStatus, 'not-run'>,
  options: FailureOptions = {}
): Failure => ({ kind, detail, run, ...options })

/**
 * Ensures that failures are marked `not-run` only before dispatch.
 *
 * @example
 * const guard = new RunGuard()
 * guard.refuse('over-capacity', 'the queue is too long') // run: 'not-run'
 * guard.dispatched()
 * guard.refuse('stage-failed', 'answered 500') // run: 'unknown'
 */
export class RunGuard {
  #isDispatched = false

  get isDispatched (): boolean {
    return this.#isDispatched
  }

  /** Call it before the first byte of a request with side effects is sent. */
  dispatched (): void {
    this.#isDispatched = true
  }

  refuse (kind: ErrorKind, detail: string, options: FailureOptions = {}): Failure {
    const run = this.#isDispatched ? 'unknown' : 'not-run'
    return { kind, detail, run, ...options }
  }
}

/** A refusal, at the edge or by admission, of a request that was never passed to a stage. */
export const refusal = (kind: ErrorKind, detail: string, options: FailureOptions = {}): Failure =>
  new RunGuard().refuse(kind, detail, options)
