import type { Clock, ClassId, Millis } from '@papayahill/common'
import { millis } from '@papayahill/common'
import type { Trace, TraceEventOf } from '@papayahill/invariants'
import type { ClassSettings, OperatorConfig } from '@papayahill/settings'

type SentEvent = TraceEventOf<'request-sent'>
type AnsweredEvent = TraceEventOf<'request-answered'>

/** One finished request, as recorded by its caller. */
export interface CallerEntry {
  readonly sent: Omit<SentEvent, 'type'>
  readonly answered: Omit<AnsweredEvent, 'type' | 'at' | 'request'>
  readonly error?: string
  readonly firstChunk?: Millis
  readonly took: Millis
}

export interface ClassAttainment {
  readonly class: ClassId
  readonly sent: number
  readonly met: number
  readonly refused: number
  readonly failed: number
  readonly p95: Millis
  readonly target: number
}

const P95 = 0.95

const meetsTarget = (entry: CallerEntry, settings: ClassSettings): boolean => {
  const { deadline, firstChunk } = settings.target
  if (entry.answered.outcome !== 'answered' || entry.took > deadline) return false
  return firstChunk === undefined || entry.firstChunk === undefined || entry.firstChunk <= firstChunk
}

const percentile = (values: readonly number[], share: number): Millis => {
  const sorted = [...values].sort((left, right) => left - right)
  return millis(Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0))
}

/** Requests and answers as recorded by the callers, independent of the system under test. */
export class CallerLog {
  readonly #clock: Clock
  readonly #trace: Trace
  readonly #entries: CallerEntry[] = []

  constructor (clock: Clock, trace: Trace) {
    this.#clock = clock
    this.#trace = trace
  }

  get entries (): readonly CallerEntry[] {
    return this.#entries
  }

  add (entry: CallerEntry): void {
    this.#entries.push(entry)
    this.#trace.add({ type: 'request-sent', ...entry.sent })
    this.#trace.add({ type: 'request-answered', at: this.#clock.now(), request: entry.sent.request, ...entry.answered })
  }

  /** Attainment of each class, measured with the callers' clocks. */
  attainmentByClass (config: OperatorConfig): readonly ClassAttainment[] {
    return [...config.classes.values()].map((settings) => this.#attainmentOf(settings))
  }

  /** Number of refusals and failures by error kind. */
  errorCounts (): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { error } of this.#entries) if (error !== undefined) counts.set(error, (counts.get(error) ?? 0) + 1)
    return counts
  }

  #attainmentOf (settings: ClassSettings): ClassAttainment {
    const own = this.#entries.filter(({ sent }) => sent.class === settings.id)
    const count = (outcome: AnsweredEvent['outcome']): number => own.filter(({ answered }) => answered.outcome === outcome).length
    return {
      class: settings.id,
      sent: own.length,
      met: own.filter((entry) => meetsTarget(entry, settings)).length,
      refused: count('refused'),
      failed: count('failed') + count('cut'),
      p95: percentile(own.map(({ took }) => took), P95),
      target: settings.target.attainment
    }
  }
}
