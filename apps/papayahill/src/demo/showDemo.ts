import { microUnits } from '@papayahill/common'
import type { JsonObject } from '@papayahill/common'
import { formatMoney } from '@papayahill/cost'
import { checkInvariants } from '@papayahill/invariants'
import type { Trace } from '@papayahill/invariants'
import type { OperatorConfig } from '@papayahill/settings'
import type { CallerLog } from '@papayahill/testbed'
import { formatTable } from '../table.js'

const PERCENT = 100

/** Violations of invariants, counted from the records of the callers and the stand-ins. */
export interface DemoVerdict {
  /** Requests without an answer, or with an incomplete one. */
  readonly lost: number
  /** Requests that were answered, or had their effect, more than once. */
  readonly doubled: number
  /** Answers that were made for another request. */
  readonly crossed: number
  readonly violations: readonly string[]
}

export interface CostLine {
  readonly class: string
  readonly stage: string
  readonly use: string
  readonly calls: number
  readonly cost: number
}

const countMatching = (details: readonly string[], pattern: RegExp): number =>
  details.filter((detail) => pattern.test(detail)).length

/** Checks the invariants on the trace that callers and stand-ins recorded. */
export const checkDemo = (trace: Trace): DemoVerdict => {
  const traceViolations = checkInvariants(trace)
  const details = (invariant: string): readonly string[] =>
    traceViolations.filter((violation) => violation.invariant === invariant).map(({ detail }) => detail)
  const results = details('results-intact')
  return {
    lost: countMatching(results, /lost/) + details('answers-whole').length,
    doubled: countMatching(results, /times$/) + details('at-most-once').length,
    crossed: countMatching(results, /made for/),
    violations: traceViolations.map(({ invariant: name, detail }) => `${name}: ${detail}`)
  }
}

/** Formats the attainment of each class as measured by its callers. */
export const attainmentTable = (callerLog: CallerLog, config: OperatorConfig): readonly string[] => formatTable(
  ['class', 'sent', 'met %', 'target %', 'refused', 'failed', 'p95 ms'],
  callerLog.attainmentByClass(config).map((attainment) => [
    attainment.class,
    attainment.sent,
    attainment.sent === 0 ? '-' : Math.round(attainment.met / attainment.sent * PERCENT * 10) / 10,
    attainment.target * PERCENT,
    attainment.refused,
    attainment.failed,
    attainment.p95
  ])
)

/** Formats cost by stage, with waste on separate lines. */
export const costTable = (lines: readonly CostLine[]): readonly string[] => {
  const sums = new Map<string, { stage: string, use: string, calls: number, cost: number }>()
  for (const { stage, use, calls, cost } of lines) {
    const sum = sums.get(`${stage} ${use}`) ?? { stage, use, calls: 0, cost: 0 }
    sum.calls += calls
    sum.cost += cost
    sums.set(`${stage} ${use}`, sum)
  }
  const rows = [...sums.values()].sort((left, right) => right.cost - left.cost)
  return formatTable(['stage', 'use', 'calls', 'cost'], rows.map(({ stage, use, calls, cost }) =>
    [stage, use, calls, formatMoney(microUnits(cost))]))
}

/** Formats the counts of refusals and failures by kind. */
export const errorLines = (callerLog: CallerLog): readonly string[] => {
  const errors = [...callerLog.errorCounts()]
  if (errors.length === 0) return ['none']
  return errors.map(([kind, count]) => `${String(count).padStart(5)}  ${kind}`)
}

/** Formats the status of one move. */
export const moveLine = (move: JsonObject): string =>
  `${String(move.service)} ${String(move.from)} to ${String(move.to)}: ${String(move.state)} (${String(move.because)})`
