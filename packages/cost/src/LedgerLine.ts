import { brand, microUnits, millis, tokens } from '@papayahill/common'
import type { ClassId, ServiceId, StageId, StageUsage, WorkspaceId } from '@papayahill/common'
import { z } from 'zod'
import type { CostRow, CostUse } from './types.js'

/**
 * What a ledger line counts. `not-needed` is work that was first counted as needed and turned out to be
 * waste. Lines only grow, so it is subtracted from the needed work when the ledger is read.
 */
export type LineUse = CostUse | 'not-needed'

export interface LedgerLineId {
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly stage: StageId
  readonly service: ServiceId
  readonly use: LineUse
}

/** Counters of one line, in the order of {@link COUNTERS}, then the cost of each hour of the day. */
export type Counters = Float64Array

const HOURS_PER_DAY = 24
const COUNTERS = ['calls', 'tokensIn', 'tokensCached', 'tokensOut', 'busy', 'cost'] as const
type CounterName = typeof COUNTERS[number]
const COUNTER_COUNT = COUNTERS.length + HOURS_PER_DAY

const counterIndex = (name: CounterName): number => COUNTERS.indexOf(name)
const CALLS = counterIndex('calls')
const TOKENS_IN = counterIndex('tokensIn')
const TOKENS_CACHED = counterIndex('tokensCached')
const TOKENS_OUT = counterIndex('tokensOut')
const BUSY = counterIndex('busy')
const COST = counterIndex('cost')

/** One line of a ledger: grow-only counters of one day. */
export interface LedgerLine {
  readonly id: LedgerLineId
  readonly counters: Counters
}

export const packedLineSchema = z.tuple([z.string(), z.string(), z.string(), z.string(), z.string(), z.array(z.number())])
/** Wire format of a line: its ids, then pairs of counter index and value. */
export type PackedLine = z.infer<typeof packedLineSchema>

export const lineKey = ({ workspace, class: classId, stage, service, use }: LedgerLineId): string =>
  `${workspace} ${classId} ${stage} ${service} ${use}`

export const emptyLine = (id: LedgerLineId): LedgerLine => ({ id, counters: new Float64Array(COUNTER_COUNT) })

/** Counts one call. Its usage is rounded to whole units; its cost is whole micro-units already. */
export const countCall = ({ counters }: LedgerLine, usage: StageUsage, cost: number, hour: number): void => {
  counters[CALLS]!++
  counters[TOKENS_IN]! += Math.round(usage.tokensIn)
  counters[TOKENS_CACHED]! += Math.round(usage.tokensCached)
  counters[TOKENS_OUT]! += Math.round(usage.tokensOut)
  counters[BUSY]! += Math.round(usage.busy)
  counters[COST]! += cost
  counters[COUNTERS.length + hour]! += cost
}

/** Sets each counter to the larger value. Since lines only grow, merging two states of a line gives the newer one. */
export const mergeLine = (line: LedgerLine, other: LedgerLine): void => {
  other.counters.forEach((value, index) => { if (value > line.counters[index]!) line.counters[index] = value })
}

export const costInHour = ({ counters }: LedgerLine, hour: number): number => counters[COUNTERS.length + hour]!

/** Whether the line's counters are added (1) or subtracted (-1). */
export const signOf = ({ use }: LedgerLineId): number => use === 'not-needed' ? -1 : 1

export const packLine = ({ id, counters }: LedgerLine): PackedLine => {
  const pairs: number[] = []
  counters.forEach((value, index) => { if (value > 0) pairs.push(index, value) })
  return [id.workspace, id.class, id.stage, id.service, id.use, pairs]
}

export const unpackLine = ([workspace, classId, stage, service, use, pairs]: PackedLine): LedgerLine => {
  const line = emptyLine({
    workspace: brand<WorkspaceId>(workspace),
    class: brand<ClassId>(classId),
    stage: brand<StageId>(stage),
    service: brand<ServiceId>(service),
    use: use as LineUse
  })
  for (let index = 0; index + 1 < pairs.length; index += 2) line.counters[pairs[index]!] = pairs[index + 1]!
  return line
}

/** Converts a line to a cost row. Subtracted work becomes a negative row of needed work. */
export const rowOfLine = (day: string, { id, counters }: LedgerLine): CostRow => {
  const sign = signOf(id)
  const count = (index: number): number => sign * counters[index]!
  return {
    day,
    workspace: id.workspace,
    class: id.class,
    stage: id.stage,
    service: id.service,
    use: id.use === 'not-needed' ? 'needed' : id.use,
    calls: count(CALLS),
    usage: {
      tokensIn: tokens(count(TOKENS_IN)),
      tokensCached: tokens(count(TOKENS_CACHED)),
      tokensOut: tokens(count(TOKENS_OUT)),
      busy: millis(count(BUSY))
    },
    cost: microUnits(count(COST))
  }
}
