/** A log line of one instance. */
export interface LogLine {
  /** Wall-clock time of the instance that wrote the line, in Unix milliseconds. */
  readonly at: number
  readonly instance: string
  readonly name: string
  readonly level: string
  readonly request: string | undefined
  readonly endpoint: string | undefined
  /** All fields of the line, as written. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** How a request ended for its caller. */
export type RequestOutcome = 'answered' | 'refused' | 'rejected' | 'failed' | 'cut' | 'caller-gone' | 'instance-ended' | 'open'

/** How a request ended, and why. */
export interface RequestExplanation {
  readonly id: string
  readonly fate: RequestOutcome
  /** The cause in one sentence. */
  readonly cause: string
  /** The request's own lines, sorted by time. */
  readonly lines: readonly LogLine[]
  /** Lines about the state of endpoints and instances that may be related to the cause. */
  readonly evidence: readonly LogLine[]
}
