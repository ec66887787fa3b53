import { brand, SeededRandom } from '@papayahill/common'
import type { ClassId, Random, ServiceId, StageId, WorkspaceId } from '@papayahill/common'
import type { LineId } from '@papayahill/cost'

export const WORKSPACE = brand<WorkspaceId>('canicas-norte')
/** Length of one step, in minutes. */
export const STEP_MINUTES = 5
export const STEPS_PER_DAY = 24 * 60 / STEP_MINUTES
const STEPS_PER_HOUR = 60 / STEP_MINUTES
/** Micro-units of an ordinary working day. */
const USUAL_DAY = 500_000_000
const WEEKEND_FACTOR = 0.5
const DAY_SPREAD = 0.08
const HOUR_SPREAD = 0.12
const STEP_SPREAD = 0.4
const DAYS_PER_WEEK = 7
/** The run begins on a Monday. */
const FIRST_WEEKEND_DAY = 5
const TRIPLE = 3

/** Share of a day's spend by hour: quiet nights, a morning peak and a lower one after noon. */
const COURSE: readonly number[] = [
  1, 0.7, 0.6, 0.6, 0.8, 1.5, 3, 5.5, 8, 9, 8.5, 7.5, 6, 5.5, 6, 6.5, 6, 5, 4.5, 4, 3.5, 3, 2, 1.3
]
const COURSE_SUM = COURSE.reduce((sum, part) => sum + part, 0)

export interface SpendPart {
  readonly id: LineId
  readonly share: number
}

const partOf = (classId: string, stage: string, share: number): SpendPart => ({
  share,
  id: {
    workspace: WORKSPACE,
    class: brand<ClassId>(classId),
    stage: brand<StageId>(stage),
    service: brand<ServiceId>(`${stage}-pool`),
    use: 'needed'
  }
})

export const PARTS: readonly SpendPart[] = [
  partOf('guide', 'generate', 0.55), partOf('catalogue', 'generate', 0.3), partOf('catalogue', 'rerank', 0.15)
]

/** The spend of one part that is going to triple, from a time on. */
export interface Tripling {
  readonly day: number
  readonly step: number
}

/** Normally distributed with mean 0 and deviation 1 (Box and Muller). */
const normal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())

/** A workspace's spend, step by step: its course over day and week, with days, hours and steps that vary. */
export class SpendModel {
  readonly usualDay = USUAL_DAY
  readonly #random: Random
  readonly #tripling: Tripling
  #dayFactor = 1
  #hourFactor = 1

  constructor (seed: number, tripling: Tripling) {
    this.#random = new SeededRandom(seed)
    this.#tripling = tripling
  }

  /** Spend of each part in one step, in micro-units. */
  step (day: number, step: number): readonly number[] {
    if (step === 0) this.#dayFactor = Math.exp(DAY_SPREAD * normal(this.#random))
    if (step % STEPS_PER_HOUR === 0) this.#hourFactor = Math.exp(HOUR_SPREAD * normal(this.#random))
    const hour = Math.floor(step / STEPS_PER_HOUR)
    const week = day % DAYS_PER_WEEK >= FIRST_WEEKEND_DAY ? WEEKEND_FACTOR : 1
    const mean = USUAL_DAY * COURSE[hour]! / COURSE_SUM / STEPS_PER_HOUR * week * this.#dayFactor * this.#hourFactor
    const isTripled = day === this.#tripling.day && step >= this.#tripling.step
    return PARTS.map(({ share }) => {
      const noise = Math.exp(STEP_SPREAD * normal(this.#random) - STEP_SPREAD ** 2 / 2)
      return Math.round(mean * share * noise * (isTripled ? TRIPLE : 1))
    })
  }
}
