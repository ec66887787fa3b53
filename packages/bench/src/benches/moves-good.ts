import { MILLIS_PER_SECOND } from '@papayahill/common'
import { ROLLOUT_EVENTS } from '@papayahill/rollout'
import { makeFixedSchedule } from '../moves/fixedSchedule.js'
import { makeLimitPolicy } from '../moves/limitPolicy.js'
import { makeMoveKeeper, MoveRig } from '../moves/MoveRig.js'
import type { MoveTrace, PolicyMaker } from '../moves/MoveRig.js'
import { goodScenario, thinScenario } from '../moves/scenario.js'
import type { Bench, BenchOptions, Figures } from '../types.js'

const THIN_EVERY = 5
/** Part of the time by which too little traffic must have been said. */
const EARLY_PART = 0.25

const isDoneInTime = ({ doneAt, scenario }: MoveTrace): boolean =>
  doneAt !== undefined && doneAt <= scenario.duration * MILLIS_PER_SECOND

const isTakenBack = ({ events }: MoveTrace): boolean => events.some(({ kind }) => kind === ROLLOUT_EVENTS.moveTakenBack)

const saysThinEarly = ({ events, begunAt, scenario }: MoveTrace): boolean => events.some(({ kind, at, fields }) =>
  kind === ROLLOUT_EVENTS.moveWaiting && fields.state === 'waiting-for-traffic' &&
  at - begunAt <= EARLY_PART * scenario.duration * MILLIS_PER_SECOND)

const shareOf = (traces: readonly MoveTrace[], holds: (trace: MoveTrace) => boolean): number =>
  traces.length === 0 ? 1 : traces.filter(holds).length / traces.length

const runPolicy = async (options: BenchOptions, makePolicy: PolicyMaker): Promise<{ figures: Figures, notes: unknown }> => {
  const enough: MoveTrace[] = []
  const thin: MoveTrace[] = []
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    const isThin = seed % THIN_EVERY === 0
    const trace = await new MoveRig(isThin ? thinScenario(seed) : goodScenario(seed), makePolicy).run()
    const group = isThin ? thin : enough
    group.push(trace)
  }
  const figures = {
    doneInTimeShare: shareOf(enough, isDoneInTime),
    wronglyTakenBackShare: shareOf([...enough, ...thin], isTakenBack),
    thinTrafficSaidEarlyShare: shareOf(thin, saysThinEarly)
  }
  const notes = {
    notDone: enough.filter((trace) => !isDoneInTime(trace)).map(({ scenario }) => scenario.seed),
    takenBack: [...enough, ...thin].filter(isTakenBack).map(({ scenario }) => scenario.seed),
    notSaid: thin.filter((trace) => !saysThinEarly(trace)).map(({ scenario }) => scenario.seed)
  }
  return { figures, notes }
}

/** Faultless versions under bursts, trouble common to both versions, store outages, restarts and a death. */
export const bench: Bench = {
  name: 'moves-good',
  about: 'good versions are moved to by the time set',
  seeds: 200,
  ciSeeds: 20,
  bounds: {
    doneInTimeShare: { min: 1 },
    wronglyTakenBackShare: { max: 0.01 },
    thinTrafficSaidEarlyShare: { min: 1 }
  },
  baselinesMustMiss: { fixedSchedule: ['thinTrafficSaidEarlyShare'], fixedLimits: ['wronglyTakenBackShare'] },
  run: async (options) => {
    const { figures, notes } = await runPolicy(options, makeMoveKeeper)
    const schedule = await runPolicy(options, makeFixedSchedule)
    const limits = await runPolicy(options, makeLimitPolicy)
    return { figures, baselines: { fixedSchedule: schedule.figures, fixedLimits: limits.figures }, notes: { seeds: notes } }
  }
}
